"""The runs of this node that wait for an engine, wherever they do."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Hashable

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
        # Those that have begun, by what decides which servers may go on.
        self._begun: dict[Hashable, dict[Run, None]] = {}
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
        kind = _kind(run)
        metrics.WAITING.inc()
        try:
            async with asyncio.timeout_at(wish.leave_s) as limit:
                limits[run] = limit
                if run.has_begun:
                    self._begun.setdefault(kind, {})[run] = None
                yield
        finally:
            limits.pop(run, None)
            self._forget_begun(run, kind)
            metrics.WAITING.dec()

    def end_soon(self) -> None:
        """Ends the waits of those whose engines all leave, in a moment."""
        if any(self._limits.values()):
            self._look.request()

    def find_begun(self, is_gone: Callable[[Run], bool]) -> list[Run]:
        """Returns those that have begun and fulfil a condition.

        Args:
            is_gone: The condition; asked once for all that the same servers may
                continue.
        """
        found: list[Run] = []
        for alike in self._begun.values():
            if is_gone(next(iter(alike))):
                found += alike
        return found

    def _forget_begun(self, run: Run, kind: Hashable) -> None:
        alike = self._begun.get(kind, {})
        alike.pop(run, None)
        if not alike:
            self._begun.pop(kind, None)

    def _end_hopeless(self) -> None:
        for service, limits in self._limits.items():
            if limits and not self._pool.servers_in_service(service):
                for run, limit in limits.items():
                    if self._pool.are_all_leaving(run.admitted):
                        end_now(limit)


def _kind(run: Run) -> Hashable:
    """Returns what decides which servers may continue a run that has begun."""
    admitted = run.admitted
    if admitted.req.known_run is not None:
        return run.attempt_id
    return admitted.service.name, admitted.software_version, admitted.regions
