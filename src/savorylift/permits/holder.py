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
    PermitAsk,
    PermitDenied,
    PermitGiveUp,
    PermitGrant,
    PermitQuery,
    PermitQueued,
    ServerState,
)
from savorylift.permits.options import PermitOptions
from savorylift.permits.route import Route, Target
from savorylift.permits.tally import Tally

UNKNOWN_WAIT_S = 1.0


class Resolver(Protocol):
    """Takes the one final answer of each request."""

    def resolve(self, permit_id: str, answer: Result[Permit, Refusal]) -> None:
        """Hands over the answer."""


class _Waiting:
    """A request without an answer yet."""

    def __init__(self, req: PermitRequest, route: Route) -> None:
        self.req = req
        self.route = route
        self.asked_s = time.monotonic()
        self.created_s = self.asked_s
        self.is_confirmed = False


class Holder:
    """Asks keepers for permits and returns them.

    Attributes:
        hints: Newest hints by backend server name; replaced, never changed.
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
        self.hints: Mapping[str, BackendHint] = {}
        self._ref = ref
        self._roster = roster
        self._keepers_of = keepers_of
        self._cfg = cfg
        self._sender = sender
        self._resolver = resolver
        self._tally = tally
        self._waiting: dict[str, _Waiting] = {}
        self.holdings = Holdings(ref, keepers_of, sender)
        self._wait_s: dict[str, float] = {}
        self._floors: dict[Lot, int] = {}

    def acquire(self, req: PermitRequest) -> None:
        """Starts to ask for a permit; the resolver gets the answer."""
        route = Route(
            self._ref, req, self._keepers_of, self.hints, self._cfg.max_tries
        )
        waiting = _Waiting(req, route)
        self._waiting[req.permit_id] = waiting
        self._ask_next(waiting)

    def give_up(self, permit_id: str) -> None:
        """Ends a request that nobody waits for any more."""
        waiting = self._waiting.pop(permit_id, None)
        if waiting is not None:
            self._withdraw(waiting)
        holding = self.holdings.drop(permit_id)
        if holding is not None:
            self._return_unused(holding.permit)

    def granted(self, keeper: NodeRef, msg: PermitGrant) -> None:
        """Takes a permit, or returns one that is not wanted."""
        self._note(msg.state)
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
        """Tries elsewhere, or passes a final refusal on."""
        if msg.state is not None:
            self._note(msg.state)
        waiting = self._waiting.get(msg.permit_id)
        if waiting is None:
            return
        target = Target(msg.backend_server, keeper)
        if msg.reason:
            self._refuse(waiting, msg.reason, msg.retry_after_s)
        elif waiting.route.answered(target, msg.state):
            self._ask_next(waiting)

    def queued(self, keeper: NodeRef, msg: PermitQueued) -> None:
        """Notes where a request waits."""
        self._note(msg.state)
        waiting = self._waiting.get(msg.permit_id)
        if waiting is not None:
            waiting.is_confirmed = True
            waiting.asked_s = time.monotonic()
            waiting.route.moved(Target(msg.backend_server, keeper), msg.state)

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

    def _ask_next(self, waiting: _Waiting) -> None:
        target, may_queue = waiting.route.next()
        if target is None:
            self._refuse(waiting, Reason.KEEPER_UNREACHABLE, 1.0)
            return
        waiting.asked_s = time.monotonic()
        waiting.is_confirmed = False
        self._send_ask(waiting, target, may_queue=may_queue)

    def _send_ask(
        self, waiting: _Waiting, target: Target, *, may_queue: bool
    ) -> None:
        req = waiting.req
        msg = PermitAsk(
            req.permit_id,
            target.server,
            req.stream_id,
            req.team,
            req.weight,
            req.priority,
            req.tokens,
            req.deadline_s - time.monotonic(),
            may_queue,
            self._ref,
        )
        self._sender.send(target.keeper, msg)

    def _is_unanswered(self, waiting: _Waiting, now: float) -> bool:
        if waiting.is_confirmed:
            return now - waiting.asked_s >= self._cfg.refresh_s
        return now - waiting.asked_s >= self._cfg.answer_timeout_s

    def _retry(self, waiting: _Waiting) -> None:
        if waiting.is_confirmed:
            cause = "refresh"
            waiting.route.repeat()
            probe = waiting.route.probe()
            if probe is not None:
                self._send_ask(waiting, probe, may_queue=False)
        else:
            cause = "no_answer"
            waiting.route.silent()
        self._tally.retries.labels(cause).inc()
        self._ask_next(waiting)

    def _may_use(self, keeper: NodeRef, msg: PermitGrant) -> bool:
        roster = self._roster.current()
        if not roster.is_member(keeper) or not roster.is_member(self._ref):
            return False
        return msg.epoch >= self._floors.get(msg.lot, -1)

    def _hold(
        self, permit: Permit, msg: PermitGrant, waiting: _Waiting | None
    ) -> None:
        tokens = waiting.req.tokens if waiting else 0
        self.holdings.hold(permit, msg.lot, tokens)
        if waiting is not None:
            self._withdraw(waiting, permit.keeper)
            waited_s = time.monotonic() - waiting.created_s
            self._tally.wait_s.observe(waited_s)
        self._answer(msg.permit_id, Success(permit))

    def _refuse_late(self, waiting: _Waiting) -> None:
        known = [self._wait_s.get(name) for name in waiting.req.candidates]
        waits = [wait_s for wait_s in known if wait_s]
        retry_after_s = min(waits, default=UNKNOWN_WAIT_S)
        self._refuse(waiting, Reason.DEADLINE, retry_after_s)

    def _refuse(
        self, waiting: _Waiting, reason: Reason, retry_after_s: float
    ) -> None:
        permit_id = waiting.req.permit_id
        self._waiting.pop(permit_id, None)
        self._withdraw(waiting)
        self._tally.refusals.labels(reason.value).inc()
        refusal = not_run(reason, _MESSAGES[reason], retry_after_s)
        self._answer(permit_id, Failure(refusal))

    def _withdraw(
        self, waiting: _Waiting, granter: NodeRef | None = None
    ) -> None:
        for target in waiting.route.asked:
            if target.keeper != granter:
                self._send_give_up(waiting.req.permit_id, target)

    def _return_unused(self, permit: Permit) -> None:
        self._tally.unused.labels("late_or_second").inc()
        target = Target(permit.backend_server, permit.keeper)
        self._send_give_up(permit.permit_id, target)

    def _send_give_up(self, permit_id: str, target: Target) -> None:
        kept_lot = -1
        holding = self.holdings.get(permit_id)
        if holding and holding.held.lot.backend_server == target.server:
            kept_lot = holding.held.lot.number
        msg = PermitGiveUp(permit_id, target.server, kept_lot)
        self._sender.send(target.keeper, msg)

    def _answer(self, permit_id: str, answer: Result[Permit, Refusal]) -> None:
        self._resolver.resolve(permit_id, answer)

    def _note(self, state: ServerState) -> None:
        hint = BackendHint(
            state.free_slots,
            state.free_tokens,
            state.waiting,
            state.cold,
            time.monotonic(),
        )
        self._wait_s[state.backend_server] = state.wait_s
        self.hints = {**self.hints, state.backend_server: hint}


def _unreachable() -> Refusal:
    reason = Reason.KEEPER_UNREACHABLE
    return not_run(reason, _MESSAGES[reason], 1.0)


_MESSAGES = {
    Reason.DEADLINE: "No backend server will be free before the deadline.",
    Reason.QUEUE_FULL: "Too many requests wait for the backend server.",
    Reason.KEEPER_UNREACHABLE: "No node could grant a permit.",
    Reason.NO_BACKEND_SERVER: "No backend server was named.",
}
