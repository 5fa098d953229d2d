"""Calls to plain services: candidates, permits, dispatch and retries."""

import time
from collections.abc import Callable
from typing import NamedTuple

from returns.result import Failure, Result, Success

from savorylift.calls.budget import RetryBudget
from savorylift.calls.candidates import (
    IsOpen,
    choose_candidates,
    may_take_work,
)
from savorylift.calls.claims import Claim, ClaimBook, ClaimRequest
from savorylift.calls.counters import CALL_REFUSALS, CALL_RETRIES, CALLS
from savorylift.calls.dispatch import (
    Answered,
    AnswerLost,
    Dispatcher,
    DispatchOutcome,
)
from savorylift.calls.endings import (
    late,
    to_answer,
    to_cause,
    to_permit_use,
    to_refusal,
)
from savorylift.calls.key import KeyWindow, check_key
from savorylift.calls.request import CallAnswer, CallRequest, fingerprint
from savorylift.identity import new_id
from savorylift.outcomes import Ending, Reason, Refusal, not_run
from savorylift.permits.gate import (
    Permit,
    PermitGate,
    PermitRequest,
)
from savorylift.rules.view import RulesSource, Service

MayDispatch = Callable[[], Result[None, Refusal]]
CallResult = Result[CallAnswer, Refusal]


class CallParts(NamedTuple):
    """What `CallService` works with.

    Attributes:
        rules: Rules in force.
        gate: Grants permits for backend servers.
        claims: Makes the claims of calls that must not repeat.
        dispatcher: Sends calls.
        is_open: False for a backend server that is leaving or failing.
        may_dispatch: Refuses while this node may be missing an order.
        budget: Bounds retries.
        window: Accepted times of idempotency keys.
    """

    rules: RulesSource
    gate: PermitGate
    claims: ClaimBook
    dispatcher: Dispatcher
    is_open: IsOpen
    may_dispatch: MayDispatch
    budget: RetryBudget
    window: KeyWindow = KeyWindow()


class _Tried(NamedTuple):
    """One pass through a permit: its outcome and where it was tried.

    Attributes:
        outcome: None if the backend server was closed before the dispatch.
    """

    backend_server: str
    outcome: DispatchOutcome | None


