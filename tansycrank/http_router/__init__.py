"""The query router for HTTP clients: client connections, discovery and data node connections."""
