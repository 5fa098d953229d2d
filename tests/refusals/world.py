"""Several nodes that refuse requests, one log, stepped event by event.

Each refusal names a team of its own, so that a report shows how often each
one was counted.
"""

import itertools
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from savorylift.identity import NodeInfo, NodeRef
from savorylift.log_service.log import REFUSALS_STREAM
from savorylift.outcomes import Ending, Reason, Refusal
from savorylift.peers.view import Member, RosterView
from savorylift.refusals.account import Account
from savorylift.refusals.book import RefusedRequest
from savorylift.refusals.copies import CopyPlan
from savorylift.refusals.keeper import Keeper
from savorylift.refusals.messages import BATCH_KIND, HOURS_STREAM, Batch
from savorylift.refusals.query import Period, Report, report
from savorylift.refusals.roll_up import RollUpCfg, roll_up
from savorylift.rendezvous import rank
from tests.log_service.fakes import AppendFault, FakeLog

NODES = 4
RETENTION_MS = 50_000
ROLL_UP = RollUpCfg(batch_age_ms=10_000, hour_age_ms=20_000)
ROLL_UP_EVERY_S = 20.0
FOREVER = Period(0, 1 << 50)


@dataclass
class Node:
    """One incarnation of a node."""

    ref: NodeRef

    def __post_init__(self) -> None:
        self.account = Account(self.ref)
        self.copies = CopyPlan(self.ref)
        self.keeper = Keeper()


