"""Streams of engines that are processes and get SIGKILL.

The kernel closes their connections, mostly in order: a stream without framing
that is cut off ends as a whole one does. Run as
`python -m tests.soak.killed_engines --limit 2 --seed 1`.
"""

import argparse
import asyncio
import datetime as dt
import pathlib
import random
import sys
import tempfile
from collections.abc import Sequence
from typing import NamedTuple

from tests.front.engine_fleet import EngineProcessFleet
from tests.front.version_fleet import Part

EVENTS = 60
EVENT_INTERVAL_S = 1 / 60
STREAM_INTERVAL_S = 0.1
DEATH_INTERVAL_S = (1.0, 3.0)
# From the end of an engine to its return at its address, and from there to its
# entry.
RETURN_S = (0.02, 0.3)
ENTRY_DELAY_S = 0.5
# A node is stopped so long before an engine ends, and for so long.
STOP_BEFORE_S = 0.1
STOP_S = (0.6, 2.0)
SERVICE = "pool"


class Trouble(NamedTuple):
    """What the engines are like, and what befalls the fleet.

    Attributes:
        limit: Limit on requests a second that all answers name.
        nodes: Number of nodes.
        path: Path of the requests.
        kills: Whether engines are killed.
        stops_node: Whether a node is stopped before an engine ends.
        ends_node: Whether a node gets SIGTERM as an engine ends.
        half_framed: Whether every other engine answers in chunks.
        return_s: Range of times until a killed engine is back.
    """

    limit: str | None = None
    nodes: int = 3
    path: str = "/stream/x"
    kills: bool = True
    stops_node: bool = False
    ends_node: bool = False
    half_framed: bool = False
    return_s: tuple[float, float] = RETURN_S


class Outcome(NamedTuple):
    """What callers got.

    Attributes:
        parts: Attempts by their ID.
        deaths: When engines were killed, and which.
    """

    parts: dict[str, Part]
    deaths: list[str]

    @property
    def early(self) -> list[str]:
        """Attempts that ended as complete before the last event."""
        return [
            f"{name} ended after {len(part.numbers)} of {EVENTS} events"
            for name, part in self.parts.items()
            if part.is_whole
            and part.status == 200
            and part.numbers != tuple(range(1, EVENTS + 1))
        ]

    @property
    def cut_late(self) -> int:
        """Number of attempts that have all events and look incomplete."""
        return sum(
            len(part.numbers) == EVENTS and not part.is_whole
            for part in self.parts.values()
        )

    @property
    def whole(self) -> int:
        """Number of attempts that ended as complete, with all events."""
        ended = sum(
            part.is_whole and part.status == 200 for part in self.parts.values()
        )
        return ended - len(self.early)


def run_killed_engines(
    seed: int, directory: pathlib.Path, duration_s: float, trouble: Trouble
) -> Outcome:
    """Plays streams and deaths, drawn from a seed; returns what came of it."""
    return asyncio.run(_Scenario(seed, directory, trouble).run(duration_s))


