"""The router itself: links and pools to nodes, the coordinator that carries out the module's
decisions.
"""