@dataclass
class World:
    """All of it; every method is one event."""

    makes_copies: bool = True
    log: FakeLog = field(default_factory=FakeLog)
    net: list[Callable[[], None]] = field(default_factory=list)
    ended: set[NodeRef] = field(default_factory=set)
    refused: dict[str, tuple[NodeRef, int]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._incarnations = itertools.count()
        self._rolled_s = time.monotonic()
        self.nodes = [self._new_node(number) for number in range(NODES)]
        self._follow_roster()

    def write(self, number: int) -> None:
        node = self.nodes[number]
        team = f"t{len(self.refused)}"
        refusal = Refusal(Ending.NOT_RUN, Reason.QUEUE_FULL, "full")
        now_ms = int(time.time() * 1000)
        row = node.account.write(
            RefusedRequest(f"r-{team}", team, now_ms, refusal, 1, "")
        )
        assert row is not None
        self.refused[team] = (node.ref, row.sequence)
        node.copies.add(row)
        self._send_copies(node)

    def deliver(self, choice: int) -> None:
        if self.net:
            self.net.pop(choice % len(self.net))()

    def append(self, number: int, fault: int) -> None:
        node = self.nodes[number]
        entry = node.account.take_batch(NODES, is_urgent=True)
        if entry is None:
            return
        self._draw_fault(fault)
        result = self.log.append(REFUSALS_STREAM, (entry,))
        sequences = node.account.note_appended(result)
        node.copies.discard(sequences)
        members = {other.ref for other in self.nodes}
        for ref in node.copies.holders(members) if sequences else ():
            self._to(ref, lambda peer: peer.keeper.drop(node.ref, sequences))

    def publish(self, number: int, fault: int) -> None:
        node = self.nodes[number]
        entry = node.keeper.take_batch(self.view)
        if entry is not None:
            self._draw_fault(fault)
            result = self.log.append(REFUSALS_STREAM, (entry,))
            node.keeper.note_appended(result)

    def kill(self, number: int, *, is_listed: bool) -> None:
        """Replaces a node unless it holds the last copy of a refusal."""
        victim = self.nodes[number]
        if self.makes_copies and self._holds_last_copy(victim):
            return
        if is_listed:
            self.ended.add(victim.ref)
        self.nodes[number] = self._new_node(number)
        self._follow_roster()

    def roll_up(self, fault: int) -> None:
        self._draw_fault(fault)
        if roll_up(self.log, ROLL_UP).value_or(None) is not None:
            self._rolled_s = time.monotonic()

    def trim(self) -> None:
        """Forgets old records, unless no roll-up could be made in time."""
        if time.monotonic() - self._rolled_s > ROLL_UP_EVERY_S:
            return
        oldest_ms = time.time() * 1000 - RETENTION_MS
        for stream in (REFUSALS_STREAM, HOURS_STREAM):
            records = self.log.all_records(stream)
            old = [r for r in records if r.time_ms < oldest_ms]
            self.log.trim(stream, len(old))

    def has_forgotten(self, stream: str) -> bool:
        """Returns True if the log has forgotten records of `stream`."""
        return self.log.read(stream, 0).unwrap().first_offset > 0

    def tick(self, tick: Callable[[float], None], seconds: float) -> None:
        tick(seconds)
        for node in self.nodes:
            self._send_copies(node)

    def heal(self, tick: Callable[[float], None]) -> None:
        """Ends all faults and lets what is pending reach the log."""
        self.log.set_down(is_down=False)
        self.log.append_faults.clear()
        self.roll_up(0)
        for _ in range(3):
            self.log.deliver_late()
            while self.net:
                self.deliver(0)
            for number in range(NODES):
                while len(self.nodes[number].account):
                    self.append(number, 0)
                for _ in range(20):
                    self.publish(number, 0)
            tick(35.0)

    def check(self) -> None:
        """Compares the report with the refusals that were given."""
        found = report(self.log, FOREVER).unwrap()
        assert isinstance(found, Report)
        counts = {line.team: line.refusals for line in found.lines}
        twice = [team for team, count in counts.items() if count > 1]
        assert not twice, "counted twice"
        assert counts.keys() == self.refused.keys(), "lost"

    @property
    def view(self) -> RosterView:
        members = {
            node.ref.vm: Member(NodeInfo(node.ref, "d", "", "", ""), 0, False)
            for node in self.nodes
        }
        return RosterView(0, members, frozenset(self.ended))

    def _new_node(self, number: int) -> Node:
        return Node(NodeRef(f"n{number}", f"i{next(self._incarnations)}"))

    def _follow_roster(self) -> None:
        for node in self.nodes:
            refs = {n.ref.vm: n.ref for n in self.nodes if n is not node}
            order = rank(f"copies-{node.ref.vm}", refs)
            node.copies.set_ranked(tuple(refs[vm] for vm in order))
            self._send_copies(node)

    def _send_copies(self, node: Node) -> None:
        for ref, batch in node.copies.due(node.account.whole):
            self.net.append(
                lambda ref=ref, batch=batch: self._copy(node, ref, batch)  # type: ignore[misc]
            )

    def _copy(self, node: Node, ref: NodeRef, batch: Batch) -> None:
        is_held = any(other.ref == ref for other in self.nodes)
        if self.makes_copies:
            self._to(ref, lambda peer: peer.keeper.hold(batch))
        self.net.append(lambda: self._acknowledge(node, ref, is_held=is_held))

    def _acknowledge(self, node: Node, ref: NodeRef, *, is_held: bool) -> None:
        node.copies.note(ref, is_held=is_held)
        self._send_copies(node)

    def _to(self, ref: NodeRef, act: Callable[[Node], None]) -> None:
        for node in self.nodes:
            if node.ref == ref:
                act(node)

    def _draw_fault(self, fault: int) -> None:
        faults = (None, None, None, *AppendFault)
        picked = faults[fault % len(faults)]
        if picked is not None and not self.log.is_down:
            self.log.append_faults.append(picked)

    def _holds_last_copy(self, victim: Node) -> bool:
        safe = self._on_log()
        for node in self.nodes:
            if node is not victim:
                safe |= _numbers(node)
        return bool(_numbers(victim) - safe)

    def _on_log(self) -> set[tuple[NodeRef, int]]:
        found: set[tuple[NodeRef, int]] = set()
        for record in self.log.all_records(REFUSALS_STREAM):
            if record.kind == BATCH_KIND:
                found |= _in_batch(msgspec.json.decode(record.body, type=Batch))
        return found


def _numbers(node: Node) -> set[tuple[NodeRef, int]]:
    held = _in_batch(node.account.whole())
    for source, pending in node.keeper._held.items():
        held |= _in_batch(Batch(*source, *pending.peek(1 << 30, 1 << 30)))
    return held


def _in_batch(batch: Batch) -> set[tuple[NodeRef, int]]:
    rows = {row.sequence for row in batch.rows}
    for line in batch.lines:
        for start, end in line.sequences:
            rows.update(range(start, end))
    return {(batch.source, sequence) for sequence in rows}


def run_history(
    world: World, rng: random.Random, steps: int, tick: Callable[[float], None]
) -> None:
    """Runs random events, heals and compares."""
    draw = rng.randrange
    events: list[tuple[int, Callable[[], None]]] = [
        (12, lambda: world.write(draw(NODES))),
        (14, lambda: world.deliver(draw(99))),
        (5, lambda: world.append(draw(NODES), draw(7))),
        (4, lambda: world.publish(draw(NODES), draw(7))),
        (2, lambda: world.kill(draw(NODES), is_listed=draw(2) == 0)),
        (4, lambda: world.roll_up(draw(7))),
        (4, world.trim),
        (1, world.log.deliver_late),
        (1, lambda: world.log.set_down(is_down=draw(3) == 0)),
        (6, lambda: world.tick(tick, (0.5, 4.0, 19.0, 35.0)[draw(4)])),
    ]
    weights = [weight for weight, _ in events]
    for _, event in rng.choices(events, weights, k=steps):
        event()
    world.heal(tick)
    world.check()
