"""Servers that say that they leave before the store names their process.

A server starts again under its ID and address; its entry names the earlier
start for a while. Run as `python -m tests.soak.leaving_servers --seed 1`.
"""

import argparse
import asyncio
import bisect
import contextlib
import datetime as dt
import enum
import math
import pathlib
import random
import sys
import tempfile
import time
from typing import NamedTuple

from tests.front.engine_process import EngineProcess
from tests.soak.leaving_fleet import LateCall, LeavingFleet

CALLS_PER_S = 20.0
LEAVING_INTERVAL_S = (2.0, 5.0)
RETURN_S = (0.05, 0.3)
# From the start of a process to its entry, and from there to its end.
ENTRY_DELAY_S = (1.0, 4.0)
SERVED_S = (5.0, 8.0)
SOUND_ENTRY_DELAY_S = (0.0, 1.0)
STOP_INTERVAL_S = (4.0, 9.0)
STOP_S = (0.6, 2.0)
AWAY_INTERVAL_S = (3.0, 8.0)
AWAY_S = (1.0, 4.0)
UNAVAILABLE = 503
# How long requests go on after the last sound process has its entry.
RECOVERY_S = 3.0


class How(enum.StrEnum):
    """How a server says that it leaves.

    Attributes:
        BEFORE_ENTRY: From the first answer of a process on whose entry comes
            later.
        AT_ONCE: All of a sudden, in a process that the store names.
    """

    BEFORE_ENTRY = "before its entry"
    AT_ONCE = "at once"


class Trouble(NamedTuple):
    """What befalls a fleet beside servers that leave.

    Attributes:
        nodes: Number of nodes.
        calls_per_s: Requests of all callers.
        ways: How servers leave, each as often as it is named.
        interval_s: Range of the times between the beginnings of leavings.
        entry_delay_s: Range of the times from the start of a process that
            leaves to its entry.
        limit: Limit on requests a second that all answers name.
        has_report: Whether servers have reports.
        says_born: Whether reports say when a server started.
        stops_nodes: Whether nodes are stopped for a while.
        kills_nodes: Whether nodes are killed.
        has_store_away: Whether the store is away for a while.
    """

    nodes: int = 3
    calls_per_s: float = CALLS_PER_S
    ways: tuple[How, ...] = (How.BEFORE_ENTRY,)
    interval_s: tuple[float, float] = LEAVING_INTERVAL_S
    entry_delay_s: tuple[float, float] = ENTRY_DELAY_S
    limit: str | None = None
    has_report: bool = True
    says_born: bool = True
    stops_nodes: bool = False
    kills_nodes: bool = False
    has_store_away: bool = False


class Outcome(NamedTuple):
    """What came of it.

    Attributes:
        late: Calls that came too late.
        leavings: Number of processes that said that they leave.
        heard: Number of calls that those processes answered.
        calls: Number of calls.
        served: Number of those that were answered with 200.
        back_s: Time until a sound process of a server that had left got a
            call again, from its entry on; infinite if it got none.
        faults: What happened.
    """

    late: list[LateCall]
    leavings: int
    heard: int
    calls: int
    served: int
    back_s: list[float]
    faults: list[str]


def run_leaving_servers(
    seed: int,
    directory: pathlib.Path,
    duration_s: float,
    trouble: Trouble,
    source: pathlib.Path | None = None,
    other_nodes: int = 0,
) -> Outcome:
    """Plays calls and leavings that are drawn from a seed.

    Args:
        seed: Determines the choices.
        directory: Where the logs go.
        duration_s: For how long leavings begin.
        trouble: What befalls the fleet.
        source: Source tree of the nodes that run another build.
        other_nodes: Number of these nodes.
    """
    scenario = _Scenario(seed, directory, trouble)
    if source is not None:
        scenario.fleet.use_source(other_nodes or trouble.nodes, source)
    return asyncio.run(scenario.run(duration_s))


