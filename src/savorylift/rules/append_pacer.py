"""Spaces the attempts of each append until it is read back."""

import time
from collections.abc import Callable

from returns.result import Success

from savorylift.rules.inbox import AppendEnded, AppendJob

APPEND_TIMEOUT_S = 10.0  # an append that has not ended by then is repeated
READ_BACK_S = 5.0  # an append that succeeded is read back by then
RETRY_S = 0.5


class AppendPacer:
    """Starts an append unless an earlier attempt of it may still succeed."""

    def __init__(self, start: Callable[[AppendJob], None]) -> None:
        """Takes the function that starts an attempt."""
        self._start = start
        self._quiet_until_s: dict[str, float] = {}

    def is_quiet(self, purpose: str) -> bool:
        """Returns True if an earlier attempt may still succeed."""
        return time.monotonic() < self._quiet_until_s.get(purpose, 0.0)

    def start(self, job: AppendJob) -> None:
        """Starts an attempt, unless it's too early for one."""
        if self.is_quiet(job.purpose):
            return
        now_s = time.monotonic()
        self._quiet_until_s = {
            purpose: until_s
            for purpose, until_s in self._quiet_until_s.items()
            if until_s > now_s
        }
        self._quiet_until_s[job.purpose] = now_s + APPEND_TIMEOUT_S
        self._start(job)

    def ended(self, ended: AppendEnded) -> bool:
        """Notes the end of an attempt; True if the log took it."""
        is_done = isinstance(ended.result, Success)
        pause_s = READ_BACK_S if is_done else RETRY_S
        self._quiet_until_s[ended.purpose] = time.monotonic() + pause_s
        return is_done
