"""Engines that say in their answers that they leave, or want a pause."""

import asyncio

from tests.front.engine_process import EngineProcess
from tests.soak.fault_context import FaultAction, FaultContext
from tests.soak.shape import Fault
from tests.soak.version_callers import Kind, Violation

# Requests may still reach an engine for this long after it said that it leaves.
DRAIN_S = 2.0
LEAVING_JUDGED_S = 1.0
# How long an engine that leaves waits for the first request that it answers.
HEARD_TIMEOUT_S = 2.0
PAUSE_S = 2.0
# Each node may be turned away once, and send two requests more.
MAX_TURNED_AWAY_PER_NODE = 3


class NoticeFaults:
    """Lets engines leave or ask for a pause, and judges who heeds it."""

    def __init__(self, context: FaultContext) -> None:
        """Brings nothing about yet."""
        self._context = context
        self._fleet = context.fleet
        self._rng = context.rng

    def actions(self) -> dict[Fault, FaultAction]:
        """Returns what brings each fault about and waits for its end."""
        return {Fault.LEAVE: self._leave, Fault.PAUSE: self._pause}

    async def _leave(self) -> None:
        """An engine says that it leaves; its entry says that it is ready."""
        server = self._rng.choice(self._fleet.engines)
        if not self._context.take(server.server_id):
            return
        self._context.describe(f"{server.server_id} says that it leaves")
        server.says_leaving = True
        if await _is_reached(server):
            self._fleet.publish_entry(server, self._fleet.engine_service)
            await asyncio.sleep(DRAIN_S)
            requests = _count_requests(server)
            await asyncio.sleep(LEAVING_JUDGED_S)
            late = _count_requests(server) - requests
            self._judge(Kind.LATE, server, late, 0)
        await self._start_again(server)
        self._context.release(server.server_id)

    async def _pause(self) -> None:
        """An engine turns everything away and says for how long."""
        server = self._rng.choice(self._fleet.engines)
        if not self._context.take(server.server_id):
            return
        self._context.describe(f"{server.server_id} wants a pause")
        server.rejects_all, server.hold = True, str(PAUSE_S)
        requests = _count_requests(server)
        await asyncio.sleep(PAUSE_S)
        server.rejects_all, server.hold = False, None
        turned_away = _count_requests(server) - requests
        allowed = MAX_TURNED_AWAY_PER_NODE * len(self._fleet.ips)
        self._judge(Kind.IN_PAUSE, server, turned_away, allowed)
        self._context.release(server.server_id)

    def _judge(
        self, kind: Kind, server: EngineProcess, requests: int, allowed: int
    ) -> None:
        if requests > allowed:
            detail = f"{requests} requests reached {server.server_id}"
            self._context.violations.append(Violation(kind, detail))

    async def _start_again(self, server: EngineProcess) -> None:
        """Another process of an engine doesn't leave; it may keep the ID."""
        server.kill()
        server.says_leaving = False
        restart_s = self._context.shape.restart_s
        await asyncio.sleep(self._context.draw_between(*restart_s))
        server.draw_born()
        await server.start(server.port)
        self._fleet.publish_entry(server, self._fleet.engine_service)


def _count_requests(server: EngineProcess) -> int:
    """Returns how many requests reached an engine, without reports."""
    return len(server.arrivals) - server.reports


async def _is_reached(server: EngineProcess) -> bool:
    """Waits until a request reaches an engine; returns whether one did."""
    requests = _count_requests(server)
    try:
        async with asyncio.timeout(HEARD_TIMEOUT_S):
            while _count_requests(server) == requests:
                await asyncio.sleep(0.02)
    except TimeoutError:
        return False
    return True
