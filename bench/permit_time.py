"""Time, processor time and bytes of permits; `python -m bench.permit_time`.

Six nodes' gates run in this process, joined by their real links on loopback.
Threads on each node acquire permits at a steady rate, hold each a moment and
return it. Processor time is that of all nodes and of these threads together;
what the idle gates spend is taken off. `wake p95` is how late these threads
wake from a sleep: the part of the time that process and machine add.
"""

import contextlib
import os
import random
import threading
import time
from collections.abc import Iterator
from typing import NamedTuple

from prometheus_client import CollectorRegistry
from returns.result import Failure, Result
from tests.peers.linkkit import Network, Peer
from tests.permits.fakes import FakeCanceller, member, rules_of, server

from bench.counting_log import silence_logs
from bench.processes import percentile
from savorylift.identity import NodeRef
from savorylift.outcomes import Refusal
from savorylift.peers.view import RosterSource, RosterView
from savorylift.permits.evidence import LoadReport
from savorylift.permits.gate import Permit, PermitRequest, PermitUse
from savorylift.permits.keeper_gate import KeeperGate
from savorylift.rules.view import RulesSource

NODES = 6
DOMAINS = 4
SERVERS = 5
PLACES = 300  # of each server, cold or warm; no request has to wait for one
LOTS = 3 * SERVERS
RATES = (50, 100, 200, 400)  # permits a second over all nodes
THREADS_PER_NODE = 4
SECONDS = 10.0
IDLE_S = 5.0
HOLD_S = 0.01
FIRST_TOKEN_S = 0.005
PATIENCE_S = 3.0
SETTLE_S = 3.0
READY_TIMEOUT_S = 20.0
BOUND_S = 0.010  # of the first token's delay that a node adds, at p95
SEED = 20300101


class Spent(NamedTuple):
    """Running totals of this process."""

    cpu_s: float
    sent_bytes: float
    messages: float


class Row(NamedTuple):
    """Figures of one rate.

    Attributes:
        rate: Permits a second.
        times_s: Time of each permit.
        late_s: How late a thread woke from each sleep, without any permit.
        refused: Requests without a permit.
        per_permit: Totals a permit, with what idling costs taken off.
    """

    rate: int
    times_s: list[float]
    late_s: list[float]
    refused: int
    per_permit: Spent


class Node:
    """A gate and its link."""

    def __init__(
        self, network: Network, ref: NodeRef, roster: RosterSource
    ) -> None:
        """Starts the threads of both."""
        self.ref = ref
        self._peer = Peer(network, ref, ping_interval_s=1.0, ping_timeout_s=1.0)
        names = server_names()
        rules = (server(name, PLACES, PLACES) for name in names)
        self.gate = KeeperGate(
            ref,
            RulesSource(rules_of(*rules)),
            roster,
            self._peer.link,
            FakeCanceller(),
        )

    @property
    def registry(self) -> CollectorRegistry:
        """The link's counters."""
        return self._peer.registry

    def lots(self) -> int:
        """Returns how many lots the node owns."""
        return sum(len(item.lots) for item in self.gate.status().servers)

    def stop(self) -> None:
        """Ends all threads."""
        self.gate.stop()
        self._peer.link.stop()


class Worker:
    """A thread that acquires and returns permits at a steady rate."""

    def __init__(self, node: Node, number: int, rate: int) -> None:
        """Starts at a share of the first interval."""
        workers = NODES * THREADS_PER_NODE
        self.times_s: list[float] = []
        self.late_s: list[float] = []
        self.refused = 0
        self._node = node
        self._number = number
        self._interval_s = workers / rate
        self._first_s = time.monotonic() + number * self._interval_s / workers
        self._random = random.Random(f"{SEED}-{rate}-{number}")
        self._thread = threading.Thread(target=self._run)
        self._prefix = f"{rate}-{number}"

    def start(self) -> None:
        """Begins to ask."""
        self._thread.start()

    def join(self) -> None:
        """Waits until it has asked for the last time."""
        self._thread.join()

    def _run(self) -> None:
        for turn in range(int(SECONDS / self._interval_s)):
            due_s = self._first_s + turn * self._interval_s
            time.sleep(max(0.0, due_s - time.monotonic()))
            self._use_one(f"{self._prefix}-{turn}")

    def _use_one(self, name: str) -> None:
        began_s = time.perf_counter()
        result = self._acquire(name)
        took_s = time.perf_counter() - began_s
        if isinstance(result, Failure):
            self.refused += 1
            return
        self.times_s.append(took_s)
        permit = result.unwrap()
        gate = self._node.gate
        gate.started(permit, "1", FIRST_TOKEN_S, is_cold=False)
        self._hold()
        gate.release(permit, _use())

    def _hold(self) -> None:
        began_s = time.perf_counter()
        time.sleep(HOLD_S)
        self.late_s.append(time.perf_counter() - began_s - HOLD_S)

    def _acquire(self, name: str) -> Result[Permit, Refusal]:
        candidates = server_names()
        self._random.shuffle(candidates)
        deadline_s = time.monotonic() + PATIENCE_S
        return self._node.gate.acquire(
            PermitRequest(
                name, tuple(candidates), name, "team", 1, 0, 0, deadline_s
            )
        )


