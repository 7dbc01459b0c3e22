"""PostgreSQL server side: client sessions, from the startup packet to the close."""

from tansycrank.postgres.server.factory import PostgresServerFactory

__all__ = ["PostgresServerFactory"]
