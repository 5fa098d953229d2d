"""Tracks open requests and the draining of a node before it stops."""

import asyncio
import contextlib
import time
from collections.abc import Iterator

# Draining ends this long before SIGKILL, so that final responses can still be
# sent.
SHUTDOWN_RESERVE_S = 0.8
# Callers may keep addresses from the directory for three times their TTL, so a
# node without requests still waits this long for late ones.
MIN_DRAINING_S = 5.0
# Requests that may not have ended this long before draining ends are refused.
REFUSING_S = 0.5
POLL_INTERVAL_S = 0.1


class Lifecycle:
    """Counts open requests; decides when a draining node may exit.

    Attributes:
        takes_callers: Whether callers can connect.
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
        self._has_ended = False
        self._end_watches: set[asyncio.Future[None]] = set()
        self.takes_callers = False
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

    def may_begin(self, duration_s: float) -> bool:
        """Whether a request that may take so long can be served to its end."""
        if not self.is_leaving:
            return True
        if self._has_ended:
            return False
        end_s = time.monotonic() + duration_s
        return end_s < self._latest_end_s - REFUSING_S

    @contextlib.contextmanager
    def watch_end(self) -> Iterator[asyncio.Future[None]]:
        """Yields a future that is done once requests must be answered.

        Finished or not. Each request has its own: to stop waiting for one that
        all shared would take as long as there are requests.
        """
        fut: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        if self._has_ended:
            fut.set_result(None)
        self._end_watches.add(fut)
        try:
            yield fut
        finally:
            self._end_watches.discard(fut)

    def end(self) -> None:
        """Ends draining: from now on each request is answered at once."""
        self._has_ended = True
        for fut in self._end_watches:
            if not fut.done():
                fut.set_result(None)

    @property
    def _latest_end_s(self) -> float:
        return self.leaving_since_s + self._grace_period_s - SHUTDOWN_RESERVE_S

    async def wait_until_drained(self) -> None:
        """Waits until no request is open or the grace period is nearly over."""
        latest_end_s = self._latest_end_s
        earliest_end_s = min(
            self.leaving_since_s + MIN_DRAINING_S, latest_end_s
        )
        while time.monotonic() < latest_end_s:
            if self._open_requests == 0 and time.monotonic() >= earliest_end_s:
                return
            await asyncio.sleep(POLL_INTERVAL_S)
