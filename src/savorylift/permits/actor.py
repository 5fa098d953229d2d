"""Actor that owns a node's permit decisions."""

import contextlib
import threading
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any, NamedTuple

import pykka
from returns.result import Result, Success

from savorylift.identity import NodeRef
from savorylift.outcomes import Refusal
from savorylift.peers.link import Message, PeerLink
from savorylift.peers.view import RosterSource
from savorylift.permits.canceller import StreamCanceller
from savorylift.permits.evidence import LoadReport
from savorylift.permits.gate import Permit, PermitRequest, PermitUse
from savorylift.permits.messages import HeldPermit
from savorylift.permits.node import PermitNode
from savorylift.permits.options import PermitOptions
from savorylift.permits.tally import Tally
from savorylift.rules.view import RulesSource

Answer = Result[Permit, Refusal]


class Received(NamedTuple):
    """A message from a node."""

    sender: NodeRef
    msg: Message


class Tick(NamedTuple):
    """Asks for timed work."""


class Acquire(NamedTuple):
    """Asks for a permit; `fut` gets the one answer."""

    req: PermitRequest
    fut: "Future[Answer]"


class Release(NamedTuple):
    """Returns a permit."""

    permit: Permit
    use: PermitUse


class GiveUp(NamedTuple):
    """Ends a request that nobody waits for any more."""

    permit_id: str


class Adjust(NamedTuple):
    """Replaces the memory reserved under a permit."""

    permit: Permit
    tokens: int


class Started(NamedTuple):
    """Reports the first output under a permit."""

    permit: Permit
    incarnation: str
    first_token_s: float
    is_cold: bool


class TakeOver(NamedTuple):
    """Makes this node the holder of a permit."""

    permit: Permit


class Loaded(NamedTuple):
    """A backend server's load report."""

    backend_server: str
    report: LoadReport


class Cancelled(NamedTuple):
    """Work that was cancelled or is unknown to its backend server."""

    backend_server: str
    permit: HeldPermit


class IsHeld(NamedTuple):
    """Asks whether this node holds a permit."""

    permit_id: str


class GetStatus(NamedTuple):
    """Asks for the status shown to operators."""


class PermitActor(pykka.ThreadingActor):
    """Runs a `PermitNode`'s decisions one at a time."""

    def __init__(
        self,
        ref: NodeRef,
        rules: RulesSource,
        roster: RosterSource,
        link: PeerLink,
        canceller: StreamCanceller,
        cfg: PermitOptions,
        tally: Tally,
    ) -> None:
        """Takes the same parts as `KeeperGate`."""
        super().__init__()
        self._link = link
        self._canceller = canceller
        self._answers: dict[str, Future[Answer]] = {}
        self._cancelling: set[str] = set()
        self._pool = ThreadPoolExecutor(1, thread_name_prefix="permit-cancel")
        self._ticks = _Ticker(self.actor_ref, cfg.tick_s)
        self.node = PermitNode(ref, rules, roster, cfg, self, tally)

    def on_start(self) -> None:
        """Starts the timed work."""
        self._ticks.start()

    def on_stop(self) -> None:
        """Stops the timed work and the cancelling thread."""
        self._ticks.stop()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def on_receive(self, message: Any) -> Any:  # noqa: ANN401
        """Applies one message of this module."""
        node = self.node
        match message:
            case Received(sender, msg):
                node.receive(sender, msg)
            case Tick():
                self._ticks.is_pending = False
                node.tick()
            case Acquire(req, fut):
                self._answers[req.permit_id] = fut
                node.holder.acquire(req)
            case GiveUp(permit_id):
                self._answers.pop(permit_id, None)
                node.holder.give_up(permit_id)
            case Release(permit, use):
                node.holder.holdings.release(permit, use)
            case Adjust(permit, tokens):
                node.holder.holdings.adjust(permit, tokens)
            case Started(permit, incarnation, first_token_s, is_cold):
                node.holder.holdings.started(
                    permit, incarnation, first_token_s, is_cold=is_cold
                )
            case TakeOver(permit):
                node.holder.holdings.take_over(permit)
            case Loaded(backend_server, report):
                node.load(backend_server, report)
            case Cancelled(backend_server, permit):
                node.cancelled(backend_server, permit)
            case IsHeld(permit_id):
                return node.holder.holdings.is_held(permit_id)
            case GetStatus():
                return node.status()
        return None

    def send(self, node: NodeRef, msg: Message) -> None:
        """Sends a message; a lost one is repeated by the decisions."""
        self._link.tell(node, msg)

    def resolve(self, permit_id: str, answer: Answer) -> None:
        """Wakes the thread that waits for the answer."""
        fut = self._answers.pop(permit_id, None)
        if fut is not None:
            fut.set_result(answer)

    def cancel(self, backend_server: str, permit: HeldPermit) -> None:
        """Cancels work on a thread of its own, once at a time."""
        if permit.permit_id in self._cancelling:
            return
        self._cancelling.add(permit.permit_id)
        self._pool.submit(self._cancel, backend_server, permit)

    def _cancel(self, backend_server: str, permit: HeldPermit) -> None:
        result = self._canceller.cancel(backend_server, permit.stream_id)
        self._cancelling.discard(permit.permit_id)
        if isinstance(result, Success):
            with contextlib.suppress(pykka.ActorDeadError):
                self.actor_ref.tell(Cancelled(backend_server, permit))


class _Ticker:
    """Thread that asks an actor for timed work, one request at a time."""

    def __init__(
        self, ref: "pykka.ActorRef[PermitActor]", tick_s: float
    ) -> None:
        self.is_pending = False
        self._ref = ref
        self._tick_s = tick_s
        self._stopped = threading.Event()

    def start(self) -> None:
        threading.Thread(
            target=self._run, name="permit-ticks", daemon=True
        ).start()

    def stop(self) -> None:
        self._stopped.set()

    def _run(self) -> None:
        while not self._stopped.wait(self._tick_s):
            if self.is_pending:
                continue
            self.is_pending = True
            with contextlib.suppress(pykka.ActorDeadError):
                self._ref.tell(Tick())
