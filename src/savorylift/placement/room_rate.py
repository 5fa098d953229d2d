"""How fast engines' memory becomes free, as this node sees it.

Answers a load that is above what the engines hold: a caller that is told to
come back when its turn would be finds room, one that is told a fixed time is
refused again or comes too late.
"""

import collections
import time

WINDOW_S = 5.0
# Before anything was freed, and where much more is wanted than becomes free.
UNKNOWN_S = 1.0
LEAST_S = 0.5
MOST_S = 8.0


class RoomRate:
    """Tokens that became free at this node in the last seconds."""

    def __init__(self) -> None:
        """Starts without knowing anything."""
        self._freed: collections.deque[tuple[float, int]] = collections.deque()

    def note_freed(self, tokens: int) -> None:
        """Counts memory of a run that is over."""
        self._freed.append((time.monotonic(), tokens))
        self._drop_old()

    def wait_s(self, tokens: int) -> float:
        """Returns how long it takes until so many tokens become free."""
        self._drop_old()
        freed = sum(tokens for _, tokens in self._freed)
        if not freed:
            return UNKNOWN_S
        return min(max(tokens / freed * WINDOW_S, LEAST_S), MOST_S)

    def _drop_old(self) -> None:
        oldest_s = time.monotonic() - WINDOW_S
        while self._freed and self._freed[0][0] < oldest_s:
            self._freed.popleft()
