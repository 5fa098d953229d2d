"""Gossip and staleness decisions of one node."""

import time
from collections.abc import Container, Iterable
from typing import NamedTuple

from savorylift.identity import NodeRef
from savorylift.log_service.vms import VmEntry
from savorylift.peers.board import PeersBoard, PeersView
from savorylift.peers.counters import GossipCounters
from savorylift.peers.gossip import GossipTable
from savorylift.peers.hearing import Hearing
from savorylift.peers.marks import LeavingMarks
from savorylift.peers.messages import GossipAnswer, GossipQuestion
from savorylift.peers.neighbours import Neighbours
from savorylift.peers.options import seed_ref
from savorylift.peers.question_schedule import QuestionSchedule
from savorylift.peers.staleness import (
    DispatchGuard,
    Staleness,
    StalenessOptions,
    TailProof,
)
from savorylift.peers.surroundings import Surroundings
from savorylift.peers.view import RosterSource

BOARD_S = 0.5  # between two views of the board without new marks


class GossipOptions(NamedTuple):
    """Options of gossip and of the staleness rule.

    Attributes:
        own: This node.
        seeds: `ip:port` of nodes to ask while the roster names no others.
        gossip_s: Time between two questions to the same neighbour.
        urgent_gossip_s: The same while proofs of the log's tail stay away.
        urgent_after_s: Age of the newest proof at which that begins.
        ask_timeout_s: Bound on one answer.
        staleness: Options of the staleness rule.
    """

    own: NodeRef
    seeds: tuple[str, ...] = ()
    gossip_s: float = 1.0
    urgent_gossip_s: float = 0.4
    urgent_after_s: float = 0.8
    ask_timeout_s: float = 0.9
    staleness: StalenessOptions = StalenessOptions()


class Published(NamedTuple):
    """Where other threads read what was decided.

    Attributes:
        guard: The last check before a dispatch.
        board: Knowledge of the other nodes.
    """

    guard: DispatchGuard
    board: PeersBoard


