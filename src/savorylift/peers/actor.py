"""The actor that owns gossip, staleness and leaving marks."""

import contextlib
import random
import threading
import time
import types
from collections.abc import Iterable
from concurrent.futures import Future
from typing import Any, NamedTuple, Protocol

import pykka
import structlog
from returns.pipeline import is_successful
from returns.result import Result

from savorylift.identity import NodeRef
from savorylift.peers.board import PeersBoard, PeersView
from savorylift.peers.counters import GossipCounters
from savorylift.peers.gossip import GossipTable
from savorylift.peers.hearing import Hearing
from savorylift.peers.link import Message, PeerFault, PeerLink
from savorylift.peers.marks import LeavingMarks
from savorylift.peers.messages import GossipAnswer, GossipQuestion
from savorylift.peers.neighbours import Neighbours
from savorylift.peers.options import seed_ref
from savorylift.peers.staleness import (
    DispatchGuard,
    Staleness,
    StalenessOptions,
    TailProof,
)
from savorylift.peers.view import RosterSource
from savorylift.platform.vms import VmEntry


class Surroundings(Protocol):
    """What the other slices tell this one, and are told by it.

    Calls come from the actor's thread and must return within a millisecond.
    """

    def rules_offset(self) -> int:
        """Returns the newest log offset in force on this node."""

    def load(self) -> tuple[int, ...]:
        """Returns a few integers to tell the other nodes."""

    def on_peer_offset(self, node: NodeRef, offset: int) -> None:
        """Is told that `node` has a newer offset than this node."""


class GossipOptions(NamedTuple):
    """Options of the actor.

    Attributes:
        own: This node.
        seeds: `ip:port` of nodes to ask while the roster names no others.
        gossip_s: Time between two questions to the same neighbour.
        ask_timeout_s: Bound on one answer.
        staleness: Options of the staleness rule.
    """

    own: NodeRef
    seeds: tuple[str, ...] = ()
    gossip_s: float = 0.5
    ask_timeout_s: float = 0.9
    staleness: StalenessOptions = StalenessOptions()


class Tick(NamedTuple):
    """Time has passed.

    Attributes:
        taken: Set once the actor has come to this tick.
    """

    taken: threading.Event


class ProofArrived(NamedTuple):
    """The log answered a read that reached its tail."""

    proof: TailProof


class ListArrived(NamedTuple):
    """The platform's list was read."""

    entries: tuple[VmEntry, ...]


class LeavingNoticed(NamedTuple):
    """A backend server said that it is leaving."""

    vm: str
    incarnation: str


class QuestionArrived(NamedTuple):
    """Another node asked for gossip."""

    sender: NodeRef
    question: GossipQuestion
    fut: "Future[Message]"


class AnswerArrived(NamedTuple):
    """A gossip question has ended."""

    node: NodeRef
    sent_s: float
    result: Result[GossipAnswer, PeerFault]


