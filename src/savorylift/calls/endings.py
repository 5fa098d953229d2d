"""What the end of one dispatch means for the permit and the caller."""

from savorylift.calls.dispatch import (
    Answered,
    AnswerLost,
    BackendRefused,
    DispatchOutcome,
    NotSent,
)
from savorylift.calls.request import CallAnswer
from savorylift.outcomes import Ending, Reason, Refusal, not_run
from savorylift.permits.gate import PermitUse

RETRY_AFTER_S = 1.0


def to_answer(outcome: Answered, backend_server: str) -> CallAnswer:
    """Returns what the caller is given."""
    return CallAnswer(
        outcome.status, outcome.headers, outcome.body, backend_server
    )


def to_refusal(
    outcome: DispatchOutcome | None, backend_server: str, *, may_have_run: bool
) -> Refusal:
    """Returns what the caller is told; None stands for a closed server."""
    if may_have_run:
        return Refusal(
            Ending.UNKNOWN,
            Reason.ANSWER_LOST,
            f"{backend_server} may have run the call.",
        )
    is_lost = isinstance(outcome, NotSent)
    return not_run(
        Reason.BACKEND_LOST if is_lost else Reason.BACKEND_ERROR,
        f"{backend_server} did not take the call.",
        RETRY_AFTER_S,
    )


def to_permit_use(outcome: DispatchOutcome | None) -> PermitUse:
    """Returns what the permit's keeper is told."""
    incarnation, first_byte_s = None, None
    if isinstance(outcome, Answered | BackendRefused):
        incarnation = outcome.incarnation
    if isinstance(outcome, Answered):
        first_byte_s = outcome.first_byte_s
    return PermitUse(
        finished=not isinstance(outcome, AnswerLost),
        completed=isinstance(outcome, Answered),
        first_token_s=first_byte_s,
        output_tokens=0,
        overloaded=to_cause(outcome) == "overloaded",
        incarnation=incarnation,
    )


def to_cause(outcome: DispatchOutcome | None) -> str:
    """Returns the label that a retry is counted under."""
    if outcome is None:
        return "backend_closed"
    if isinstance(outcome, BackendRefused):
        return outcome.code
    return "not_sent" if isinstance(outcome, NotSent) else "answer_lost"


def late() -> Refusal:
    """Returns the refusal of a call whose deadline passed unsent."""
    return not_run(Reason.DEADLINE, "The deadline has passed.", RETRY_AFTER_S)
