"""Calls to plain services: claims, retries and truthful endings."""

import time

from returns.result import Failure, Result, Success

from savorylift.calls.attempt import Attempts, Tried
from savorylift.calls.claims import Claim, ClaimRequest
from savorylift.calls.counters import CALL_REFUSALS, CALL_RETRIES, CALLS
from savorylift.calls.dispatch import Answered, AnswerLost
from savorylift.calls.endings import late, to_answer, to_cause, to_refusal
from savorylift.calls.http_form import is_sendable
from savorylift.calls.key import check_key
from savorylift.calls.parts import CallParts as CallParts
from savorylift.calls.request import CallAnswer, CallRequest, fingerprint
from savorylift.identity import new_id
from savorylift.outcomes import Ending, Reason, Refusal, not_run
from savorylift.rules.view import Service

CallResult = Result[CallAnswer, Refusal]


class CallService:
    """Carries calls to plain services; blocks the caller's thread."""

    def __init__(self, parts: CallParts) -> None:
        """Starts no thread; `parts` outlive the service."""
        self._parts = parts
        self._attempts = Attempts(parts)

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
        if not is_sendable(req):
            return _refuse(
                Reason.BAD_REQUEST, "The call can't be put into HTTP."
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
        chosen = self._attempts.candidates(req, new_id("call"))
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
            result = self._attempts.run(req, frozenset(avoided))
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

    def _may_retry(self, req: CallRequest, tried: Tried) -> bool:
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
