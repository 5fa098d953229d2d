"""Streams of engines that change their software versions, under faults.

The nodes are processes; the engines write their version into each event.
"""

import asyncio
import pathlib
import random
from typing import NamedTuple

from tests.front.version_fleet import Part, VersionProcessFleet, mixed
from tests.standins.platform_server import PlatformServer

NODES = 3
EVENTS = 90
EVENT_INTERVAL_S = 1 / 60
STREAM_INTERVAL_S = 0.12
MAX_TAKE_UPS = 5
MAX_RETURN_S = 2.0
RESTART_S = 0.3
# When the entry of an engine that starts again is read: before it serves, with
# it, and after.
ENTRY_DELAYS_S = (-0.3, 0.0, 0.5)
FAULT_INTERVAL_S = (0.3, 1.5)
# From then on after the last fault, streams must end whole again.
RECOVERY_S = 6.0
STREAMS_AFTER = 12


class StreamResult(NamedTuple):
    """What a caller got in all its attempts at one stream.

    Attributes:
        versions: Software version of each event.
        numbers: Number of each event.
        is_whole: Whether the stream ended as complete.
        take_ups: Attempts that were to go on with the stream.
        gone_on: Those of them that did.
    """

    versions: list[str]
    numbers: list[int]
    is_whole: bool
    take_ups: int
    gone_on: int


class VersionResult(NamedTuple):
    """Result of one seed.

    Attributes:
        faults: Descriptions of the faults, in order.
        streams: Streams during the faults.
        violations: Violated guarantees; empty if all held.
    """

    faults: list[str]
    streams: list[StreamResult]
    violations: list[str]


def run_version_seed(
    seed: int, directory: pathlib.Path, duration_s: float
) -> VersionResult:
    """Plays streams and faults, and checks what callers got."""
    return asyncio.run(_Scenario(seed, directory).run(duration_s))


class _Scenario:
    def __init__(self, seed: int, directory: pathlib.Path) -> None:
        self._rng = random.Random(seed)
        self._fleet = VersionProcessFleet(NODES, directory)
        self._faults: list[str] = []
        self._attempts = 0
        self._restarting: set[str] = set()

    async def run(self, duration_s: float) -> VersionResult:
        for server in self._fleet.pool:
            server.resets_after = None
            server.events_per_stream = EVENTS
            server.event_interval_s = EVENT_INTERVAL_S
        async with self._fleet.running():
            faults = asyncio.ensure_future(self._inject(duration_s))
            streams = []
            while not faults.done():
                streams.append(asyncio.ensure_future(self._stream()))
                await asyncio.sleep(STREAM_INTERVAL_S)
            await faults
            results = await asyncio.gather(*streams)
            await asyncio.sleep(RECOVERY_S)
            after = await asyncio.gather(
                *(self._stream() for _ in range(STREAMS_AFTER))
            )
        violations = [*map(_violation, [*results, *after])]
        if not all(stream.is_whole for stream in after):
            violations.append("streams end early after the last fault")
        return VersionResult(
            self._faults, list(results), [v for v in violations if v]
        )

    async def _inject(self, duration_s: float) -> None:
        """Brings faults about, which may overlap, and waits for their ends."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + duration_s
        running = []
        while loop.time() < until_s:
            await asyncio.sleep(self._rng.uniform(*FAULT_INTERVAL_S))
            fault = self._rng.choice((self._restart, self._restart, self._kill))
            running.append(asyncio.ensure_future(fault()))
        await asyncio.gather(*running)

    async def _restart(self) -> None:
        """An engine crashes and starts again under its ID."""
        server = self._rng.choice(self._fleet.pool)
        if server.server_id in self._restarting:
            return
        self._restarting.add(server.server_id)
        delay_s = self._rng.choice(ENTRY_DELAYS_S)
        version = self._rng.choice(("v1", "v2"))
        self._faults.append(
            f"{server.server_id} starts again at {version},"
            f" its entry follows after {delay_s} s"
        )
        await self._start_again(server, version, delay_s)
        self._restarting.discard(server.server_id)

    async def _start_again(
        self, server: PlatformServer, version: str, delay_s: float
    ) -> None:
        server.stop()
        server.abort_all()
        server.software_version = version
        server.born += 1
        await asyncio.sleep(RESTART_S)
        if delay_s < 0:
            self._fleet.publish_entry(server, "pool")
            await asyncio.sleep(-delay_s)
        await server.start(server.port)
        if delay_s >= 0:
            await asyncio.sleep(delay_s)
            self._fleet.publish_entry(server, "pool")

    async def _kill(self) -> None:
        """One node, or all of them, are killed and start again."""
        if "nodes" in self._restarting:
            return
        self._restarting.add("nodes")
        count = self._rng.choice((1, 2, NODES))
        self._faults.append(f"{count} nodes are killed")
        self._fleet.kill(count)
        await self._fleet.start_again(count)
        self._restarting.discard("nodes")

    async def _stream(self) -> StreamResult:
        """Begins a stream, and takes it up wherever it breaks off."""
        first = self._next_attempt()
        part = await self._fleet.stream(self._node(), first)
        versions, numbers = list(part.versions), list(part.numbers)
        take_ups = gone_on = 0
        while versions and not _is_end(part) and take_ups < MAX_TAKE_UPS:
            await asyncio.sleep(_return_s(part))
            seen = Part(200, versions, is_whole=False, took_s=0.0)
            part = await self._fleet.take_up(
                self._node(), self._next_attempt(), seen, first
            )
            take_ups += 1
            gone_on += bool(part.versions)
            versions += part.versions
            numbers += part.numbers
        return StreamResult(versions, numbers, _is_end(part), take_ups, gone_on)

    def _node(self) -> int:
        return self._rng.randrange(NODES)

    def _next_attempt(self) -> str:
        self._attempts += 1
        return f"s{self._attempts}"


def _is_end(part: Part) -> bool:
    """Whether a stream has ended, and not a refusal."""
    return part.is_whole and part.status == 200


def _return_s(part: Part) -> float:
    return min(float(part.retry_after or 0.2), MAX_RETURN_S)


def _violation(stream: StreamResult) -> str | None:
    if mixed(stream.versions):
        return f"a stream holds two versions: {stream.versions}"
    if stream.numbers != list(range(1, len(stream.numbers) + 1)):
        return f"events are not in order: {stream.numbers}"
    if stream.is_whole and len(stream.numbers) != EVENTS:
        return f"a stream ended as complete after {len(stream.numbers)} events"
    return None
