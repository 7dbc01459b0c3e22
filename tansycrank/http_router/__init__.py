"""The query router for HTTP clients: connections, discovery and data nodes; no decisions."""