def main() -> None:
    """Prints a row a rate."""
    print(f"{NODES} nodes, {SERVERS} backend servers, seed {SEED}, times in ms")
    print(
        "permits/s      n  refused    p50    p95    p99  wake p95"
        "  CPU us  bytes  messages  load"
    )
    silence_logs()
    with _nodes() as nodes:
        idle = _idle(nodes)
        rows = [_measure(nodes, rate, idle) for rate in RATES]
    print(
        f"idle, all nodes: {100 * idle.cpu_s:.2f} % of a core, "
        f"{idle.sent_bytes:.0f} B/s, {idle.messages:.1f} messages/s"
    )
    print("no target for the permit alone; the first token's is its bound:")
    for row in rows:
        p95_s = percentile(row.times_s, 0.95)
        verdict = "met" if p95_s <= BOUND_S else "missed"
        print(
            f"{row.rate} permits/s: p95 {1000 * p95_s:.2f} ms, "
            f"target {1000 * BOUND_S:.0f} ms: {verdict}"
        )


def server_names() -> list[str]:
    """Returns the names of all backend servers."""
    return [f"runner-{number}" for number in range(SERVERS)]


@contextlib.contextmanager
def _nodes() -> Iterator[list[Node]]:
    refs = [NodeRef(f"vm-{number}", "1") for number in range(NODES)]
    members = {
        ref.vm: member(ref, 0, f"d{number % DOMAINS}")
        for number, ref in enumerate(refs)
    }
    roster = RosterSource(RosterView(0, members))
    network = Network()
    with contextlib.ExitStack() as stack:
        nodes = []
        for ref in refs:
            nodes.append(Node(network, ref, roster))
            stack.callback(nodes[-1].stop)
        _settle(nodes)
        yield nodes


def _settle(nodes: list[Node]) -> None:
    """Waits until every lot has its keeper and all servers are warm."""
    deadline_s = time.monotonic() + READY_TIMEOUT_S
    while sum(node.lots() for node in nodes) < LOTS:
        assert time.monotonic() < deadline_s, "lots without a keeper"
        time.sleep(0.05)
    time.sleep(SETTLE_S)  # older than any load report may be
    for node in nodes:
        for name in server_names():
            report = LoadReport(time.monotonic(), "1", False, False, 0)
            node.gate.load(name, report)


def _idle(nodes: list[Node]) -> Spent:
    """Returns what the idle gates spend in a second."""
    before = _spent(nodes)
    time.sleep(IDLE_S)
    return _per(before, _spent(nodes), IDLE_S, Spent(0.0, 0.0, 0.0))


def _measure(nodes: list[Node], rate: int, idle: Spent) -> Row:
    workers = [
        Worker(nodes[number % NODES], number, rate)
        for number in range(NODES * THREADS_PER_NODE)
    ]
    began_s = time.monotonic()
    before = _spent(nodes)
    for worker in workers:
        worker.start()
    for worker in workers:
        worker.join()
    after = _spent(nodes)
    took_s = time.monotonic() - began_s
    times_s = [item for worker in workers for item in worker.times_s]
    late_s = [item for worker in workers for item in worker.late_s]
    refused = sum(worker.refused for worker in workers)
    idled = Spent(*(took_s * part for part in idle))
    per_permit = _per(before, after, len(times_s), idled)
    row = Row(rate, times_s, late_s, refused, per_permit)
    _print_row(row)
    return row


def _print_row(row: Row) -> None:
    shares = (percentile(row.times_s, share) for share in (0.5, 0.95, 0.99))
    print(
        f"{row.rate:9} {len(row.times_s):6} {row.refused:8} "
        + " ".join(f"{1000 * share:6.2f}" for share in shares)
        + f" {1000 * percentile(row.late_s, 0.95):9.2f}"
        f" {1e6 * row.per_permit.cpu_s:7.0f} {row.per_permit.sent_bytes:6.0f}"
        f" {row.per_permit.messages:9.1f} {os.getloadavg()[0]:5.1f}",
        flush=True,
    )


def _per(before: Spent, after: Spent, count: float, idled: Spent) -> Spent:
    parts = zip(before, after, idled, strict=True)
    return Spent(*((new - old - off) / count for old, new, off in parts))


def _spent(nodes: list[Node]) -> Spent:
    return Spent(
        time.process_time(),
        sum(_sent(node, "savorylift_peer_bytes_total") for node in nodes),
        sum(_sent(node, "savorylift_peer_messages_total") for node in nodes),
    )


def _sent(node: Node, name: str) -> float:
    return sum(
        sample.value
        for family in node.registry.collect()
        for sample in family.samples
        if sample.name == name and sample.labels["direction"] == "sent"
    )


def _use() -> PermitUse:
    return PermitUse(
        finished=True,
        completed=True,
        first_token_s=FIRST_TOKEN_S,
        output_tokens=1,
        overloaded=False,
        incarnation="1",
    )


if __name__ == "__main__":
    main()
