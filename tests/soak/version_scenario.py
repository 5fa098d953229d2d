"""Streams of engines that change their software versions, under faults.

The nodes are processes; the engines write their version into each event.
"""

import asyncio
import pathlib
import random
import ssl
import time
from collections import Counter
from typing import NamedTuple

from tests.front.engine_fleet import EngineProcessFleet
from tests.front.node_fleet import (
    REACTION_S,
    most_allowed,
    most_in_window,
)
from tests.front.stream_callers import KeepingCaller, SlowCaller
from tests.harness.certificates import client_context, write_certificate
from tests.soak.fault_context import FaultContext
from tests.soak.shape import Shape
from tests.soak.version_callers import (
    Kind,
    StreamResult,
    VersionCallers,
    Violation,
)
from tests.soak.version_faults import VersionFaults
from tests.soak.version_logs import (
    bad_events,
    count_events,
    count_take_ups,
)
from tests.soak.version_shapes import PLAIN

EVENT_INTERVAL_S = 1 / 60
# From then on after the last fault, streams must end whole again.
RECOVERY_S = 6.0
STREAMS_AFTER = 12


def go_on_share(streams: list[StreamResult]) -> float:
    """Returns which share of the attempts to go on with a stream did.

    Relative to the share of new streams that begin.
    """
    begun = sum(bool(stream.versions) for stream in streams)
    begin = begun / sum(stream.begin_tries for stream in streams)
    take_ups = sum(stream.take_ups for stream in streams)
    go_on = sum(stream.gone_on for stream in streams) / take_ups
    return go_on / begin


class VersionResult(NamedTuple):
    """Result of one seed.

    Attributes:
        faults: Descriptions of the faults, in order.
        streams: Streams during the faults.
        violations: Violated guarantees; empty if all held.
        events: Number of log lines of all nodes, by their event.
        kept: Number of requests on connections that had been used before.
        pipelined: Number of pipelined calls that were answered.
        reports: Number of reports that engines were asked for.
        over_limit: Number of engines that got more calls than they named.
        outcomes: What became of streams that were taken up, as nodes say.
    """

    faults: list[str]
    streams: list[StreamResult]
    violations: list[Violation]
    events: Counter[str]
    kept: int
    pipelined: int
    reports: int
    over_limit: int
    outcomes: Counter[str]


def run_version_seed(
    seed: int,
    directory: pathlib.Path,
    duration_s: float,
    shape: Shape = PLAIN,
    other_source: pathlib.Path | None = None,
    other_nodes: int | None = None,
) -> VersionResult:
    """Plays streams and faults, and checks what callers got.

    Args:
        seed: Determines the choices.
        directory: Where the logs go.
        duration_s: For how long faults begin.
        shape: What the engines are like, and their faults.
        other_source: Source tree of the nodes that run another build.
        other_nodes: Number of these nodes; None for that of the shape.
    """
    if other_nodes is not None:
        shape = shape._replace(other_nodes=other_nodes)
    scenario = _Scenario(seed, directory, shape)
    if other_source is not None:
        scenario.use_source(other_source)
    result = asyncio.run(scenario.run(duration_s))
    events = count_events(directory)
    logged = [Violation(Kind.LOGGED, event) for event in bad_events(events)]
    return result._replace(
        violations=[*result.violations, *logged],
        events=events,
        outcomes=count_take_ups(directory),
    )


