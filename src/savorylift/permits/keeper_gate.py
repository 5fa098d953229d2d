"""The permit gate that request threads call."""

import contextlib
import time
from collections.abc import Mapping
from concurrent.futures import Future
from typing import cast

import pykka
from returns.result import Failure, Result

from savorylift.identity import NodeRef
from savorylift.outcomes import Reason, Refusal, not_run
from savorylift.peers.link import Message, PeerLink
from savorylift.peers.view import RosterSource
from savorylift.permits import inbox
from savorylift.permits import messages as m
from savorylift.permits.actor import PermitActor
from savorylift.permits.canceller import StreamCanceller
from savorylift.permits.evidence import LoadReport
from savorylift.permits.gate import (
    BackendHint,
    Permit,
    PermitRequest,
    PermitUse,
)
from savorylift.permits.lot_messages import LotQuery, LotReport
from savorylift.permits.options import PermitOptions
from savorylift.permits.status import PermitStatus
from savorylift.permits.tally import Tally
from savorylift.rules.view import RulesSource

ANSWER_SLACK_S = 1.0  # the actor answers at the deadline, unless it is late
WIRE_TYPES: tuple[type[Message], ...] = (
    m.PermitAsk,
    m.PermitGrant,
    m.PermitDenied,
    m.PermitQueued,
    m.PermitGiveUp,
    m.PermitStarted,
    m.PermitAdjust,
    m.PermitReturn,
    m.PermitQuery,
    m.PermitUnknown,
    m.PermitEnded,
    m.PermitMoved,
    m.PermitTakeOver,
    m.ColdFall,
    m.ServerState,
    LotQuery,
    LotReport,
)


class KeeperGate:
    """Grants permits through the keepers of each backend server.

    Starts an actor's thread, one for timed work and one for cancelling;
    `stop` ends them. Implements `PermitGate`.
    """

    def __init__(
        self,
        ref: NodeRef,
        rules: RulesSource,
        roster: RosterSource,
        link: PeerLink,
        canceller: StreamCanceller,
        cfg: PermitOptions | None = None,
        tally: Tally | None = None,
    ) -> None:
        """Starts the threads and registers with `link`."""
        cfg = cfg or PermitOptions()
        self._cfg = cfg
        self._actor: pykka.ActorRef[PermitActor] = PermitActor.start(
            ref, rules, roster, link, canceller, cfg, tally or Tally()
        )
        self._node = self._actor.proxy().node.get()
        for msg_type in WIRE_TYPES:
            link.on_tell(msg_type, self._receive)

    def acquire(self, req: PermitRequest) -> Result[Permit, Refusal]:
        """Waits for a permit or returns why there will be none."""
        if not req.candidates:
            return Failure(
                not_run(
                    Reason.NO_BACKEND_SERVER, "No backend server was named."
                )
            )
        fut: Future[inbox.Answer] = Future()
        self._tell(inbox.Acquire(req, fut))
        return self._wait(req.permit_id, fut, req.deadline_s)

    def hints(self) -> Mapping[str, BackendHint]:
        """Returns the newest hints by backend server name."""
        hints: Mapping[str, BackendHint] = self._node.holder.hints
        return hints

    def started(
        self,
        permit: Permit,
        incarnation: str,
        first_token_s: float,
        *,
        is_cold: bool,
    ) -> None:
        """Reports the first output under a permit."""
        msg = inbox.Started(permit, incarnation, first_token_s, is_cold)
        self._tell(msg)

    def adjust(self, permit: Permit, tokens: int) -> None:
        """Replaces the memory reserved under a permit."""
        self._tell(inbox.Adjust(permit, tokens))

    def release(self, permit: Permit, use: PermitUse) -> None:
        """Returns a permit to its keeper."""
        self._tell(inbox.Release(permit, use))

    def is_held(self, permit: Permit) -> bool:
        """Returns False if another node has taken the permit over."""
        return bool(self._actor.ask(inbox.IsHeld(permit.permit_id)))

    def take_over(self, permit: Permit) -> None:
        """Makes this node the holder of a permit whose stream it resumes."""
        self._tell(inbox.TakeOver(permit))

    def load(self, backend_server: str, report: LoadReport) -> None:
        """Applies a backend server's load report."""
        self._tell(inbox.Loaded(backend_server, report))

    def kept_servers(self) -> tuple[str, ...]:
        """Returns the backend servers of which this node keeps a share."""
        return tuple(self._node.keepers)

    def status(self) -> PermitStatus:
        """Returns what operators are shown."""
        return cast("PermitStatus", self._actor.ask(inbox.GetStatus()))

    def stop(self) -> None:
        """Stops the threads; permits out stay with their keepers."""
        self._actor.stop()

    def _receive(self, sender: NodeRef, msg: Message) -> None:
        self._tell(inbox.Received(sender, msg))

    def _tell(self, message: tuple[object, ...]) -> None:
        with contextlib.suppress(pykka.ActorDeadError):
            self._actor.tell(message)

    def _wait(
        self, permit_id: str, fut: "Future[inbox.Answer]", deadline_s: float
    ) -> Result[Permit, Refusal]:
        left_s = max(0.0, deadline_s - time.monotonic())
        try:
            return fut.result(left_s + ANSWER_SLACK_S)
        except TimeoutError:
            self._tell(inbox.GiveUp(permit_id))
            message = "This node is too busy to answer in time."
            return Failure(not_run(Reason.NODE_BUSY, message, 1.0))