class PeersActor(pykka.ThreadingActor):
    """Asks neighbours, answers them, and publishes what is known.

    If it fails, the guard gets no more views and refuses new work.
    """

    use_daemon_thread = True

    def __init__(
        self,
        cfg: GossipOptions,
        link: PeerLink,
        roster: RosterSource,
        guard: DispatchGuard,
        board: PeersBoard,
        surroundings: Surroundings,
        counters: GossipCounters,
    ) -> None:
        """Prepares the actor; `Tick` messages drive it."""
        super().__init__()
        self._cfg = cfg
        self._link = link
        self._roster = roster
        self._guard = guard
        self._board = board
        self._surroundings = surroundings
        self._counters = counters
        self._marks = LeavingMarks()
        self._table = GossipTable(cfg.own, self._marks)
        self._hearing = Hearing(cfg.own)
        self._neighbours = Neighbours(cfg.own)
        self._staleness = Staleness(cfg.staleness)
        self._newest_offset = -1
        self._known_changes: dict[NodeRef, int] = {}
        self._due_s: dict[NodeRef, float] = {}
        self._asking: set[NodeRef] = set()

    def on_receive(self, message: Any) -> None:  # noqa: ANN401
        """Handles one message."""
        match message:
            case Tick(taken):
                taken.set()
                self._tick()
            case QuestionArrived(sender, question, fut):
                self._answer(sender, question, fut)
            case AnswerArrived(node, sent_s, result):
                self._take_answer(node, sent_s, result)
            case ProofArrived(proof):
                self._add_proof(proof, "log")
                self._publish_guard()
            case ListArrived(entries):
                self._change_marks(self._marks.observe(entries))
            case LeavingNoticed(vm, incarnation):
                is_new = self._marks.mark(vm, incarnation)
                self._change_marks([vm] if is_new else [])
            case _:
                raise AssertionError(f"unknown message {message!r}")

    def on_failure(
        self,
        exception_type: type[BaseException] | None,
        exception_value: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Reports the error that ends the actor."""
        structlog.get_logger().critical(
            "peers_actor_failed", exc_info=exception_value
        )

    def _tick(self) -> None:
        if self._guard.view().was_paused(time.monotonic()):
            self._counters.pause()
        self._use_roster()
        offset = self._surroundings.rules_offset()
        self._table.set_own(offset, self._surroundings.load())
        self._publish_guard()
        self._publish_board()
        self._ask_neighbours()

    def _use_roster(self) -> None:
        roster = self._roster.current()
        self._hearing.use_roster(roster)
        self._neighbours.use_roster(roster)
        self._table.use_roster(roster)

    def _ask_neighbours(self) -> None:
        now_s = time.monotonic()
        nodes = self._neighbours.current(self._hearing.heard_s)
        if not nodes:
            nodes = [seed_ref(address) for address in self._cfg.seeds]
        self._forget_all_but(nodes)
        for node in nodes:
            first_s = now_s + random.random() * self._cfg.gossip_s
            due_s = self._due_s.setdefault(node, first_s)
            if due_s <= now_s and node not in self._asking:
                self._due_s[node] = now_s + self._cfg.gossip_s
                self._ask(node)

    def _forget_all_but(self, nodes: list[NodeRef]) -> None:
        for node in self._due_s.keys() - set(nodes):
            del self._due_s[node]
            self._known_changes.pop(node, None)

    def _ask(self, node: NodeRef) -> None:
        sent_s = time.monotonic()
        question = GossipQuestion(self._known_changes.get(node, 0))
        fut = self._link.ask(
            node, question, GossipAnswer, self._cfg.ask_timeout_s
        )
        self._asking.add(node)
        fut.add_done_callback(
            lambda done: self._post(AnswerArrived(node, sent_s, done.result()))
        )

    def _post(self, message: object) -> None:
        """Queues a message for this actor; any thread, also after its end."""
        with contextlib.suppress(pykka.ActorDeadError):
            self.actor_ref.tell(message)

    def _answer(
        self,
        sender: NodeRef,
        question: GossipQuestion,
        fut: "Future[Message]",
    ) -> None:
        self._neighbours.note_asker(sender)
        proof = self._staleness.newest_proof()
        fut.set_result(
            GossipAnswer(
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
        )

    def _take_answer(
        self,
        node: NodeRef,
        sent_s: float,
        result: Result[GossipAnswer, PeerFault],
    ) -> None:
        self._asking.discard(node)
        if not is_successful(result):
            was_sent = result.failure().sent
            self._counters.exchange("unanswered" if was_sent else "unsent")
            return
        self._counters.exchange("answered")
        answer = result.unwrap()
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

    def _take_states(self, node: NodeRef, answer: GossipAnswer) -> None:
        self._table.merge(answer.nodes, node)
        changed = [s.vm for s in answer.vms if self._marks.merge(s)]
        self._change_marks(changed)
        if answer.roster_offset <= self._roster.current().offset:
            self._known_changes[node] = answer.change

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
            self._publish_board()

    def _publish_guard(self) -> None:
        roster = self._roster.current()
        self._guard.publish(
            self._staleness.tick(
                self._surroundings.rules_offset(),
                self._newest_offset,
                self._hearing.times().values(),
                self._hearing.quorum(),
                is_ended=self._cfg.own in roster.ended,
            )
        )

    def _publish_board(self) -> None:
        self._board.replace(
            PeersView(
                own=self._cfg.own,
                roster=self._roster.current(),
                heard_s=self._hearing.times(),
                states=self._table.states(),
                marks=self._marks.view(),
                newest_offset=self._newest_offset,
            )
        )


def _age_ms(proof: TailProof | None) -> int:
    """Returns the proof's age, rounded up; -1 for no proof."""
    if proof is None:
        return -1
    return int((time.monotonic() - proof.sent_s) * 1000) + 1
