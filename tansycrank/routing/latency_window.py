"""Quantiles of response latencies (ms) over a sliding window."""

from __future__ import annotations

from ddsketch import DDSketch

ROTATION_MS = 30_000.0
REFRESH_MS = 250.0  # merging the sketches on every read would cost too much CPU
LOWER_QUARTILE = 0.25  # approximates the latency without queueing
HEDGE_QUANTILE = 0.9
MEDIAN = 0.5


class LatencyWindow:
    """Two DDSketches that are merged on reads; each rotation drops the older one."""

    def __init__(self, rotation_ms: float, refresh_ms: float, quantiles: tuple[float, ...]) -> None:
        self._rotation_ms = rotation_ms
        self._refresh_ms = refresh_ms
        self._quantiles = quantiles
        self._sketches = [DDSketch(), DDSketch()]
        self._rotated_at = float("-inf")
        self._read_at = float("-inf")
        self._values = (0.0,) * len(quantiles)

    def add(self, now: float, latency: float) -> None:
        """Record the latency of a response."""
        self._rotate(now)
        self._sketches[0].add(latency)

    def count(self, now: float) -> int:
        """Number of responses in the window."""
        self._rotate(now)
        return int(self._sketches[0].count + self._sketches[1].count)

    def read(self, now: float) -> tuple[float, ...]:
        """The quantiles, at most one refresh interval old; zeros before the first response."""
        if self.count(now) and now - self._read_at >= self._refresh_ms:
            merged = DDSketch()
            for sketch in self._sketches:
                merged.merge(sketch)
            self._values = tuple(
                merged.get_quantile_value(quantile) for quantile in self._quantiles
            )
            self._read_at = now
        return self._values

    def _rotate(self, now: float) -> None:
        if now - self._rotated_at >= self._rotation_ms:
            is_stale = now - self._rotated_at >= 2 * self._rotation_ms
            self._sketches = [DDSketch(), DDSketch() if is_stale else self._sketches[0]]
            self._rotated_at = now


class ResponseLatencies(LatencyWindow):
    """The quantiles that the policy uses; 0 before the first response."""

    def __init__(self) -> None:
        super().__init__(ROTATION_MS, REFRESH_MS, (LOWER_QUARTILE, HEDGE_QUANTILE, MEDIAN))

    def lower_quartile_ms(self, now: float) -> float:
        """The p25, which approximates the latency without queueing."""
        return self.read(now)[0]

    def p90_ms(self, now: float) -> float:
        """The p90, on which the hedge delay is based."""
        return self.read(now)[1]

    def median_ms(self, now: float) -> float:
        """The median."""
        return self.read(now)[2]
