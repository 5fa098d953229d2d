"""Tests of the final response once no server is tried any more."""

import pytest

from savorylift.exchange.final_answer import BUSY_RETRY_AFTER_S, final_answer
from savorylift.exchange.request import AnswerHead
from savorylift.exchange.results import (
    NO_SERVER_RETRY_AFTER_S,
    Answered,
    NotRun,
    Refused,
    SendResult,
    Unsure,
)
from savorylift.outcomes import Ending, Reason

HEAD = AnswerHead(
    503, (), matches_request=True, is_not_run=False, is_signed=True
)


def test_answer_of_a_server_is_passed_on() -> None:
    answered = Answered(HEAD, b"body")
    assert final_answer(answered) is answered


@pytest.mark.parametrize(
    ("result", "status", "reason", "retry_after_s", "ending"),
    [
        (
            Unsure(Reason.DEADLINE, "late"),
            504,
            Reason.DEADLINE,
            None,
            Ending.UNKNOWN,
        ),
        (
            Unsure(Reason.ANSWER_LOST, "cut"),
            502,
            Reason.ANSWER_LOST,
            None,
            Ending.UNKNOWN,
        ),
        (
            NotRun(Reason.NODE_BUSY, "busy", reached_server=True),
            503,
            Reason.NODE_BUSY,
            BUSY_RETRY_AFTER_S,
            Ending.NOT_RUN,
        ),
        (
            None,
            503,
            Reason.NO_BACKEND_SERVER,
            NO_SERVER_RETRY_AFTER_S,
            Ending.NOT_RUN,
        ),
    ],
)
def test_refusal_tells_whether_the_request_may_have_run(
    result: SendResult | None,
    status: int,
    reason: Reason,
    retry_after_s: float | None,
    ending: Ending,
) -> None:
    refused = final_answer(result)
    assert isinstance(refused, Refused)
    assert refused.status == status
    assert refused.reason is reason
    assert refused.retry_after_s == retry_after_s
    assert refused.ending is ending
