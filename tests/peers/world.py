"""Nodes under a paused clock, with a network and a log that fail.

The oracle is kept apart from the code under test: it knows when each order
was accepted, who applied it, and when each node read the log.
"""

import heapq
import itertools
import time
from collections.abc import Callable
from typing import NamedTuple

from prometheus_client import CollectorRegistry
from returns.pipeline import is_successful

from savorylift.identity import NodeInfo, NodeRef
from savorylift.peers.board import PeersBoard
from savorylift.peers.core import GossipOptions, PeersCore, Published
from savorylift.peers.counters import GossipCounters
from savorylift.peers.messages import GossipAnswer, GossipQuestion
from savorylift.peers.staleness import (
    DispatchGuard,
    StalenessOptions,
    TailProof,
)
from savorylift.peers.view import Member, RosterSource, RosterView

Tick = Callable[[float], object]  # moves the paused clock by seconds

STEP_S = 0.1  # every node tries to dispatch
TICK_STEPS = 2
READ_S = 0.5  # the log answers a waiting read at least this often
DELAY_S = 0.02
PROMISE_S = 3.0  # from acceptance of an order to no new work against it
FETCH_S = 0.3  # a node that learns of a record may refuse until it has it
SETTLE_S = 5.0  # after the last fault of a link or a node


class Baseline(NamedTuple):
    """Mechanisms left out, to see the oracle notice it."""

    has_rule: bool = True
    counts_from_sending: bool = True


WHOLE = Baseline()


class SimNode:
    """One node: its decisions, its configuration and its faults."""

    def __init__(self, world: "World", ref: NodeRef) -> None:
        self.ref = ref
        self.world = world
        self.offset = -1
        self.is_frozen = False
        self.has_log = True
        self.late: list[Callable[[], None]] = []
        self.reads_s: list[float] = []
        self.allowed_s = time.monotonic()
        staleness = StalenessOptions()
        self.guard = DispatchGuard(staleness)
        self.core = PeersCore(
            GossipOptions(own=ref, staleness=staleness),
            world.roster,
            Published(self.guard, PeersBoard(ref)),
            self,
            GossipCounters(CollectorRegistry()),
        )

    def rules_offset(self) -> int:
        return self.offset

    def load(self) -> tuple[int, ...]:
        return (1,)

    def on_peer_offset(self, node: NodeRef, offset: int) -> None:
        peer = self.world.nodes[node.vm]
        found = peer.offset
        self.world.send(peer, self, lambda: self.apply(found))

    def apply(self, offset: int) -> None:
        self.offset = max(self.offset, offset)

    def run(self, action: Callable[[], None]) -> None:
        """Runs now, or when this node wakes."""
        if self.is_frozen:
            self.late.append(action)
        else:
            action()

    def may_dispatch(self) -> bool:
        if not self.world.baseline.has_rule:
            return True
        return is_successful(self.guard.may_dispatch())


