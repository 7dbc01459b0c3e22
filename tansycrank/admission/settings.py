"""Settings of admission control: bounds of the router's queue and limits of one tenant."""

from __future__ import annotations

from dataclasses import dataclass

MAX_RESERVED_SHARE = 0.9  # of the router that the minimum shares of all tenants may add up to


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of a tenant: weight, minimum and maximum share of the router, burst in ms of its
    share.
    """

    weight: float = 1.0
    min_share: float = 0.0
    max_share: float = 1.0
    burst: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """Bounds of admission control; `horizon` is how far ahead reservations reach, in ms.

    `classes` are the weights of the query classes within a client. `useful` is the time in ms after
    which an answer of the class is worthless; an empty tuple leaves only the deadline of each
    query.
    """

    classes: tuple[float, ...] = (1.0,)
    useful: tuple[float, ...] = ()
    queries: int = 1000
    bytes: int = 16 * 1024 * 1024
    tenants: int = 4096
    places: int = 50_000
    horizon: float = 60_000.0
