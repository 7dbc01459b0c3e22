"""The PostgreSQL wire: codec, types, errors, and the protocols of both sides."""
