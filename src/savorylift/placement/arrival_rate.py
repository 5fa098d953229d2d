"""How much memory the generations that arrive want, by priority.

While more arrive than engines hold, those to come go before those that wait
behind them: a forecast without them promises turns that never come.
"""

import collections
import time

WINDOW_S = 5.0


class ArrivalRate:
    """Tracks the tokens of the generations that arrived lately."""

    def __init__(self) -> None:
        """Starts without arrivals."""
        self._arrivals: collections.deque[tuple[float, int, int]] = (
            collections.deque()
        )
        self._tokens: dict[int, int] = {}

    def record(self, priority: int, tokens: int) -> None:
        """Records a generation that has arrived."""
        self._arrivals.append((time.monotonic(), priority, tokens))
        self._tokens[priority] = self._tokens.get(priority, 0) + tokens
        self._drop_old()

    def per_s(self) -> dict[int, float]:
        """Returns the tokens that arrive each second, by priority."""
        self._drop_old()
        return {p: tokens / WINDOW_S for p, tokens in self._tokens.items()}

    def _drop_old(self) -> None:
        oldest_s = time.monotonic() - WINDOW_S
        while self._arrivals and self._arrivals[0][0] < oldest_s:
            _, priority, tokens = self._arrivals.popleft()
            left = self._tokens.get(priority, 0) - tokens
            self._tokens[priority] = left
            if not left:
                del self._tokens[priority]
