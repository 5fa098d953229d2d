"""Decisions of one node as the holder of permits."""

import time
from collections.abc import Mapping
from typing import Protocol

from returns.result import Failure, Result, Success

from savorylift.identity import NodeRef
from savorylift.outcomes import Reason, Refusal, not_run
from savorylift.peers.view import RosterSource
from savorylift.permits.co_keepers import Sender
from savorylift.permits.gate import (
    BackendHint,
    Permit,
    PermitRequest,
)
from savorylift.permits.holdings import Holdings, KeepersOf
from savorylift.permits.messages import (
    Charge,
    HeldPermit,
    Lot,
    PermitDenied,
    PermitGrant,
    PermitQuery,
    PermitQueued,
)
from savorylift.permits.options import PermitOptions
from savorylift.permits.request_sender import RequestSender, WaitingRequest
from savorylift.permits.route import Route, Target
from savorylift.permits.server_states import ServerStates
from savorylift.permits.tally import Tally

NO_KEEPER_RETRY_AFTER_S = 1.0


class Resolver(Protocol):
    """Takes the one final answer of each request."""

    def resolve(self, permit_id: str, answer: Result[Permit, Refusal]) -> None:
        """Takes one answer."""


class Holder:
    """Asks keepers for permits and returns them.

    Attributes:
        holdings: Permits held.
    """

    def __init__(
        self,
        ref: NodeRef,
        roster: RosterSource,
        keepers_of: KeepersOf,
        cfg: PermitOptions,
        sender: Sender,
        resolver: Resolver,
        tally: Tally,
    ) -> None:
        """Starts with no permit."""
        self._ref = ref
        self._roster = roster
        self._keepers_of = keepers_of
        self._cfg = cfg
        self._resolver = resolver
        self._tally = tally
        self._waiting: dict[str, WaitingRequest] = {}
        self.holdings = Holdings(ref, keepers_of, sender)
        self._requests = RequestSender(ref, self.holdings, sender)
        self._states = ServerStates()
        self._floors: dict[Lot, int] = {}

    @property
    def hints(self) -> Mapping[str, BackendHint]:
        """Newest hints by backend server name; replaced, never changed."""
        return self._states.hints

    def acquire(self, req: PermitRequest) -> None:
        """Starts to ask for a permit; the resolver gets the answer."""
        route = Route(
            self._ref, req, self._keepers_of, self.hints, self._cfg.max_tries
        )
        waiting = WaitingRequest(req, route)
        self._waiting[req.permit_id] = waiting
        self._ask_next(waiting)

    def give_up(self, permit_id: str) -> None:
        """Ends a request that nobody waits for any more."""
        waiting = self._waiting.pop(permit_id, None)
        if waiting is not None:
            self._requests.withdraw(waiting)
        holding = self.holdings.drop(permit_id)
        if holding is not None:
            self._return_unused(holding.permit)

    def granted(self, keeper: NodeRef, msg: PermitGrant) -> None:
        """Takes a permit, or returns one that is not wanted."""
        self._states.note(msg.state)
        if not self._may_use(keeper, msg):
            return
        holding = self.holdings.get(msg.permit_id)
        if holding and self.holdings.is_charged(holding, msg.lot):
            self.holdings.follow(holding, keeper, msg)
            return
        permit = Permit(
            msg.permit_id,
            msg.lot.backend_server,
            msg.stream_id,
            keeper,
            msg.state.cold,
        )
        waiting = self._waiting.pop(msg.permit_id, None)
        if holding is not None or waiting is None:
            self._return_unused(permit)
        elif waiting.req.deadline_s <= time.monotonic():
            self._return_unused(permit)
            self._refuse_late(waiting)
        else:
            self._hold(permit, msg, waiting)

    def denied(self, keeper: NodeRef, msg: PermitDenied) -> None:
        """Tries another keeper, or resolves a final refusal."""
        if msg.state is not None:
            self._states.note(msg.state)
        waiting = self._waiting.get(msg.permit_id)
        if waiting is None:
            return
        target = Target(msg.backend_server, keeper)
        if msg.reason:
            self._refuse(waiting, msg.reason, msg.retry_after_s)
        elif waiting.route.denied(target, msg.state):
            self._ask_next(waiting)

    def queued(self, keeper: NodeRef, msg: PermitQueued) -> None:
        """Notes where a request waits."""
        self._states.note(msg.state)
        waiting = self._waiting.get(msg.permit_id)
        if waiting is not None:
            waiting.note_asked(is_confirmed=True)
            waiting.route.queued(Target(msg.backend_server, keeper), msg.state)

    def unknown_of(
        self, keeper: NodeRef, msg: PermitQuery
    ) -> tuple[Charge, ...]:
        """Returns the charges that this node never uses.

        Permits that it does use are returned to the asking keeper from now on.
        """
        return tuple(
            charge
            for charge in msg.charges
            if charge.permit_id not in self._waiting
            and not self.holdings.uses(charge, keeper)
        )

    def fence(self, lot: Lot, floor: int) -> tuple[HeldPermit, ...]:
        """Refuses older grants of a lot; returns what is held of it."""
        self._floors[lot] = max(floor, self._floors.get(lot, -1))
        return self.holdings.of_lot(lot)

    def tick(self) -> None:
        """Ends late requests and repeats messages that may be lost."""
        now = time.monotonic()
        for waiting in list(self._waiting.values()):
            if waiting.req.deadline_s <= now:
                self._refuse_late(waiting)
            elif self._is_unanswered(waiting, now):
                self._retry(waiting)

    @property
    def waiting_count(self) -> int:
        """Number of requests without an answer."""
        return len(self._waiting)

    def _ask_next(self, waiting: WaitingRequest) -> None:
        step = waiting.route.next_step()
        if step is None:
            self._refuse(
                waiting, Reason.KEEPER_UNREACHABLE, NO_KEEPER_RETRY_AFTER_S
            )
            return
        waiting.note_asked(is_confirmed=False)
        self._requests.send(waiting, step.target, may_queue=step.may_queue)

    def _is_unanswered(self, waiting: WaitingRequest, now: float) -> bool:
        if waiting.is_confirmed:
            return now - waiting.asked_s >= self._cfg.refresh_s
        return now - waiting.asked_s >= self._cfg.answer_timeout_s

    def _retry(self, waiting: WaitingRequest) -> None:
        if waiting.is_confirmed:
            cause = "refresh"
            waiting.route.repeat()
            probe = waiting.route.probe()
            if probe is not None:
                self._requests.send(waiting, probe, may_queue=False)
        else:
            cause = "no_answer"
            waiting.route.time_out()
        self._tally.retries.labels(cause).inc()
        self._ask_next(waiting)

    def _may_use(self, keeper: NodeRef, msg: PermitGrant) -> bool:
        roster = self._roster.current()
        if not roster.is_member(keeper) or not roster.is_member(self._ref):
            return False
        return msg.epoch >= self._floors.get(msg.lot, -1)

    def _hold(
        self, permit: Permit, msg: PermitGrant, waiting: WaitingRequest
    ) -> None:
        self.holdings.hold(permit, msg.lot, waiting.req.tokens)
        self._requests.withdraw(waiting, permit.keeper)
        self._tally.wait_s.observe(time.monotonic() - waiting.created_s)
        self._answer(msg.permit_id, Success(permit))

    def _refuse_late(self, waiting: WaitingRequest) -> None:
        retry_after_s = self._states.least_wait_s(waiting.req.candidates)
        self._refuse(waiting, Reason.DEADLINE, retry_after_s)

    def _refuse(
        self, waiting: WaitingRequest, reason: Reason, retry_after_s: float
    ) -> None:
        permit_id = waiting.req.permit_id
        self._waiting.pop(permit_id, None)
        self._requests.withdraw(waiting)
        self._tally.refusals.labels(reason.value).inc()
        refusal = not_run(reason, _MESSAGES[reason], retry_after_s)
        self._answer(permit_id, Failure(refusal))

    def _return_unused(self, permit: Permit) -> None:
        self._tally.unused.labels("late_or_second").inc()
        target = Target(permit.backend_server, permit.keeper)
        self._requests.give_up(permit.permit_id, target)

    def _answer(self, permit_id: str, answer: Result[Permit, Refusal]) -> None:
        self._resolver.resolve(permit_id, answer)


_MESSAGES = {
    Reason.DEADLINE: "No backend server will be free before the deadline.",
    Reason.QUEUE_FULL: "Too many requests wait for the backend server.",
    Reason.KEEPER_UNREACHABLE: "No node could grant a permit.",
    Reason.NO_BACKEND_SERVER: "No backend server was named.",
}
