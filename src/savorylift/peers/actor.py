"""The actor that owns the decisions of the peers slice."""

import contextlib
import threading
import time
import types
from concurrent.futures import Future
from typing import Any, NamedTuple

import pykka
import structlog
from returns.pipeline import is_successful
from returns.result import Result

from savorylift.identity import NodeRef
from savorylift.log_service.vms import VmEntry
from savorylift.peers.core import PeersCore
from savorylift.peers.counters import GossipCounters
from savorylift.peers.link import Message, PeerFault, PeerLink
from savorylift.peers.messages import (
    GossipAnswer,
    GossipNews,
    GossipQuestion,
)
from savorylift.peers.staleness import TailProof


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


class NewsArrived(NamedTuple):
    """Another node has a new mark."""

    sender: NodeRef


class AnswerArrived(NamedTuple):
    """A gossip question has ended."""

    node: NodeRef
    sent_s: float
    result: Result[GossipAnswer, PeerFault]


class PeersActor(pykka.ThreadingActor):
    """Carries questions and answers between the link and the decisions.

    If it fails, the guard gets no more views and refuses new work.
    """

    use_daemon_thread = True

    def __init__(
        self,
        core: PeersCore,
        link: PeerLink,
        ask_timeout_s: float,
        counters: GossipCounters,
    ) -> None:
        """Takes over `core`; `Tick` messages drive it."""
        super().__init__()
        self._core = core
        self._link = link
        self._ask_timeout_s = ask_timeout_s
        self._counters = counters
        self._asking: set[NodeRef] = set()

    def on_receive(self, message: Any) -> None:  # noqa: ANN401
        """Handles one message."""
        match message:
            case Tick(taken):
                taken.set()
                self._core.tick()
                self._ask_neighbours()
            case QuestionArrived(sender, question, fut):
                fut.set_result(self._core.answer(sender, question))
            case AnswerArrived(node, sent_s, result):
                self._take_answer(node, sent_s, result)
            case ProofArrived(proof):
                self._core.take_proof(proof)
            case ListArrived(entries):
                self._core.take_list(entries)
            case LeavingNoticed(vm, incarnation):
                self._core.mark_leaving(vm, incarnation)
            case NewsArrived(sender):
                self._core.ask_soon(sender)
                self._ask_neighbours()
            case _:
                raise AssertionError(f"unknown message {message!r}")
        for node in self._core.take_news():
            self._link.tell(node, GossipNews())

    def on_failure(
        self,
        exception_type: type[BaseException] | None,
        exception_value: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Reports the error that ends the actor."""
        del exception_type, traceback
        structlog.get_logger().critical(
            "peers_actor_failed", exc_info=exception_value
        )

    def _ask_neighbours(self) -> None:
        for node, question in self._core.due_questions(self._asking):
            self._ask(node, question)

    def _ask(self, node: NodeRef, question: GossipQuestion) -> None:
        sent_s = time.monotonic()
        self._asking.add(node)
        fut = self._link.ask(node, question, GossipAnswer, self._ask_timeout_s)
        fut.add_done_callback(
            lambda done: self._post(AnswerArrived(node, sent_s, done.result()))
        )

    def _post(self, message: object) -> None:
        """Queues a message for this actor; any thread, also after its end."""
        with contextlib.suppress(pykka.ActorDeadError):
            self.actor_ref.tell(message)

    def _take_answer(
        self,
        node: NodeRef,
        sent_s: float,
        result: Result[GossipAnswer, PeerFault],
    ) -> None:
        self._asking.discard(node)
        if is_successful(result):
            self._counters.exchange("answered")
            self._core.take_answer(node, sent_s, result.unwrap())
            return
        was_sent = result.failure().sent
        self._counters.exchange("unanswered" if was_sent else "unsent")