class PeersCore:
    """Plain state of one owner, driven by ticks, answers and questions."""

    def __init__(
        self,
        cfg: GossipOptions,
        roster: RosterSource,
        published: Published,
        surroundings: Surroundings,
        counters: GossipCounters,
    ) -> None:
        """Starts without answers and without a proof."""
        self._cfg = cfg
        self._roster = roster
        self._published = published
        self._surroundings = surroundings
        self._counters = counters
        self._marks = LeavingMarks()
        self._table = GossipTable(cfg.own, self._marks)
        self._hearing = Hearing(cfg.own)
        self._neighbours = Neighbours(cfg.own)
        self._staleness = Staleness(cfg.staleness)
        self._newest_offset = -1
        self._schedule = QuestionSchedule(cfg.gossip_s)
        self._has_news = False
        self._board_at_s = float("-inf")

    def tick(self) -> None:
        """Takes in what changed on this node; call it about every 0.1 s."""
        if self._published.guard.view().was_paused(time.monotonic()):
            self._counters.pause()
        self._use_roster()
        offset = self._surroundings.rules_offset()
        self._table.set_own(offset, self._surroundings.load())
        self._publish_guard()
        if time.monotonic() - self._board_at_s >= BOARD_S:
            self.publish_board()

    def due_questions(
        self, asking: Container[NodeRef] = ()
    ) -> list[tuple[NodeRef, GossipQuestion]]:
        """Returns whom to ask now, save those that are being asked."""
        nodes = self._neighbours.current(self._hearing.heard_s)
        if not nodes:
            nodes = [seed_ref(address) for address in self._cfg.seeds]
        self._schedule.follow(nodes)
        return [
            (node, GossipQuestion(self._schedule.known_change(node)))
            for node in self._schedule.take_due(self._interval_s(), asking)
        ]

    def ask_soon(self, node: NodeRef) -> None:
        """Makes a question to a neighbour due that has news."""
        self._schedule.hasten(node)

    def take_news(self) -> list[NodeRef]:
        """Returns whom to tell that there are new marks here, once."""
        if not self._has_news:
            return []
        self._has_news = False
        return self._schedule.nodes()

    def answer(self, sender: NodeRef, question: GossipQuestion) -> GossipAnswer:
        """Returns the answer to another node's question."""
        self._neighbours.note_asker(sender)
        proof = self._staleness.newest_proof()
        return GossipAnswer(
            change=self._table.change,
            rules_offset=self._surroundings.rules_offset(),
            newest_offset=self._newest_offset,
            proof_age_ms=_age_ms(proof),
            proof_next_offset=proof.next_offset if proof else 0,
            roster_offset=self._hearing.roster_offset,
            heard=self._hearing.pack(),
            nodes=self._table.nodes_since(question.known_change, sender),
            vms=self._table.vms_since(question.known_change),
        )

    def take_answer(
        self, node: NodeRef, sent_s: float, answer: GossipAnswer
    ) -> None:
        """Takes in the answer to a question that was sent at `sent_s`."""
        self._use_roster()
        self._hearing.hear(node, sent_s)
        self._hearing.merge(answer.roster_offset, answer.heard, sent_s)
        self._take_states(node, answer)
        self._take_offsets(node, answer)
        if answer.proof_age_ms >= 0:
            proven_s = sent_s - answer.proof_age_ms / 1000
            proof = TailProof(proven_s, answer.proof_next_offset)
            self._add_proof(proof, "peer")
        self._publish_guard()

    def take_proof(self, proof: TailProof) -> None:
        """Takes in a read by this node that reached the log's tail."""
        self._add_proof(proof, "log")
        self._publish_guard()

    def take_list(self, entries: Iterable[VmEntry]) -> None:
        """Takes in one read of the platform's list."""
        self._change_marks(self._marks.observe(entries))

    def mark_leaving(self, vm: str, incarnation: str) -> None:
        """Marks a VM that said it is leaving."""
        is_new = self._marks.mark(vm, incarnation)
        self._change_marks([vm] if is_new else [])

    def publish_board(self) -> None:
        """Publishes what is known of the other nodes."""
        self._board_at_s = time.monotonic()
        self._published.board.replace(
            PeersView(
                own=self._cfg.own,
                roster=self._roster.current(),
                heard_s=self._hearing.by_node(),
                states=self._table.states(),
                marks=self._marks.view(),
                newest_offset=self._newest_offset,
            )
        )

    def _use_roster(self) -> None:
        roster = self._roster.current()
        self._hearing.use_roster(roster)
        self._neighbours.use_roster(roster)
        self._table.use_roster(roster)

    def _interval_s(self) -> float:
        cfg = self._cfg
        proof = self._staleness.newest_proof()
        since_s = time.monotonic() - cfg.urgent_after_s
        if proof is None or proof.sent_s < since_s:
            return min(cfg.gossip_s, cfg.urgent_gossip_s)
        return cfg.gossip_s

    def _take_states(self, node: NodeRef, answer: GossipAnswer) -> None:
        self._table.merge(answer.nodes, node)
        changed = [s.vm for s in answer.vms if self._marks.merge(s)]
        self._change_marks(changed)
        if answer.roster_offset <= self._roster.current().offset:
            self._schedule.note_change(node, answer.change)

    def _take_offsets(self, node: NodeRef, answer: GossipAnswer) -> None:
        offset = self._surroundings.rules_offset()
        self._newest_offset = max(
            offset,
            self._newest_offset,
            answer.newest_offset,
            answer.rules_offset,
        )
        if answer.rules_offset > offset:
            self._surroundings.on_peer_offset(node, answer.rules_offset)

    def _add_proof(self, proof: TailProof, source: str) -> None:
        if self._staleness.add_proof(proof):
            self._counters.proof(source)

    def _change_marks(self, vms: Iterable[str]) -> None:
        changed = list(vms)
        self._table.touch_vms(changed)
        if changed:
            self._has_news = True
            self.publish_board()

    def _publish_guard(self) -> None:
        roster = self._roster.current()
        self._published.guard.publish(
            self._staleness.tick(
                self._surroundings.rules_offset(),
                self._newest_offset,
                self._hearing.times(),
                self._hearing.quorum(),
                is_ended=self._cfg.own in roster.ended,
            )
        )


def _age_ms(proof: TailProof | None) -> int:
    """Returns the proof's age, rounded up; -1 for no proof."""
    if proof is None:
        return -1
    return int((time.monotonic() - proof.sent_s) * 1000) + 1