class CallService:
    """Carries calls to plain services; blocks the caller's thread."""

    def __init__(self, parts: CallParts) -> None:
        """Starts no thread; `parts` outlive the service."""
        self._parts = parts

    def call(self, req: CallRequest) -> CallResult:
        """Returns the whole answer, or what is known about the call."""
        self._parts.budget.note_call()
        result = self._call(req)
        _count(result)
        return result

    def _call(self, req: CallRequest) -> CallResult:
        service = self._parts.rules.current().services.get(req.service)
        if service is None:
            return _refuse(
                Reason.UNKNOWN_SERVICE, f"There is no service {req.service}."
            )
        if _is_repeatable(service, req):
            return self._run(req, may_repeat=True)
        return self._call_once(req)

    def _call_once(self, req: CallRequest) -> CallResult:
        now_ms = int(time.time() * 1000)
        checked = check_key(req.key, self._parts.window, now_ms)
        if isinstance(checked, Failure):
            return checked
        if time.monotonic() >= req.deadline_s:
            return Failure(late())
        chosen = self._candidates(req, new_id("call"))
        if isinstance(chosen, Failure):
            return chosen  # a claim would only have to be voided
        claimed = self._parts.claims.claim(
            ClaimRequest(
                checked.unwrap(),
                fingerprint(req),
                req.request_id,
                req.deadline_s,
            )
        )
        if isinstance(claimed, Failure):
            return claimed
        won = claimed.unwrap()
        if isinstance(won, CallAnswer):
            return Success(won)
        return self._run_claimed(req, won)

    def _run_claimed(self, req: CallRequest, claim: Claim) -> CallResult:
        result = self._run(req, may_repeat=False)
        if isinstance(result, Success):
            self._parts.claims.record(claim, result.unwrap())
        elif result.failure().ending == Ending.NOT_RUN:
            self._parts.claims.void(claim)
        else:
            self._parts.claims.record(claim, None)
        return result

    def _run(self, req: CallRequest, *, may_repeat: bool) -> CallResult:
        """Tries backend servers until one answers or no retry is allowed.

        A call that must not repeat goes on only after tries that certainly
        did not run.
        """
        avoided: set[str] = set()
        ran = False
        while True:
            result = self._try_one(req, frozenset(avoided))
            if isinstance(result, Failure):
                return _after_lost(result.failure()) if ran else result
            tried = result.unwrap()
            if isinstance(tried.outcome, Answered):
                return Success(to_answer(tried.outcome, tried.backend_server))
            is_lost = isinstance(tried.outcome, AnswerLost)
            ran = ran or is_lost
            refusal = to_refusal(
                tried.outcome, tried.backend_server, may_have_run=ran
            )
            if is_lost and not may_repeat:
                return Failure(refusal)
            avoided.add(tried.backend_server)
            if not self._may_retry(req, tried):
                return Failure(refusal)

    def _try_one(
        self, req: CallRequest, avoided: frozenset[str]
    ) -> Result[_Tried, Refusal]:
        if time.monotonic() >= req.deadline_s:
            return Failure(late())
        acquired = self._acquire(req, avoided)
        if isinstance(acquired, Failure):
            return acquired
        permit = acquired.unwrap()
        refused = self._last_check(req)
        if refused is not None:
            self._parts.gate.release(permit, to_permit_use(None))
            return Failure(refused)
        outcome = self._dispatch(req, permit)
        self._parts.gate.release(permit, to_permit_use(outcome))
        return Success(_Tried(permit.backend_server, outcome))

    def _acquire(
        self, req: CallRequest, avoided: frozenset[str]
    ) -> Result[Permit, Refusal]:
        call_id = new_id("call")
        chosen = self._candidates(req, call_id)
        if isinstance(chosen, Failure):
            return chosen
        names = chosen.unwrap()
        fresh = tuple(name for name in names if name not in avoided)
        team = self._parts.rules.current().teams.get(req.team)
        return self._parts.gate.acquire(
            PermitRequest(
                new_id("permit"),
                fresh or names,
                call_id,
                req.team,
                team.weight if team else 1,
                req.priority,
                0,
                req.deadline_s,
            )
        )

    def _candidates(
        self, req: CallRequest, call_id: str
    ) -> Result[tuple[str, ...], Refusal]:
        return choose_candidates(
            self._parts.rules.current(),
            req.service,
            call_id,
            self._parts.gate.hints(),
            self._parts.is_open,
        )

    def _last_check(self, req: CallRequest) -> Refusal | None:
        """Returns why nothing may be sent now, if so."""
        allowed = self._parts.may_dispatch()
        if isinstance(allowed, Failure):
            refusal: Refusal = allowed.failure()
            return refusal
        if time.monotonic() >= req.deadline_s:
            return late()
        return None

    def _dispatch(
        self, req: CallRequest, permit: Permit
    ) -> DispatchOutcome | None:
        view = self._parts.rules.current()
        name = permit.backend_server
        if not may_take_work(view, name, self._parts.is_open):
            return None
        address = view.backend_servers[name].address
        return self._parts.dispatcher.dispatch(address, req)

    def _may_retry(self, req: CallRequest, tried: _Tried) -> bool:
        if time.monotonic() >= req.deadline_s:
            return False
        if not self._parts.budget.take_retry():
            CALL_RETRIES.labels("budget_used_up").inc()
            return False
        CALL_RETRIES.labels(to_cause(tried.outcome)).inc()
        return True


def _is_repeatable(service: Service, req: CallRequest) -> bool:
    return req.method in service.repeatable


def _after_lost(refusal: Refusal) -> CallResult:
    """Returns `refusal` for a call of which an earlier try may have run."""
    return Failure(refusal._replace(ending=Ending.UNKNOWN))


def _count(result: CallResult) -> None:
    if isinstance(result, Success):
        CALLS.labels("answered").inc()
        return
    refusal = result.failure()
    CALLS.labels(refusal.ending.value).inc()
    CALL_REFUSALS.labels(refusal.ending.value, refusal.reason.value).inc()


def _refuse(reason: Reason, message: str) -> CallResult:
    return Failure(not_run(reason, message))
