"""Settings of admission control: bounds of the router's queue and limits of one tenant."""

from __future__ import annotations

from dataclasses import dataclass

MAX_RESERVED_SHARE = 0.9  # bound on the sum of the minimum shares of all tenants


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of a tenant: weight, minimum and maximum share of the router's capacity, and the
    burst in ms at the tenant's rate.
    """

    weight: float = 1.0
    min_share: float = 0.0
    max_share: float = 1.0
    burst: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """Bounds of admission control; `horizon` is how far ahead reservations reach, in ms.

    `class_weights` are the weights of the query classes within a client. `useful_times` are the
    times in ms after which an answer of the class is worthless; if empty, only the deadline of each
    query counts. `max_queries` and `max_bytes` bound the admission queue, `max_tenants` the table
    of tenants, `max_reservations` the reservations of all tenants.
    """

    class_weights: tuple[float, ...] = (1.0,)
    useful_times: tuple[float, ...] = ()
    max_queries: int = 1000
    max_bytes: int = 16 * 1024 * 1024
    max_tenants: int = 4096
    max_reservations: int = 50_000
    horizon: float = 60_000.0
