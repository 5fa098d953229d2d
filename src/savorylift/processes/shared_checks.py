"""Checks of servers that several requests share."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

T = TypeVar("T")


class SharedChecks(Generic[T]):
    """Makes one check of a server at a time, for all that wait for it."""

    def __init__(self) -> None:
        """Creates it without any check."""
        # Checks by server: the one in progress and the one that follows it.
        self._running: dict[str, asyncio.Task[T]] = {}
        self._waiting: dict[str, asyncio.Task[T]] = {}

    async def run(self, server_id: str, check: Callable[[], Awaitable[T]]) -> T:
        """Returns the result of a check that began after this call.

        Args:
            server_id: The server.
            check: Makes the check, unless one that another call gave is still
                to begin.
        """
        task = self._waiting.get(server_id)
        if task is None:
            task = asyncio.get_running_loop().create_task(
                self._run_next(server_id, check)
            )
            self._waiting[server_id] = task
        return await asyncio.shield(task)

    async def _run_next(
        self, server_id: str, check: Callable[[], Awaitable[T]]
    ) -> T:
        """Makes a check once the one in progress has ended."""
        if server_id in self._running:
            await asyncio.wait((self._running[server_id],))
        self._running[server_id] = self._waiting.pop(server_id)
        try:
            return await check()
        finally:
            del self._running[server_id]