class _Scenario:
    def __init__(
        self, seed: int, directory: pathlib.Path, trouble: Trouble
    ) -> None:
        self._rng = random.Random(seed)
        self._trouble = trouble
        self._busy: set[str] = set()
        self._faults: list[str] = []
        self._leavings = 0
        # When the entry of each sound process was written, or it listened.
        self._sound: list[tuple[EngineProcess, int, float]] = []
        callers = random.Random(self._rng.random())
        self.fleet = LeavingFleet(trouble.nodes, directory, callers)
        for server in self.fleet.engines:
            server.named_limit = trouble.limit
            server.has_report = trouble.has_report
            server.says_born = trouble.says_born

    async def run(self, duration_s: float) -> Outcome:
        async with self.fleet.running():
            faults = asyncio.ensure_future(self._run_faults(duration_s))
            calls: list[asyncio.Future[int]] = []
            while not faults.done():
                calls.append(asyncio.ensure_future(self.fleet.call_any()))
                await asyncio.sleep(1 / self._trouble.calls_per_s)
            await faults
            statuses = await asyncio.gather(*calls)
        told = [
            call
            for server in self.fleet.engines
            for call in server.calls
            if call.is_leaving
        ]
        return Outcome(
            self.fleet.late_calls(),
            self._leavings,
            len(told),
            len(calls),
            statuses.count(200),
            [self._back_s(*sound) for sound in self._sound],
            self._faults,
        )

    async def _run_faults(self, duration_s: float) -> None:
        others = [
            asyncio.ensure_future(fault)
            for fault, is_wanted in (
                (self._stop_nodes(), self._trouble.stops_nodes),
                (self._kill_nodes(), self._trouble.kills_nodes),
                (self._send_store_away(), self._trouble.has_store_away),
            )
            if is_wanted or fault.close()
        ]
        until_s = time.monotonic() + duration_s
        leavings = []
        while time.monotonic() < until_s:
            leavings.append(asyncio.ensure_future(self._leave()))
            await asyncio.sleep(self._rng.uniform(*self._trouble.interval_s))
        await asyncio.gather(*leavings)
        await asyncio.sleep(RECOVERY_S)
        for other in others:
            other.cancel()
        for other in others:
            with contextlib.suppress(asyncio.CancelledError):
                await other

    async def _leave(self) -> None:
        idle = [s for s in self.fleet.engines if s.server_id not in self._busy]
        # Another one of its service must serve.
        if len(idle) <= len(self.fleet.engines) // 2:
            return
        server = self._rng.choice(idle)
        self._busy.add(server.server_id)
        self._leavings += 1
        how = self._rng.choice(self._trouble.ways)
        if how is How.BEFORE_ENTRY:
            delay_s = self._trouble.entry_delay_s
            await self._restart(server, delay_s, says_leaving=True)
        else:
            server.says_leaving = True
            self._describe(f"{server.server_id} says that it leaves")
        await asyncio.sleep(self._rng.uniform(*SERVED_S))
        await self._restart(server, SOUND_ENTRY_DELAY_S, says_leaving=False)
        self._sound.append((server, server.born, time.monotonic()))
        self._busy.discard(server.server_id)

    async def _restart(
        self,
        server: EngineProcess,
        entry_delay_s: tuple[float, float],
        *,
        says_leaving: bool,
    ) -> None:
        server.kill()
        await asyncio.sleep(self._rng.uniform(*RETURN_S))
        server.says_leaving = says_leaving
        server.draw_born()
        await server.start(server.port)
        how = "leaves" if says_leaving else "stays"
        name = server.server_id
        self._describe(f"{name} started at {server.born} and {how}")
        await asyncio.sleep(self._rng.uniform(*entry_delay_s))
        self.fleet.publish_entry(server, self.fleet.service_of(server))
        self._describe(f"the entry of {name} names that start")

    def _back_s(
        self, server: EngineProcess, born: int, since_s: float
    ) -> float:
        """Returns after what time a process got a call."""
        times_s = sorted(
            call.arrived_s
            for call in server.calls
            if call.born == born and call.arrived_s >= since_s
        )
        return times_s[0] - since_s if times_s else math.inf

    async def _stop_nodes(self) -> None:
        while True:
            await asyncio.sleep(self._rng.uniform(*STOP_INTERVAL_S))
            ip = self._rng.choice(self.fleet.ips)
            self._describe(f"{ip} is stopped")
            self.fleet.processes[ip].pause()
            try:
                await asyncio.sleep(self._rng.uniform(*STOP_S))
            finally:
                self.fleet.processes[ip].resume()
                self._disturb(ip)

    async def _kill_nodes(self) -> None:
        while True:
            await asyncio.sleep(self._rng.uniform(*STOP_INTERVAL_S))
            ip = self._rng.choice(self.fleet.ips)
            self._describe(f"{ip} is killed")
            self.fleet.kill_nodes([ip])
            await self.fleet.start_nodes_again([ip])
            self._disturb(ip)

    def _disturb(self, ip: str) -> None:
        bisect.insort(self.fleet.disturbed_s[ip], time.monotonic())

    async def _send_store_away(self) -> None:
        store = self.fleet.store
        while True:
            await asyncio.sleep(self._rng.uniform(*AWAY_INTERVAL_S))
            is_silent = self._rng.random() < 0.5
            self._describe("the store is away")
            store.is_silent = is_silent
            store.status = None if is_silent else UNAVAILABLE
            try:
                await asyncio.sleep(self._rng.uniform(*AWAY_S))
            finally:
                store.is_silent, store.status = False, None
            self._describe("the store is back")

    def _describe(self, text: str) -> None:
        now = dt.datetime.now(dt.UTC)
        self._faults.append(f"{now:%H:%M:%S.%f} {text}")


