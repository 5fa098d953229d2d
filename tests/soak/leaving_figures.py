"""Counts requests that reach servers which leave, in shapes of their leaving.

A request is late if its caller sent it over `DRAIN_S` after the node that it
asked had answered one that the server told, or after the store acknowledged it.

Run as `python -m tests.soak.leaving_figures SHAPE [--source TREE/src]`.
"""

import argparse
import asyncio
import contextlib
import pathlib
import random
import tempfile
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import NamedTuple

from savorylift.platform.headers import SERVER_LEAVING
from savorylift.platform.store import SERVERS_TOPIC
from savorylift.wire.client_call import BrokenAnswerError, ClientCall
from savorylift.wire.connecting import connect
from savorylift.wire.message import Headers
from tests.front.engine_fleet import EngineProcessFleet
from tests.front.engine_process import EngineProcess
from tests.standins.platform_store import Topic

DRAIN_S = 2.0
# How long a server serves on after it has said that it leaves.
SERVES_ON_S = 6.0
HEARTBEAT_S = 1.2
WARM_UP_S = 2.0
COPY_AGE_S = (1.0, 4.0)
# Entries that haven't changed for longer than this are old ones.
AGED_S = 65.0
CALL_TIMEOUT_S = 6.0
RUN_S = 0.03
SLOW_S = 1.2
GENERATION_PREFIXES = ("/stream/", "/resumable/")
PLAIN_PATHS = ("/safe/x", "/once/x")
STREAM_PATHS = ("/stream/x", "/resumable/x")


class Sent(NamedTuple):
    """A request of a caller.

    Attributes:
        ip: Address of the node that it asked.
        sent_s: Monotonic time at which it sent the request.
    """

    ip: str
    sent_s: float


