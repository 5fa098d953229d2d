"""Tracks open requests and the draining of a node before it stops."""

import asyncio
import time

# Draining ends this long before SIGKILL, so that final responses can still be
# sent.
SHUTDOWN_RESERVE_S = 0.8
# Callers may keep addresses from the directory for three times their TTL, so a
# node without requests still waits this long for late ones.
MIN_DRAINING_S = 5.0
POLL_INTERVAL_S = 0.1


class Lifecycle:
    """Counts open requests; decides when a draining node may exit.

    Attributes:
        is_leaving: Whether the node is draining.
        leaving_since_s: Monotonic time at which draining began.
    """

    def __init__(self, grace_period_s: float) -> None:
        """Starts without requests.

        Args:
            grace_period_s: Time from SIGTERM to SIGKILL.
        """
        self._grace_period_s = grace_period_s
        self._open_requests = 0
        self.is_leaving = False
        self.leaving_since_s = 0.0

    @property
    def open_requests(self) -> int:
        """Number of requests in progress."""
        return self._open_requests

    def begin_request(self) -> None:
        """Counts a request as in progress."""
        self._open_requests += 1

    def end_request(self) -> None:
        """Counts a request as finished."""
        self._open_requests -= 1

    def leave(self) -> bool:
        """Begins draining; returns False if it had already begun."""
        if self.is_leaving:
            return False
        self.is_leaving = True
        self.leaving_since_s = time.monotonic()
        return True

    async def wait_until_drained(self) -> None:
        """Waits until no request is open or the grace period is nearly over."""
        latest_end_s = (
            self.leaving_since_s + self._grace_period_s - SHUTDOWN_RESERVE_S
        )
        earliest_end_s = min(
            self.leaving_since_s + MIN_DRAINING_S, latest_end_s
        )
        while time.monotonic() < latest_end_s:
            if self._open_requests == 0 and time.monotonic() >= earliest_end_s:
                return
            await asyncio.sleep(POLL_INTERVAL_S)
