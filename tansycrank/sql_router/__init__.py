"""The SQL router: connections to data nodes, the coordinator that carries out the routing policy's
actions, and the service under the PostgreSQL server.
"""
