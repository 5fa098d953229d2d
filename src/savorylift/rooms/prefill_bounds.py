"""How many prompt tokens may await prefill at an engine, by priority.

A less urgent generation that bears a longer line of prompts would fill the
engines' lines beyond what more urgent ones bear: these would then find no
engine, however early their turn is. So it keeps to what they bear.
"""

import time

# Bounds of generations that arrived longer ago than this don't count.
WINDOW_S = 5.0


class PrefillBounds:
    """Remembers the strictest bound of the generations of each priority."""

    def __init__(self) -> None:
        """Starts without generations."""
        # Bound and monotonic time of its last generation, by priority.
        self._bounds: dict[int, tuple[float, float]] = {}

    def record(self, priority: int, max_tokens: float) -> None:
        """Records the bound of a generation that has arrived."""
        now_s = time.monotonic()
        known, heard_s = self._bounds.get(priority, (max_tokens, now_s))
        if max_tokens <= known or now_s - heard_s > WINDOW_S:
            self._bounds[priority] = max_tokens, now_s

    def find(self, priority: int, max_tokens: float) -> float:
        """Returns the bound to keep to for a generation.

        Args:
            priority: Its priority.
            max_tokens: Its own bound.
        """
        oldest_s = time.monotonic() - WINDOW_S
        stricter = [
            bound
            for other, (bound, heard_s) in self._bounds.items()
            if other < priority and heard_s >= oldest_s
        ]
        return min([max_tokens, *stricter])