class _Scenario:
    def __init__(
        self, seed: int, directory: pathlib.Path, trouble: Trouble
    ) -> None:
        self._rng = random.Random(seed)
        self._trouble = trouble
        self._fleet = EngineProcessFleet(trouble.nodes, directory)
        self._fleet.path = trouble.path
        self._deaths: list[str] = []
        self._ending: set[str] = set()
        for number, engine in enumerate(self._fleet.engines):
            engine.events_per_stream = EVENTS
            engine.event_interval_s = EVENT_INTERVAL_S
            engine.resets_after = None
            engine.named_limit = trouble.limit
            is_framed = trouble.half_framed and number % 2 == 1
            engine.has_unframed_streams = not is_framed

    async def run(self, duration_s: float) -> Outcome:
        async with self._fleet.running():
            faults = asyncio.ensure_future(self._run_faults(duration_s))
            streams: dict[str, asyncio.Future[Part]] = {}
            while not faults.done():
                node = self._rng.randrange(self._trouble.nodes)
                name = f"s{len(streams)}"
                streams[name] = asyncio.ensure_future(
                    self._fleet.stream(node, name)
                )
                await asyncio.sleep(STREAM_INTERVAL_S)
            await faults
            parts = await asyncio.gather(*streams.values())
        return Outcome(dict(zip(streams, parts, strict=True)), self._deaths)

    async def _run_faults(self, duration_s: float) -> None:
        loop = asyncio.get_running_loop()
        until_s = loop.time() + duration_s
        running: list[asyncio.Future[None]] = []
        while loop.time() < until_s:
            await asyncio.sleep(self._rng.uniform(*DEATH_INTERVAL_S))
            if self._trouble.kills:
                running += self._begin_faults()
        await asyncio.gather(*running)

    def _begin_faults(self) -> Sequence[asyncio.Future[None]]:
        faults = [asyncio.ensure_future(self._replace_engine())]
        if self._trouble.stops_node:
            faults.append(asyncio.ensure_future(self._stop_node()))
        if self._trouble.ends_node:
            faults.append(asyncio.ensure_future(self._end_node()))
        return faults

    async def _replace_engine(self) -> None:
        engine = self._rng.choice(self._fleet.engines)
        if self._trouble.stops_node:
            await asyncio.sleep(STOP_BEFORE_S)
        if not engine.is_running:
            return
        now = dt.datetime.now(dt.UTC)
        self._deaths.append(f"{now:%H:%M:%S.%f} {engine.server_id} is killed")
        engine.kill()
        await asyncio.sleep(self._rng.uniform(*self._trouble.return_s))
        await engine.start(engine.port)
        await asyncio.sleep(ENTRY_DELAY_S)
        self._fleet.publish_entry(engine, SERVICE)

    async def _stop_node(self) -> None:
        process = self._fleet.processes[self._rng.choice(self._fleet.ips)]
        process.pause()
        await asyncio.sleep(self._rng.uniform(*STOP_S))
        process.resume()

    async def _end_node(self) -> None:
        ip = self._rng.choice(self._fleet.ips)
        if ip in self._ending:
            return
        self._ending.add(ip)
        self._fleet.processes[ip].terminate()
        await self._fleet.start_when_ended(ip)
        self._ending.discard(ip)


def main() -> int:
    """Plays one seed; returns 0 if no stream ended too early, else 1."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--limit", default=None)
    parser.add_argument("--nodes", type=int, default=3)
    parser.add_argument("--path", default="/stream/x")
    parser.add_argument("--no-kills", action="store_true")
    parser.add_argument("--stops-node", action="store_true")
    parser.add_argument("--ends-node", action="store_true")
    parser.add_argument("--half-framed", action="store_true")
    parser.add_argument("--return-s", type=float, default=None)
    parser.add_argument("--keep", type=pathlib.Path, default=None)
    cfg = parser.parse_args()
    directory = cfg.keep or pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
    directory.mkdir(parents=True, exist_ok=True)
    trouble = Trouble(
        cfg.limit,
        cfg.nodes,
        cfg.path,
        not cfg.no_kills,
        cfg.stops_node,
        cfg.ends_node,
        cfg.half_framed,
        RETURN_S if cfg.return_s is None else (cfg.return_s, cfg.return_s),
    )
    outcome = run_killed_engines(cfg.seed, directory, cfg.seconds, trouble)
    print(
        f"seed {cfg.seed}, {trouble}: {len(outcome.deaths)} deaths;"
        f" {len(outcome.parts)} streams, {outcome.whole} whole,"
        f" {len(outcome.early)} too early, {outcome.cut_late} cut off after"
        f" the last event; logs in {directory}"
    )
    for early in outcome.early:
        print(f"  TOO EARLY: {early}")
    if outcome.early:
        print(*outcome.deaths, sep="\n")
    return 1 if outcome.early else 0


if __name__ == "__main__":
    sys.exit(main())
