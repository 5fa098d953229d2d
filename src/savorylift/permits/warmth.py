"""How much of its limit a backend server is trusted with (slow start)."""

import time
from collections import deque

SLOW_FLOOR_S = 0.2  # faster first tokens never mean cold
MIN_SAMPLES = 20
QUANTILE = 0.9
QUANTILE_STEP = 0.02
MAX_PAST_INCARNATIONS = 16


class UsualDelay:
    """Slowly forgetting quantile of first-token delays, in seconds."""

    def __init__(self) -> None:
        """Starts without samples."""
        self._estimate_s = 0.0
        self._samples = 0

    def is_slow(self, delay_s: float, ratio: float) -> bool:
        """Returns True if `delay_s` is `ratio` times the usual or more."""
        if self._samples < MIN_SAMPLES or delay_s < SLOW_FLOOR_S:
            return False
        return delay_s >= ratio * self._estimate_s

    def add(self, delay_s: float) -> None:
        """Moves the estimate a step towards the quantile."""
        self._samples += 1
        if self._samples == 1:
            self._estimate_s = delay_s
        elif delay_s > self._estimate_s:
            self._estimate_s *= 1 + QUANTILE_STEP * QUANTILE
        else:
            self._estimate_s *= 1 - QUANTILE_STEP * (1 - QUANTILE)


class Warmth:
    """Window between the cold and the warm limit of one backend server.

    Attributes:
        incarnation: Backend server incarnation last seen, "" if unknown.
        falls: Version of the window; grows with each fall to cold.
        window: Places that all keepers together may use.
        cause: Why the window last changed.
    """

    def __init__(self, cold_limit: int, warm_limit: int) -> None:
        """Starts cold."""
        self.incarnation = ""
        self.falls = 0
        self.window = cold_limit
        self.cause = "new"
        self._cold_limit = cold_limit
        self._warm_limit = warm_limit
        self._completed = 0
        self._is_said_warm = False
        self._usual = UsualDelay()
        self._past: deque[str] = deque(maxlen=MAX_PAST_INCARNATIONS)

    @property
    def is_cold(self) -> bool:
        """True if no more than the cold limit may be used."""
        return self.window <= self._cold_limit

    def set_limits(self, cold_limit: int, warm_limit: int) -> None:
        """Follows an edit of the rules."""
        if (cold_limit, warm_limit) == (self._cold_limit, self._warm_limit):
            return
        was_cold = self.is_cold
        self._cold_limit, self._warm_limit = cold_limit, warm_limit
        self.window = max(cold_limit, min(self.window, warm_limit))
        if was_cold:
            self.window = cold_limit

    def is_past(self, incarnation: str) -> bool:
        """Returns True for an incarnation known to have ended."""
        return incarnation in self._past

    def see_incarnation(self, incarnation: str) -> bool:
        """Notes an incarnation; returns True if it replaces another one."""
        if not incarnation or incarnation == self.incarnation:
            return False
        if self.is_past(incarnation):
            return False
        previous, self.incarnation = self.incarnation, incarnation
        if not previous:
            return False
        self._past.append(previous)
        self._is_said_warm = False
        self.fall("restart")
        return True

    def fall(self, cause: str, falls: int = 0) -> None:
        """Returns to the cold limit, with a version of `falls` or more."""
        now_ms = time.time_ns() // 1_000_000
        self.falls = max(self.falls + 1, now_ms, falls)
        self.window = self._cold_limit
        self.cause = cause
        self._completed = 0

    def note(self, incarnation: str, *, is_cold: bool) -> None:
        """Notes what the backend server says; only a warm one may grow."""
        if incarnation == self.incarnation:
            self._is_said_warm = not is_cold

    def is_slow(self, first_token_s: float, ratio: float) -> bool:
        """Judges a first-token delay and adds it to the usual ones."""
        slow = self._usual.is_slow(first_token_s, ratio)
        self._usual.add(first_token_s)
        return slow

    def complete(self, incarnation: str, share: int) -> None:
        """Counts completed work; a round of `share` doubles the window."""
        if not incarnation or incarnation != self.incarnation:
            return
        if not self._is_said_warm:
            return
        self._completed += 1
        if self._completed < max(1, share) or self.window >= self._warm_limit:
            return
        self._completed = 0
        self.window = min(self._warm_limit, 2 * max(1, self.window))
        self.cause = "completed work"

    def merge(self, incarnation: str, falls: int, window: int) -> None:
        """Takes over another keeper's newer or equally new window."""
        if incarnation != self.incarnation or falls < self.falls:
            return
        if not self._is_said_warm:
            return
        newer = falls > self.falls
        window = max(self._cold_limit, min(window, self._warm_limit))
        if newer or window > self.window:
            self.window = window
            self.falls = falls
            self.cause = "another keeper"
            self._completed = 0
