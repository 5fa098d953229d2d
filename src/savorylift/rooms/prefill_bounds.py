"""How many prompt tokens may await prefill at an engine, by priority.

A less urgent generation that bears a longer line of prompts would fill the
engines' lines beyond what more urgent ones bear: these would then find no
engine, however early their turn is. So it keeps to what they bear.
"""

import collections
import time
from collections.abc import Mapping

from savorylift.fleet.room_messages import RoomRequest

# Bounds of generations that arrived longer ago than this don't count.
WINDOW_S = 5.0
# Generations of each priority whose bounds are remembered.
MAX_BOUNDS = 32
# Each node's bounds rest on its own estimate of the prefill rate. Of the
# bounds in order, the one at this share counts: a single node whose estimate
# is far off doesn't hold up the less urgent generations of all.
STRICT_SHARE = 0.25


class PrefillBounds:
    """Remembers the bounds of the latest generations of each priority."""

    def __init__(self) -> None:
        """Starts without generations."""
        # Bounds and when they came, oldest first, by priority.
        self._bounds: dict[int, collections.deque[tuple[float, float]]] = {}

    def record(self, priority: int, max_tokens: float) -> None:
        """Records the bound of a generation that has arrived."""
        known = self._bounds.setdefault(
            priority, collections.deque(maxlen=MAX_BOUNDS)
        )
        known.append((time.monotonic(), max_tokens))

    def by_priority(self) -> dict[int, float]:
        """Returns the bound of the generations of each priority."""
        oldest_s = time.monotonic() - WINDOW_S
        found = {}
        for priority, known in list(self._bounds.items()):
            while known and known[0][0] < oldest_s:
                known.popleft()
            if not known:
                del self._bounds[priority]
                continue
            ordered = sorted(max_tokens for _, max_tokens in known)
            found[priority] = ordered[int(STRICT_SHARE * len(ordered))]
        return found


def with_bound(req: RoomRequest, bounds: Mapping[int, float]) -> RoomRequest:
    """Returns a request that keeps to what more urgent ones bear.

    Args:
        req: The request.
        bounds: Prompt tokens that generations bear, by their priority.
    """
    stricter = [bound for p, bound in bounds.items() if p < req.priority]
    return req._replace(
        max_prefill_tokens=min([req.max_prefill_tokens, *stricter])
    )
