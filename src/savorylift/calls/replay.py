"""Recorded answers of calls that ran before."""

import msgspec
from returns.result import Failure, Result, Success

from savorylift.calls.messages import OUTCOME_KIND, OutcomeBody
from savorylift.calls.request import CallAnswer
from savorylift.log_service.log import Log, LogPage
from savorylift.outcomes import Ending, Reason, Refusal

RETRY_AFTER_S = 5.0


def read_outcome(
    log: Log, stream: str, offset: int
) -> Result[CallAnswer, Refusal]:
    """Returns the answer recorded at `offset`, or that it isn't kept."""
    read = log.read(stream, offset)
    if isinstance(read, Failure):
        return Failure(_ran("its outcome can't be read now", RETRY_AFTER_S))
    page: LogPage = read.unwrap()
    if page.first_offset > offset:
        return Failure(_ran("its outcome is forgotten"))
    if not page.records:  # the log answered from an older copy
        return Failure(_ran("its outcome can't be read now", RETRY_AFTER_S))
    record = page.records[0]
    if record.kind != OUTCOME_KIND:
        return Failure(_ran("its outcome can't be read"))
    outcome = msgspec.json.decode(record.body, type=OutcomeBody)
    if outcome.status is None or outcome.body is None:
        return Failure(_ran(f"its answer ({outcome.status}) is not kept"))
    return Success(
        CallAnswer(
            outcome.status,
            outcome.headers,
            outcome.body,
            outcome.backend_server,
            is_replay=True,
        )
    )


def _ran(cause: str, retry_after_s: float | None = None) -> Refusal:
    return Refusal(
        Ending.FAILED,
        Reason.ANSWER_LOST,
        f"An earlier try with this key ran; {cause}.",
        retry_after_s,
    )
