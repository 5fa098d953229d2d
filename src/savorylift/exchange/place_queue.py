"""Lets plain calls wait until this node has a place for them at a server."""

import asyncio
import collections
import contextlib

# Calls of a service that wait at once; more are refused.
MAX_WAITING = 200


class PlaceQueue:
    """Wakes the calls that wait, in order, one for each place."""

    def __init__(self) -> None:
        """Creates an empty queue."""
        self._waiting: dict[str, collections.deque[asyncio.Future[None]]] = {}

    async def wait(self, service: str, timeout_s: float) -> bool:
        """Waits for a place; returns False if there was none in time."""
        waiting = self._waiting.setdefault(service, collections.deque())
        if timeout_s <= 0 or len(waiting) >= MAX_WAITING:
            return False
        fut: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        waiting.append(fut)
        try:
            async with asyncio.timeout(timeout_s):
                await fut
        except TimeoutError:
            return False
        finally:
            with contextlib.suppress(ValueError):
                waiting.remove(fut)
        return True

    def wake(self, service: str) -> None:
        """Lets the call that has waited longest try again."""
        waiting = self._waiting.get(service)
        while waiting:
            fut = waiting.popleft()
            if not fut.done():
                fut.set_result(None)
                return