class _Scenario:
    def __init__(
        self, seed: int, directory: pathlib.Path, shape: Shape
    ) -> None:
        rng = random.Random(seed)
        self._shape = shape
        self._fleet = EngineProcessFleet(shape.nodes, directory, shape.path)
        self._context = FaultContext(self._fleet, shape, rng)
        self._callers = VersionCallers(
            self._fleet, rng, shape.twin_share, shape.begin_tries
        )
        self._keeping = _make_caller(self._fleet, shape, directory, rng)
        if shape.slow_share:
            self._fleet.caller = SlowCaller(
                random.Random(rng.random()), shape.slow_share
            )

    def use_source(self, source: pathlib.Path) -> None:
        self._fleet.use_source(self._shape.other_nodes, source)

    async def run(self, duration_s: float) -> VersionResult:
        self._set_up_engines()
        async with self._fleet.running():
            began_s = time.monotonic()
            beats = self._begin_beats()
            faults = asyncio.ensure_future(
                VersionFaults(self._context).run(duration_s)
            )
            streams = []
            while not faults.done():
                streams.append(asyncio.ensure_future(self._callers.stream()))
                await asyncio.sleep(self._shape.stream_interval_s)
            await faults
            results = await asyncio.gather(*streams)
            await asyncio.sleep(RECOVERY_S)
            after = await self._streams_after()
            beats.cancel()
        violations = self._violations([*results, *self._callers.twins, *after])
        violations += self._context.violations
        violations += [
            _broken(stream) for stream in after if not stream.is_whole
        ]
        return VersionResult(
            self._context.injected,
            results,
            violations,
            Counter(),
            0 if self._keeping is None else self._keeping.kept,
            0 if self._keeping is None else self._keeping.pipelined,
            sum(server.reports for server in self._fleet.engines),
            self._count_over_limit(began_s),
            Counter(),
        )

    def _begin_beats(self) -> asyncio.Future[None]:
        """Lets engines write their entries again and again, if they do."""
        interval_s = self._shape.heartbeat_s
        if interval_s is None:
            return asyncio.get_running_loop().create_future()
        return asyncio.ensure_future(self._fleet.beat(interval_s))

    def _count_over_limit(self, began_s: float) -> int:
        """Returns how many engines got more calls than they named."""
        if self._shape.named_limit is None:
            return 0
        allowed = most_allowed(float(self._shape.named_limit))
        since_s = began_s + REACTION_S
        return sum(
            most_in_window(server.arrivals, since_s) > allowed
            for server in self._fleet.engines
        )

    def _set_up_engines(self) -> None:
        shape = self._shape
        self._fleet.max_pause_s = shape.max_pause_s
        versions = zip(self._fleet.engines, shape.versions, strict=True)
        for number, (server, version) in enumerate(versions):
            server.software_version = version
            server.ends_in_order = shape.ends_in_order
            server.close_interval_s = shape.close_interval_s
            server.brittle_at = shape.brittle_at
            server.retry_after = shape.retry_after
            server.event_bytes = shape.event_bytes
            server.resets_after = shape.resets_after
            server.events_per_stream = shape.events
            server.event_interval_s = EVENT_INTERVAL_S
            server.named_limit = shape.named_limit
            server.says_born = shape.says_born
            server.has_report = shape.no_report_status is None
            server.no_report_status = shape.no_report_status or 0
            server.copy_delay_s = shape.copy_delay_s
            is_framed = shape.is_half_framed and number % 2 == 1
            server.has_unframed_streams = shape.is_unframed and not is_framed

    async def _streams_after(self) -> list[StreamResult]:
        streams = []
        for _ in range(STREAMS_AFTER):
            streams.append(asyncio.ensure_future(self._callers.stream()))
            if self._shape.after_interval_s:
                await asyncio.sleep(self._shape.after_interval_s)
        return await asyncio.gather(*streams)

    def _violations(self, streams: list[StreamResult]) -> list[Violation]:
        found = [stream.violation(self._shape.events) for stream in streams]
        return [violation for violation in found if violation is not None]


def _make_caller(
    fleet: EngineProcessFleet,
    shape: Shape,
    directory: pathlib.Path,
    rng: random.Random,
) -> KeepingCaller | None:
    """Lets callers of a fleet keep their connections, if the shape says so."""
    if shape.habits is None:
        return None
    tls: ssl.SSLContext | None = None
    if shape.has_tls:
        fleet.caller_tls = write_certificate(directory)
        tls = client_context()
    caller = KeepingCaller(random.Random(rng.random()), shape.habits, tls)
    fleet.caller = caller
    return caller


def _broken(stream: StreamResult) -> Violation:
    detail = f"{stream.first} got {len(stream.numbers)} events"
    return Violation(Kind.BROKEN, detail)
