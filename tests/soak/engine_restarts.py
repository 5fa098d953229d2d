"""Ends of engines, by signals, and their next processes."""

import asyncio

from tests.front.engine_process import EngineProcess
from tests.soak.fault_context import FaultContext
from tests.soak.shape import Ending

# How long an engine that was asked to end is given, if it isn't to end at once.
CUT_TERM_S = (0.0, 0.1)


class EngineRestarts:
    """Ends engines as the shape says, and starts them again."""

    def __init__(self, context: FaultContext) -> None:
        """Ends nothing yet."""
        self._context = context
        self._fleet = context.fleet
        self._shape = context.shape
        self._rng = context.rng
        self._removals: set[asyncio.Future[None]] = set()

    def draw_release(self) -> tuple[float, str]:
        """Returns when an entry follows, and the next version."""
        delay_s = self._rng.choice(self._shape.entry_delays_s)
        return delay_s, self._rng.choice(self._shape.releases)

    async def start_again(
        self, server: EngineProcess, version: str, delay_s: float
    ) -> None:
        """Ends an engine and starts its next process; the entry follows."""
        await self.end(server, version)
        if delay_s < 0:
            self._fleet.publish_entry(server, self._fleet.engine_service)
            await asyncio.sleep(-delay_s)
        await server.start(server.port)
        if delay_s >= 0:
            await asyncio.sleep(delay_s)
            self._fleet.publish_entry(server, self._fleet.engine_service)

    async def end(self, server: EngineProcess, version: str) -> None:
        """Ends an engine, whose next process is of a version."""
        await self._end_process(server)
        if self._shape.removal_s is not None:
            removal = self._remove_entry(server, self._shape.removal_s)
            self._removals.add(asyncio.ensure_future(removal))
        server.software_version = version
        await asyncio.sleep(self._context.draw_between(*self._shape.restart_s))
        server.draw_born()

    async def _end_process(self, server: EngineProcess) -> None:
        ending = self._context.draw(self._shape.endings)
        self._context.describe(f"{server.server_id} gets {ending}")
        if ending is Ending.KILL:
            server.kill()
        elif ending is Ending.TERM:
            await server.terminate()
        else:
            await server.terminate(self._rng.uniform(*CUT_TERM_S))

    async def _remove_entry(
        self, server: EngineProcess, removal_s: float
    ) -> None:
        await asyncio.sleep(removal_s)
        self._fleet.remove_entry(server)
