"""The runs of this node that wait for an engine, wherever they do."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from savorylift.exchange import metrics
from savorylift.exchange.run import Run
from savorylift.exchange.server_pool import ServerPool
from savorylift.exchange.time_limit import end_now
from savorylift.exchange.wish import Wish
from savorylift.paced_call import PacedCall


class EngineWaits:
    """Ends the waits of runs in time, or as soon as all their engines leave."""

    def __init__(self, pool: ServerPool) -> None:
        """Starts without any.

        Args:
            pool: Tells which engines leave.
        """
        self._pool = pool
        self._limits: dict[str, dict[Run, asyncio.Timeout]] = {}
        self._look = PacedCall(self._end_hopeless)

    @contextlib.asynccontextmanager
    async def hold(self, run: Run, wish: Wish) -> AsyncIterator[None]:
        """Counts a run as waiting while the body of the context waits.

        Raises:
            TimeoutError: It has waited as long as it can, or all its engines
                leave.
        """
        service = run.admitted.service.name
        limits = self._limits.setdefault(service, {})
        metrics.WAITING.inc()
        try:
            async with asyncio.timeout_at(wish.leave_s) as limit:
                limits[run] = limit
                yield
        finally:
            limits.pop(run, None)
            metrics.WAITING.dec()

    def end_soon(self) -> None:
        """Ends the waits of those whose engines all leave, in a moment."""
        if any(self._limits.values()):
            self._look.request()

    def _end_hopeless(self) -> None:
        for service, limits in self._limits.items():
            if limits and not self._pool.servers_in_service(service):
                for run, limit in limits.items():
                    if self._pool.are_all_leaving(run.admitted):
                        end_now(limit)
