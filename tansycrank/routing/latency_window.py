"""Quantiles of response latencies over a sliding window, in milliseconds."""

from __future__ import annotations

from ddsketch import DDSketch

ROTATION_MS = 30_000.0
REFRESH_MS = 250.0  # merging the sketches on every read would cost too much CPU
QUICK_QUANTILE = 0.25  # the latency of a response that met no queue
HEDGE_QUANTILE = 0.9
MEDIAN = 0.5


class LatencyWindow:
    """Two DDSketches, the older dropped at each rotation, merged when read."""

    def __init__(self, rotation_ms: float, refresh_ms: float, quantiles: tuple[float, ...]) -> None:
        self._rotation_ms = rotation_ms
        self._refresh_ms = refresh_ms
        self._quantiles = quantiles
        self._pair = [DDSketch(), DDSketch()]
        self._rotated_at = float("-inf")
        self._read_at = float("-inf")
        self._values = (0.0,) * len(quantiles)

    def add(self, now: float, latency: float) -> None:
        """Record a response."""
        self._rotate(now)
        self._pair[0].add(latency)

    def count(self, now: float) -> int:
        """Number of responses in the window."""
        self._rotate(now)
        return int(self._pair[0].count + self._pair[1].count)

    def read(self, now: float) -> tuple[float, ...]:
        """The quantiles, zeros before any response; at most one refresh interval old."""
        if self.count(now) and now - self._read_at >= self._refresh_ms:
            merged = DDSketch()
            for sketch in self._pair:
                merged.merge(sketch)
            self._values = tuple(
                merged.get_quantile_value(quantile) for quantile in self._quantiles
            )
            self._read_at = now
        return self._values

    def _rotate(self, now: float) -> None:
        if now - self._rotated_at >= self._rotation_ms:
            is_stale = now - self._rotated_at >= 2 * self._rotation_ms
            self._pair = [DDSketch(), DDSketch() if is_stale else self._pair[0]]
            self._rotated_at = now


class ResponseLatencies(LatencyWindow):
    """The quantiles that the policy uses; 0 before any response."""

    def __init__(self) -> None:
        super().__init__(ROTATION_MS, REFRESH_MS, (QUICK_QUANTILE, HEDGE_QUANTILE, MEDIAN))

    def quick_ms(self, now: float) -> float:
        """The quick quartile."""
        return self.read(now)[0]

    def p90_ms(self, now: float) -> float:
        """The p90: the hedge delay, and how long a response usually takes at most."""
        return self.read(now)[1]

    def median_ms(self, now: float) -> float:
        """The median."""
        return self.read(now)[2]
