"""Actor that owns a node's permit decisions."""

import contextlib
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any

import pykka
from returns.result import Success

from savorylift.identity import NodeRef
from savorylift.peers.link import Message, PeerLink
from savorylift.peers.ticker import Ticker
from savorylift.peers.view import RosterSource
from savorylift.permits.canceller import StreamCanceller
from savorylift.permits.inbox import (
    Acquire,
    Adjust,
    Answer,
    Cancelled,
    GetStatus,
    GiveUp,
    IsHeld,
    Loaded,
    Received,
    Release,
    Started,
    TakeOver,
    Tick,
)
from savorylift.permits.messages import HeldPermit
from savorylift.permits.node import PermitNode
from savorylift.permits.options import PermitOptions
from savorylift.permits.tally import Tally
from savorylift.rules.view import RulesSource


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
        self._is_tick_pending = False
        self._ticker = Ticker(cfg.tick_s, self._request_tick, "permit-ticks")
        self.node = PermitNode(ref, rules, roster, cfg, self, tally)

    def on_start(self) -> None:
        """Starts the timed work."""
        self._ticker.start()

    def on_stop(self) -> None:
        """Stops the timed work and the cancelling thread."""
        self._ticker.stop()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def on_receive(self, message: Any) -> Any:  # noqa: ANN401
        """Applies one message; returns the answer to a question."""
        match message:
            case Received(sender, msg):
                self.node.receive(sender, msg)
            case Tick():
                self._is_tick_pending = False
                self.node.tick()
            case Loaded(backend_server, report):
                self.node.load(backend_server, report)
            case Cancelled(backend_server, permit):
                self.node.cancelled(backend_server, permit)
            case IsHeld(permit_id):
                return self.node.holder.holdings.is_held(permit_id)
            case GetStatus():
                return self.node.status()
            case _:
                self._apply_to_holder(message)
        return None

    def _apply_to_holder(self, message: object) -> None:
        holder = self.node.holder
        match message:
            case Acquire(req, fut):
                self._answers[req.permit_id] = fut
                holder.acquire(req)
            case GiveUp(permit_id):
                self._answers.pop(permit_id, None)
                holder.give_up(permit_id)
            case Release(permit, use):
                holder.holdings.release(permit, use)
            case Adjust(permit, tokens):
                holder.holdings.adjust(permit, tokens)
            case Started(permit, incarnation, first_token_s, is_cold):
                holder.holdings.started(
                    permit, incarnation, first_token_s, is_cold=is_cold
                )
            case TakeOver(permit):
                holder.holdings.take_over(permit)

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

    def _request_tick(self) -> None:
        """Queues a tick unless one waits already; on the ticking thread."""
        if self._is_tick_pending:
            return
        self._is_tick_pending = True
        with contextlib.suppress(pykka.ActorDeadError):
            self.actor_ref.tell(Tick())

    def _cancel(self, backend_server: str, permit: HeldPermit) -> None:
        result = self._canceller.cancel(backend_server, permit.stream_id)
        self._cancelling.discard(permit.permit_id)
        if isinstance(result, Success):
            with contextlib.suppress(pykka.ActorDeadError):
                self.actor_ref.tell(Cancelled(backend_server, permit))