class World:
    """All nodes, the log, and what is cut or slow between them."""

    def __init__(
        self, tick: Tick, count: int, baseline: Baseline = WHOLE
    ) -> None:
        self._tick = tick
        self.baseline = baseline
        self.is_log_up = True
        self.accepted_s: list[float] = []
        self.cuts: set[tuple[str, str]] = set()
        self.delays: dict[tuple[str, str], float] = {}
        self.faulty_s = time.monotonic()
        self.dispatches = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._steps = 0
        refs = [NodeRef(f"n{number}", "1") for number in range(count)]
        members = {ref.vm: _member(ref) for ref in refs}
        self.roster = RosterSource(RosterView(0, members))
        self.nodes = {ref.vm: SimNode(self, ref) for ref in refs}

    def order(self) -> None:
        """An operator's order is accepted by the log."""
        self.accepted_s.append(time.monotonic())

    def freeze(self, vm: str) -> None:
        self.nodes[vm].is_frozen = True

    def thaw(self, vm: str) -> None:
        node = self.nodes[vm]
        node.is_frozen = False
        self.check(node)  # a request thread may run before any other
        for action in node.late:
            action()
            self.check(node)
        node.late.clear()

    def send(
        self, source: SimNode, target: SimNode, action: Callable[[], None]
    ) -> None:
        """Delivers after the link's delay, unless it is cut."""
        link = (source.ref.vm, target.ref.vm)
        if link in self.cuts:
            return
        delay_s = self.delays.get(link, DELAY_S)
        self._at(delay_s, lambda: target.run(action))

    def advance(self, duration_s: float) -> None:
        """Lets time pass; every node tries to dispatch at each step."""
        for _ in range(round(duration_s / STEP_S)):
            self._deliver_until(time.monotonic() + STEP_S)
            self._steps += 1
            if self._has_faults():
                self.faulty_s = time.monotonic()
            for number, node in enumerate(self.nodes.values()):
                if not node.is_frozen:
                    self._run_node(node, number)
            for node in self.nodes.values():
                if not node.is_frozen:
                    self.check(node)

    def _has_faults(self) -> bool:
        """Returns True while a link or a node is out of order."""
        is_slow = any(delay_s > DELAY_S for delay_s in self.delays.values())
        is_frozen = any(node.is_frozen for node in self.nodes.values())
        return bool(self.cuts) or is_slow or is_frozen

    def _run_node(self, node: SimNode, number: int) -> None:
        if (self._steps + number) % round(READ_S / STEP_S) == 0:
            self._read_log(node)
        if (self._steps + number) % TICK_STEPS:
            return
        node.core.tick()
        for target, question in node.core.due_questions():
            self._ask(node, self.nodes[target.vm], question.known_change)

    def _read_log(self, node: SimNode) -> None:
        if not (self.is_log_up and node.has_log):
            return
        sent_s = time.monotonic()
        tail = len(self.accepted_s)
        self._at(DELAY_S, lambda: node.run(lambda: take(node)))

        def take(node: SimNode) -> None:
            node.apply(tail - 1)
            node.reads_s.append(sent_s)
            node.core.take_proof(TailProof(sent_s, tail))

    def _ask(self, asker: SimNode, target: SimNode, known: int) -> None:
        sent_s = time.monotonic()
        question = GossipQuestion(known)

        def take(answer: GossipAnswer) -> None:
            counted_s = sent_s
            if not self.baseline.counts_from_sending:
                counted_s = time.monotonic()
            asker.core.take_answer(target.ref, counted_s, answer)

        def reply() -> None:
            answer = target.core.answer(asker.ref, question)
            self.send(target, asker, lambda: take(answer))

        self.send(asker, target, reply)

    def _at(self, delay_s: float, action: Callable[[], None]) -> None:
        event = (time.monotonic() + delay_s, next(self._order), action)
        heapq.heappush(self._events, event)

    def _deliver_until(self, until_s: float) -> None:
        """Moves the clock from event to event and on to `until_s`."""
        while self._events and self._events[0][0] <= until_s:
            at_s, _, action = heapq.heappop(self._events)
            self._tick(max(0.0, at_s - time.monotonic()))
            action()
        self._tick(max(0.0, until_s - time.monotonic()))

    def check(self, node: SimNode) -> None:
        """Raises if the node may dispatch and must not, or the reverse."""
        now_s = time.monotonic()
        is_allowed = node.may_dispatch()
        self.dispatches += is_allowed
        if is_allowed:
            for accepted_s in self.accepted_s[node.offset + 1 :]:
                is_late = now_s - accepted_s > PROMISE_S
                is_exposed = self._is_exposed(accepted_s, now_s)
                assert not is_late or is_exposed, "dispatch against an order"
            node.allowed_s = now_s
        elif now_s - max(self.faulty_s + SETTLE_S, node.allowed_s) > FETCH_S:
            raise AssertionError(f"{node.ref.vm} is stopped without cause")

    def _is_exposed(self, accepted_s: float, now_s: float) -> bool:
        """Returns True if too few nodes have read the log since an order.

        Those without the log then hear a majority as stale as themselves.
        """
        until_s = now_s - StalenessOptions().heard_within_s
        informed = [
            node
            for node in self.nodes.values()
            if any(accepted_s < s <= until_s for s in node.reads_s)
        ]
        return len(informed) <= (len(self.nodes) - 1) // 2


def _member(ref: NodeRef) -> Member:
    number = int(ref.vm[1:])
    info = NodeInfo(ref, "ikeja-a", f"c{number}", f"p{number}", f"o{number}")
    return Member(info, joined_offset=number, leaving=False)
