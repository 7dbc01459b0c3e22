"""Endpoint discovery of the SQL router, from a feed or a file whose lists may be late or wrong."""
