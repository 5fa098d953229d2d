"""The node's life: starting, ready, leaving, ended."""

import asyncio
import time

# SIGKILL follows the grace period; answers need some time to get out.
RESERVE_S = 0.8
# Callers may keep answers of the directory for three times their ttl.
LEAST_S = 5.0
CHECK_S = 0.1


class Life:
    """Whether this node takes requests, and when it may end."""

    def __init__(self, grace_period_s: float) -> None:
        """Starts as neither ready nor leaving."""
        self._grace_period_s = grace_period_s
        self._open = 0
        self.is_leaving = False
        self.leaving_s = 0.0

    @property
    def open_requests(self) -> int:
        """Requests under way."""
        return self._open

    def begin(self) -> None:
        """Counts a request that is under way."""
        self._open += 1

    def end(self) -> None:
        """Counts a request that has its final answer."""
        self._open -= 1

    def leave(self) -> bool:
        """Begins to leave; says whether this is new."""
        if self.is_leaving:
            return False
        self.is_leaving = True
        self.leaving_s = time.monotonic()
        return True

    async def wait_until_served(self) -> None:
        """Returns when the node may end."""
        end_s = self.leaving_s + self._grace_period_s - RESERVE_S
        least_s = min(self.leaving_s + LEAST_S, end_s)
        while time.monotonic() < end_s:
            if self._open == 0 and time.monotonic() >= least_s:
                return
            await asyncio.sleep(CHECK_S)
