"""A query router in front of a sharded, replicated store."""

from tansycrank.routing import Settings
from tansycrank.routing.policy import RoutingPolicy

__all__ = ["RoutingPolicy", "Settings"]
