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

    def wait_s(self, places: int) -> float:
        """Returns the expected time until `places` completions.

        Without observations it is 0, so that nothing is refused on a guess.
        """
        if self._weight == 0 or self._last_s is None:
            return 0.0
        return places * self._span_s / self._weight