class Rig:
    """A fleet under load, whose servers write entries and leave in turn.

    Attributes:
        fleet: Nodes and servers, each a process.
        rng: Draws what varies.
        silent: Servers that write no entries now.
    """

    def __init__(self, fleet: EngineProcessFleet, seed: int) -> None:
        """Starts nothing yet."""
        self.fleet = fleet
        self.rng = random.Random(seed)
        self.silent: set[EngineProcess] = set()
        self._sequences: dict[EngineProcess, int] = {}
        self._sent: dict[str, Sent] = {}
        self._ended_s: dict[str, float] = {}
        # Those whose answers say that their server leaves.
        self._heard: set[str] = set()
        self._says_since_s: dict[EngineProcess, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self.statuses: dict[int, int] = {}

    @contextlib.asynccontextmanager
    async def running(self, per_s: float) -> AsyncIterator[None]:
        """Runs the fleet, the servers' heartbeats and the load."""
        async with self.fleet.running():
            for engine in self.fleet.engines:
                engine.delay_s = RUN_S
            running = [
                asyncio.ensure_future(self._write_entries()),
                asyncio.ensure_future(self._load(per_s)),
            ]
            await asyncio.sleep(WARM_UP_S)
            try:
                yield
            finally:
                for task in running:
                    task.cancel()

    def publish(
        self, engine: EngineProcess, state: str = "ready", **fields: object
    ) -> None:
        """Writes the next entry of a server."""
        sequence = self._sequences.get(engine, 1) + 1
        self._sequences[engine] = sequence
        entry = engine.entry(self.fleet.engine_service, "z0", state)
        entry["sequence"] = sequence
        for name, value in fields.items():
            entry[name] = value
        self.fleet.store.add(SERVERS_TOPIC, engine.server_id, entry)

    async def hear(self, engine: EngineProcess) -> None:
        """Lets a server say that it leaves, and waits for its answer.

        There is none if a node hears it in a report first.
        """
        self._says_since_s[engine] = time.monotonic()
        engine.says_leaving = True
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(DRAIN_S):
                while not any(a in self._ended_s for a in self.told(engine)):
                    await asyncio.sleep(0.02)

    def told(self, engine: EngineProcess) -> list[str]:
        """Returns the requests that a server told that it leaves."""
        return [
            call.attempt_id
            for call in engine.calls
            if call.is_leaving or self._was_heard(engine, call.attempt_id)
        ]

    def _was_heard(self, engine: EngineProcess, attempt: str) -> bool:
        """Whether an answer said that it leaves, and not of an earlier one.

        A run may have begun at another server that left.
        """
        since_s = self._says_since_s.get(engine, float("inf"))
        return attempt in self._heard and self._sent[attempt].sent_s > (
            since_s - RUN_S
        )

    async def start_again(self, engine: EngineProcess) -> None:
        """Another process takes the place of a server."""
        engine.kill()
        engine.says_leaving = engine.rejects_all = False
        engine.draw_born()
        await engine.start(engine.port)
        engine.calls.clear()
        self._says_since_s.pop(engine, None)
        self._sequences[engine] = 0
        self.silent.discard(engine)
        self.publish(engine)
        await asyncio.sleep(WARM_UP_S)

    def late(
        self, engine: EngineProcess, acknowledged_s: float | None
    ) -> list[str]:
        """Returns the late requests at the process of a server."""
        if acknowledged_s is None:
            acknowledged_s = float("inf")
        told_s: dict[str, float] = {}
        for attempt in self.told(engine):
            if attempt in self._ended_s:
                ip = self._sent[attempt].ip
                at_s = self._ended_s[attempt]
                told_s[ip] = min(told_s.get(ip, at_s), at_s)
        late = []
        for attempt in [call.attempt_id for call in engine.calls]:
            ip, sent_s = self._sent[attempt]
            known_s = min(told_s.get(ip, float("inf")), acknowledged_s)
            if sent_s > known_s + DRAIN_S:
                late.append(attempt)
        return late

    def node_of(self, attempt: str) -> str:
        """Returns the address of the node that a request was sent to."""
        return self._sent[attempt].ip

    async def _write_entries(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for engine in self.fleet.engines:
                if engine not in self.silent and engine.is_running:
                    self.publish(engine)

    async def _load(self, per_s: float) -> None:
        number = 0
        paths = PLAIN_PATHS
        if self.fleet.path.startswith(GENERATION_PREFIXES):
            paths = STREAM_PATHS
        while True:
            number += 1
            ip = self.rng.choice(self.fleet.ips)
            task = asyncio.ensure_future(
                self._call(ip, self.rng.choice(paths), f"a{number}")
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(1 / per_s)

    async def _call(self, ip: str, path: str, attempt: str) -> None:
        headers: Headers = (
            ("host", "h.example"),
            ("x-savorylift-attempt-id", attempt),
            ("x-savorylift-deadline-remaining", "4000"),
            ("x-api-key", "key"),
        )
        if path in STREAM_PATHS:
            headers += (("x-savorylift-token-counts", "100,50"),)
        status = 0
        with contextlib.suppress(BrokenAnswerError, OSError):
            async with asyncio.timeout(CALL_TIMEOUT_S):
                call = ClientCall(
                    await connect(ip, self.fleet.caller_port, 1.0)
                )
                self._sent[attempt] = Sent(ip, time.monotonic())
                call.send("POST", path, headers, attempt.encode())
                try:
                    head = await call.read_head()
                    if head.header(SERVER_LEAVING) is not None:
                        self._heard.add(attempt)
                    await call.read_rest(head)
                    status = head.status
                finally:
                    call.close()
        self._ended_s[attempt] = time.monotonic()
        self.statuses[status] = self.statuses.get(status, 0) + 1


# Lets a server leave; returns when the store acknowledged it, if it did.
Shape = Callable[[Rig, EngineProcess], Awaitable[float | None]]


async def say(rig: Rig, engine: EngineProcess) -> None:
    """Says so in its answers only, and writes entries as before."""
    await rig.hear(engine)


async def refuse(rig: Rig, engine: EngineProcess) -> None:
    """Says so in refusals."""
    engine.rejects_all = True
    await rig.hear(engine)


async def say_limited(rig: Rig, engine: EngineProcess) -> None:
    """Says so while requests wait for permits."""
    for server in rig.fleet.engines:
        server.named_limit = "5"
    await asyncio.sleep(WARM_UP_S)
    await rig.hear(engine)


async def say_slow(rig: Rig, engine: EngineProcess) -> None:
    """Says so while requests wait for a server with room."""
    for server in rig.fleet.engines:
        server.delay_s = SLOW_S
    await asyncio.sleep(WARM_UP_S)
    await rig.hear(engine)


async def say_lapse(rig: Rig, engine: EngineProcess) -> None:
    """Says so; its entry lapses for a while and comes back."""
    await rig.hear(engine)
    await _lapse(rig, engine)


async def say_lapse_aged(rig: Rig, engine: EngineProcess) -> None:
    """The same, a good minute after its entry last changed."""
    await asyncio.sleep(AGED_S)
    await say_lapse(rig, engine)


async def say_foreign(rig: Rig, engine: EngineProcess) -> None:
    """Says so; entries without a start, or with an earlier one, come too."""
    await rig.hear(engine)
    for fields in ({"born": None}, {"born": engine.born - 5000}, {"born": "x"}):
        rig.publish(engine, **fields)
        await asyncio.sleep(0.4)


async def say_two_addresses(rig: Rig, engine: EngineProcess) -> None:
    """Says so; another process writes entries under its ID meanwhile."""
    await rig.hear(engine)
    other = next(e for e in rig.fleet.engines if e is not engine)
    for _ in range(3):
        rig.publish(engine, address=f"127.0.0.1:{other.port}")
        await asyncio.sleep(0.4)
        rig.publish(engine)
        await asyncio.sleep(0.4)


async def remove(rig: Rig, engine: EngineProcess) -> float:
    """Its entry is removed."""
    return _remove(rig, engine)


async def remove_copy(rig: Rig, engine: EngineProcess) -> float:
    """The store comes back from a copy that has the removed entry."""
    topics = rig.fleet.store.copy()
    await asyncio.sleep(rig.rng.uniform(0.1, 0.5))
    acknowledged_s = _remove(rig, engine)
    await _restore(rig, topics)
    return acknowledged_s


async def remove_copy_aged(rig: Rig, engine: EngineProcess) -> float:
    """The same, a good minute after its entry last changed."""
    await asyncio.sleep(AGED_S)
    return await remove_copy(rig, engine)


async def drain_copy(rig: Rig, engine: EngineProcess) -> float:
    """The same with an entry that says that it drains, then is removed."""
    topics = rig.fleet.store.copy()
    await asyncio.sleep(rig.rng.uniform(0.1, 0.5))
    rig.silent.add(engine)
    rig.publish(engine, "draining")
    acknowledged_s = time.monotonic()
    await asyncio.sleep(rig.rng.uniform(0.1, 0.5))
    rig.fleet.remove_entry(engine)
    await _restore(rig, topics)
    return acknowledged_s


async def say_copy(rig: Rig, engine: EngineProcess) -> None:
    """Says so, and its entry is removed; the copy has it."""
    topics = rig.fleet.store.copy()
    await rig.hear(engine)
    _remove(rig, engine)
    await _restore(rig, topics)


async def say_cut(rig: Rig, engine: EngineProcess) -> None:
    """Says so while half of the nodes hear no other node."""
    cut = rig.rng.sample(rig.fleet.ips, len(rig.fleet.ips) // 2)
    rig.fleet.cut_off_nodes(cut)
    await rig.hear(engine)
    await asyncio.sleep(DRAIN_S)
    rig.fleet.heal_nodes(cut)


async def say_relayed(rig: Rig, engine: EngineProcess) -> None:
    """Says so while a node reaches no server, and others serve for it."""
    ip = rig.fleet.ips[0]
    rig.fleet.cut_off_servers(ip)
    await asyncio.sleep(2 * WARM_UP_S)
    await rig.hear(engine)
    await asyncio.sleep(SERVES_ON_S)
    rig.fleet.kill_nodes([ip])
    await rig.fleet.start_nodes_again([ip])


async def say_killed(rig: Rig, engine: EngineProcess) -> float:
    """Its entry drains; nodes that knew are killed and start again."""
    rig.silent.add(engine)
    rig.publish(engine, "draining")
    acknowledged_s = time.monotonic()
    await asyncio.sleep(0.5)
    ips = rig.rng.sample(rig.fleet.ips, len(rig.fleet.ips) - 1)
    rig.fleet.kill_nodes(ips)
    await rig.fleet.start_nodes_again(ips)
    return acknowledged_s


async def remove_while_away(rig: Rig, engine: EngineProcess) -> float:
    """Its entry is removed as soon as nodes hear the store again."""
    rig.fleet.store.is_silent = True
    await asyncio.sleep(rig.rng.uniform(2.0, 4.0))
    rig.fleet.store.is_silent = False
    # The core is stable, and so are acknowledgements, after this time.
    await asyncio.sleep(3.0)
    return _remove(rig, engine)


async def remove_long_after(rig: Rig, engine: EngineProcess) -> float:
    """The readers end long after the store was away, then it is removed."""
    rig.fleet.store.status = 503
    await asyncio.sleep(3.5)
    rig.fleet.store.status = None
    await asyncio.sleep(6.0)
    ips = rig.fleet.ips[:-1]
    rig.fleet.kill_nodes(ips)
    await asyncio.sleep(rig.rng.uniform(0.9, 2.2))
    acknowledged_s = _remove(rig, engine)
    await asyncio.sleep(SERVES_ON_S)
    await rig.fleet.start_nodes_again(ips)
    return acknowledged_s


def _remove(rig: Rig, engine: EngineProcess) -> float:
    rig.silent.add(engine)
    rig.fleet.remove_entry(engine)
    return time.monotonic()


async def _restore(rig: Rig, topics: dict[str, Topic]) -> None:
    await asyncio.sleep(rig.rng.uniform(*COPY_AGE_S))
    rig.fleet.store.restore(topics)


async def _lapse(rig: Rig, engine: EngineProcess) -> None:
    rig.silent.add(engine)
    rig.fleet.remove_entry(engine)
    await asyncio.sleep(rig.rng.uniform(0.5, 2.0))
    rig.silent.discard(engine)
    rig.publish(engine)


SHAPES: dict[str, Shape] = {
    shape.__name__: shape
    for shape in (
        say,
        refuse,
        say_limited,
        say_slow,
        say_lapse,
        say_lapse_aged,
        say_foreign,
        say_two_addresses,
        say_copy,
        say_cut,
        say_relayed,
        say_killed,
        remove,
        remove_copy,
        remove_copy_aged,
        remove_while_away,
        remove_long_after,
        drain_copy,
    )
}


async def measure(cfg: argparse.Namespace, directory: pathlib.Path) -> None:
    """Prints one line for each leaving, then one for all."""
    fleet = EngineProcessFleet(cfg.nodes, directory, cfg.path)
    # Streams neither break off nor hold versions apart here.
    for engine in fleet.engines:
        engine.resets_after = None
        engine.says_version = False
        engine.software_version = "v1"
    if cfg.source is not None:
        fleet.use_source(cfg.other_nodes or cfg.nodes, cfg.source)
    rig = Rig(fleet, cfg.seed)
    shape = SHAPES[cfg.shape]
    total = 0
    async with rig.running(cfg.per_s):
        for number in range(cfg.leavings):
            engine = fleet.engines[number % len(fleet.engines)]
            acknowledged_s = await shape(rig, engine)
            await asyncio.sleep(SERVES_ON_S)
            late = rig.late(engine, acknowledged_s)
            nodes = len({rig.node_of(attempt) for attempt in late})
            total += len(late)
            print(
                f"{cfg.shape} {number}: {len(late)} late at {nodes} nodes,"
                f" {len(rig.told(engine))} told",
                flush=True,
            )
            await rig.start_again(engine)
    print(
        f"{cfg.shape}, {cfg.nodes} nodes, seed {cfg.seed}, {cfg.path}:"
        f" {total} late in {cfg.leavings} leavings; {rig.statuses}",
        flush=True,
    )


def main() -> None:
    """Measures one shape."""
    parser = argparse.ArgumentParser()
    parser.add_argument("shape", choices=sorted(SHAPES))
    parser.add_argument("--nodes", type=int, default=3)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--leavings", type=int, default=4)
    parser.add_argument("--per-s", type=float, default=25.0)
    parser.add_argument("--path", default="/safe/x")
    parser.add_argument("--source", type=pathlib.Path, default=None)
    parser.add_argument("--other-nodes", type=int, default=0)
    parser.add_argument("--keep", type=pathlib.Path, default=None)
    cfg = parser.parse_args()
    if cfg.keep is not None:
        cfg.keep.mkdir(parents=True, exist_ok=True)
        asyncio.run(measure(cfg, cfg.keep))
        return
    with tempfile.TemporaryDirectory(dir="/var/tmp") as directory:
        asyncio.run(measure(cfg, pathlib.Path(directory)))


if __name__ == "__main__":
    main()
