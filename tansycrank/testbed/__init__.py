"""The laboratory: stand-in nodes and roster, faults, load, checkers, drills. Not for the
product.
"""