def main() -> int:
    """Plays one seed; returns 0 if no call came too late, else 1."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=25.0)
    parser.add_argument("--nodes", type=int, default=3)
    parser.add_argument("--per-s", type=float, default=CALLS_PER_S)
    parser.add_argument("--limit", default=None)
    parser.add_argument("--mixed", action="store_true")
    parser.add_argument("--no-report", action="store_true")
    parser.add_argument("--no-born", action="store_true")
    parser.add_argument("--stops-nodes", action="store_true")
    parser.add_argument("--kills-nodes", action="store_true")
    parser.add_argument("--store-away", action="store_true")
    parser.add_argument("--source", type=pathlib.Path, default=None)
    parser.add_argument("--other-nodes", type=int, default=0)
    parser.add_argument("--keep", type=pathlib.Path, default=None)
    cfg = parser.parse_args()
    directory = cfg.keep or pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
    directory.mkdir(parents=True, exist_ok=True)
    trouble = Trouble(
        cfg.nodes,
        cfg.per_s,
        tuple(How) if cfg.mixed else (How.BEFORE_ENTRY,),
        limit=cfg.limit,
        has_report=not cfg.no_report,
        says_born=not cfg.no_born,
        stops_nodes=cfg.stops_nodes,
        kills_nodes=cfg.kills_nodes,
        has_store_away=cfg.store_away,
    )
    outcome = run_leaving_servers(
        cfg.seed, directory, cfg.seconds, trouble, cfg.source, cfg.other_nodes
    )
    _print(cfg.seed, outcome, directory)
    return 1 if outcome.late else 0


def _print(seed: int, outcome: Outcome, directory: pathlib.Path) -> None:
    back_s = sorted(outcome.back_s) or [math.nan]
    print(
        f"seed {seed}: {outcome.leavings} leavings, {len(outcome.late)} late;"
        f" {outcome.heard} calls to servers that leave;"
        f" {outcome.served} of {outcome.calls} served;"
        f" sound ones back after {back_s[len(back_s) // 2]:.2f} s"
        f" ({back_s[-1]:.2f} at most); logs in {directory}"
    )
    for late in outcome.late:
        print(f"  LATE: {late}")
    if outcome.late:
        print(*outcome.faults, sep="\n")


if __name__ == "__main__":
    sys.exit(main())
