"""tansycrank: the decisions of a query router in front of a sharded, replicated store."""

from tansycrank.brain import Router
from tansycrank.interface import Settings

__all__ = ["Router", "Settings"]
