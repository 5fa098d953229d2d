"""Observed rate at which permits come back."""

import time

MEMORY_S = 10.0


class ServiceRate:
    """Completions a second, averaged over about `MEMORY_S`."""

    def __init__(self) -> None:
        """Starts without observations."""
        self._weight = 0.0
        self._span_s = 0.0
        self._last_s: float | None = None

    def add(self) -> None:
        """Counts one completion now."""
        now = time.monotonic()
        if self._last_s is not None:
            gap_s = max(1e-6, now - self._last_s)
            keep = max(0.0, 1.0 - gap_s / MEMORY_S)
            self._weight = self._weight * keep + 1.0
            self._span_s = self._span_s * keep + gap_s
        self._last_s = now

    @property
    def per_s(self) -> float:
        """Completions a second; 0 without observations."""
        return self._weight / self._span_s if self._span_s > 0 else 0.0
