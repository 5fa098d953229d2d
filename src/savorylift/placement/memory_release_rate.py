"""Estimates when engine memory becomes free, for the Retry-After of refusals.

While generations arrive faster than engines can hold them, a caller that is
told to retry when its turn is due finds room. With a fixed retry time, it
would be refused again or come back too late.
"""

import collections
import time

WINDOW_S = 5.0
# Used while no memory was released within the window.
DEFAULT_WAIT_S = 1.0
MIN_WAIT_S = 0.5
# Bounds the wait if far more memory is needed than is released.
MAX_WAIT_S = 8.0
# With fewer releases within the window, the rate is too uncertain to refuse
# anyone because of it.
MIN_RELEASES = 8


class MemoryReleaseRate:
    """Tracks the tokens that this node's runs recently released."""

    def __init__(self) -> None:
        """Starts without any releases."""
        self._releases: collections.deque[tuple[float, int]] = (
            collections.deque()
        )

    def record_release(self, tokens: int) -> None:
        """Records the memory of a run that has ended."""
        self._releases.append((time.monotonic(), tokens))
        self._drop_old()

    def wait_s(self, tokens: int) -> float:
        """Returns the estimated time until `tokens` are released."""
        self._drop_old()
        released = sum(freed for _, freed in self._releases)
        if not released:
            return DEFAULT_WAIT_S
        return min(max(tokens / released * WINDOW_S, MIN_WAIT_S), MAX_WAIT_S)

    @property
    def tokens_per_s(self) -> float | None:
        """Tokens released each second; None if too few runs have ended."""
        self._drop_old()
        if len(self._releases) < MIN_RELEASES:
            return None
        return sum(freed for _, freed in self._releases) / WINDOW_S

    def _drop_old(self) -> None:
        oldest_s = time.monotonic() - WINDOW_S
        while self._releases and self._releases[0][0] < oldest_s:
            self._releases.popleft()
