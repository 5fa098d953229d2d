"""Retry budget: retries as a share of recent calls."""

import threading
import time
from collections import deque

RETRY_SHARE = 0.1
MIN_RETRIES = 3
BUDGET_PERIOD_S = 10.0


class RetryBudget:
    """Allows retries up to a share of the calls of the last period.

    A small floor lets nodes with little traffic retry at all.
    """

    def __init__(
        self,
        share: float = RETRY_SHARE,
        floor: int = MIN_RETRIES,
        period_s: float = BUDGET_PERIOD_S,
    ) -> None:
        """Starts with no recent calls."""
        self._share = share
        self._floor = floor
        self._period_s = period_s
        self._calls: deque[float] = deque()
        self._retries: deque[float] = deque()
        self._lock = threading.Lock()

    def note_call(self) -> None:
        """Counts one call, not counting its retries."""
        with self._lock:
            self._calls.append(time.monotonic())
            self._forget_old()

    def take_retry(self) -> bool:
        """Spends one retry; False if the budget is used up."""
        with self._lock:
            self._forget_old()
            allowed = max(self._floor, int(len(self._calls) * self._share))
            if len(self._retries) >= allowed:
                return False
            self._retries.append(time.monotonic())
            return True

    def _forget_old(self) -> None:
        oldest_s = time.monotonic() - self._period_s
        for times in (self._calls, self._retries):
            while times and times[0] < oldest_s:
                times.popleft()
