"""Faults of engines: restarts at other versions, drains, moves and holds."""

import asyncio

from tests.front.engine_process import EngineProcess
from tests.soak.engine_restarts import EngineRestarts
from tests.soak.fault_context import FaultAction, FaultContext
from tests.soak.shape import Fault

HOLD_S = 0.3
# What engines say that they want nothing for, in seconds.
HOLD_HEADER = "1"
DRAINS_S = (0.2, 0.6, 1.2)
MOVE_DRAIN_S = 0.2
# How long an engine serves whose entry is never written, and its version.
UNREAD_S = (0.3, 1.5)
UNREAD_VERSION = "v2"
# Times between the steps of two engines that move runs to each other.
CROSSING_S = (0.2, 0.8)
# How long to wait for a stream that begins at an engine.
BEGIN_TIMEOUT_S = 2.0
# Restarts in a series, and how long an engine serves in between.
SERIES = (2, 3)
SERIES_S = (0.05, 0.5)
# A node is stopped so long before an engine ends, and for so long.
STOP_BEFORE_S = 0.1
STOP_S = (0.6, 2.0)


class EngineFaults:
    """Brings faults of engines about."""

    def __init__(self, context: FaultContext) -> None:
        """Brings nothing about yet."""
        self._context = context
        self._fleet = context.fleet
        self._shape = context.shape
        self._rng = context.rng
        self._restarts = EngineRestarts(context)

    def actions(self) -> dict[Fault, FaultAction]:
        """Returns what brings each fault about and waits for its end."""
        return {
            Fault.RESTART: self._restart,
            Fault.SERIES: self._restart_in_series,
            Fault.STOP: self._restart_beside_stopped_node,
            Fault.UNREAD: self._serve_unread,
            Fault.BEGIN: self._crash_at_begin,
            Fault.HOLD: self._hold,
            Fault.DRAIN: self._drain,
            Fault.MOVE: self._move,
            Fault.CROSS: self._cross,
        }

    async def _restart(self) -> None:
        server = self._rng.choice(self._fleet.engines)
        if not self._context.take(server.server_id):
            return
        delay_s, version = self._restarts.draw_release()
        self._context.describe(
            f"{server.server_id} starts again at {version},"
            f" its entry follows after {delay_s} s"
        )
        await self._restarts.start_again(server, version, delay_s)
        self._context.release(server.server_id)

    async def _restart_in_series(self) -> None:
        server = self._rng.choice(self._fleet.engines)
        if not self._context.take(server.server_id):
            return
        count = self._rng.choice(SERIES)
        for _ in range(count):
            serve_s = self._rng.uniform(*SERIES_S)
            _, version = self._restarts.draw_release()
            self._context.describe(
                f"{server.server_id} starts again at {version}, and ends after"
                f" {serve_s:.1f} s without an entry"
            )
            await self._restarts.end(server, version)
            await server.start(server.port)
            await asyncio.sleep(serve_s)
        delay_s, version = self._restarts.draw_release()
        await self._restarts.start_again(server, version, delay_s)
        self._context.release(server.server_id)

    async def _restart_beside_stopped_node(self) -> None:
        ip = self._rng.choice(self._fleet.ips)
        if not self._context.take(ip):
            return
        stop_s = self._rng.uniform(*STOP_S)
        self._context.describe(f"{ip} is stopped for {stop_s:.1f} s")
        process = self._fleet.processes[ip]
        process.pause()
        await asyncio.sleep(STOP_BEFORE_S)
        restart = asyncio.ensure_future(self._restart())
        await asyncio.sleep(stop_s - STOP_BEFORE_S)
        process.resume()
        self._context.release(ip)
        await restart

    async def _serve_unread(self) -> None:
        server = self._rng.choice(self._fleet.engines)
        if not self._context.take(server.server_id):
            return
        serve_s = self._rng.uniform(*UNREAD_S)
        delay_s = self._rng.choice(self._shape.entry_delays_s)
        version = server.software_version
        self._context.describe(
            f"{server.server_id} starts again at {UNREAD_VERSION}, ends after"
            f" {serve_s:.1f} s without an entry, starts again at {version},"
            f" its entry follows after {delay_s} s"
        )
        await self._restarts.end(server, UNREAD_VERSION)
        await server.start(server.port)
        await asyncio.sleep(serve_s)
        await self._restarts.start_again(server, version, delay_s)
        self._context.release(server.server_id)

    async def _crash_at_begin(self) -> None:
        server = self._rng.choice(self._fleet.engines)
        if not self._context.take(server.server_id):
            return
        delay_s, _ = self._restarts.draw_release()
        version = "v1" if server.software_version == "v2" else "v2"
        if await _begins_stream(server):
            self._context.describe(
                f"{server.server_id} ends as a stream begins, starts again at"
                f" {version}, its entry follows after {delay_s} s"
            )
            await self._restarts.start_again(server, version, delay_s)
        self._context.release(server.server_id)

    async def _drain(self) -> None:
        server = self._rng.choice(self._fleet.engines)
        if not self._context.take(server.server_id):
            return
        self._begin_drain(server)
        await self._end_drain(server, self._rng.choice(DRAINS_S))
        self._context.release(server.server_id)

    async def _move(self) -> None:
        """An engine drains, and takes requests again; it doesn't end."""
        server = self._rng.choice(self._fleet.engines)
        if not self._context.take(server.server_id):
            return
        self._context.describe(f"{server.server_id} drains for a while")
        self._begin_drain(server)
        await asyncio.sleep(MOVE_DRAIN_S)
        server.is_leaving = False
        self._fleet.publish_entry(server, self._fleet.engine_service)
        self._context.release(server.server_id)

    async def _cross(self) -> None:
        """Two engines move runs to each other, and start again meanwhile.

        The first one drains and takes requests again as the second begins to
        drain, so that copies are on their way in both directions.
        """
        first = self._rng.choice(self._fleet.engines)
        others = [
            server
            for server in self._fleet.engines
            if server.software_version == first.software_version
            and server is not first
        ]
        if not others:
            return
        second = self._rng.choice(others)
        ids = first.server_id, second.server_id
        if not self._context.take(*ids):
            return
        self._context.describe(f"{ids[0]} drains and is back, {ids[1]} drains")
        self._begin_drain(first)
        await asyncio.sleep(self._rng.uniform(*CROSSING_S))
        first.is_leaving = False
        self._fleet.publish_entry(first, self._fleet.engine_service)
        self._begin_drain(second)
        await asyncio.gather(
            self._end_drain(first, self._rng.uniform(*CROSSING_S)),
            self._end_drain(second, self._rng.uniform(*CROSSING_S)),
        )
        self._context.release(*ids)

    async def _hold(self) -> None:
        server = self._rng.choice(self._fleet.engines)
        self._context.describe(f"{server.server_id} holds")
        server.rejects_all, server.hold = True, HOLD_HEADER
        await asyncio.sleep(HOLD_S)
        server.rejects_all, server.hold = False, None

    async def _end_drain(self, server: EngineProcess, drain_s: float) -> None:
        """An engine that drains ends after a time, and starts again."""
        delay_s, version = self._restarts.draw_release()
        self._context.describe(
            f"{server.server_id} drains for {drain_s:.1f} s, starts again at"
            f" {version}, its entry follows after {delay_s} s"
        )
        await asyncio.sleep(drain_s)
        server.is_leaving = False
        await self._restarts.start_again(server, version, delay_s)

    def _begin_drain(self, server: EngineProcess) -> None:
        server.is_leaving = True
        self._fleet.publish_entry(
            server, self._fleet.engine_service, "draining"
        )


async def _begins_stream(server: EngineProcess) -> bool:
    """Waits for the first event of any stream; returns whether one came."""
    has_begun = asyncio.Event()
    server.on_event = lambda number: has_begun.set() if number == 1 else None
    try:
        async with asyncio.timeout(BEGIN_TIMEOUT_S):
            await has_begun.wait()
    except TimeoutError:
        return False
    finally:
        server.on_event = lambda _: None
    return True
