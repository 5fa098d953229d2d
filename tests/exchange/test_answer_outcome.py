"""Tests of what a request's result says of its server's version."""

import pytest

from savorylift.exchange.answer_outcome import find_outcome
from savorylift.exchange.request import AnswerHead
from savorylift.exchange.results import Answered, Broken, NotRun, Unsure
from savorylift.outcomes import Reason
from savorylift.rollouts.answer_log import Outcome


def answered(status: int) -> Answered:
    head = AnswerHead(
        status, (), matches_request=True, is_not_run=False, is_signed=True
    )
    return Answered(head, b"")


@pytest.mark.parametrize(
    ("result", "outcome"),
    [
        # A stream that is complete.
        (None, Outcome.SUCCEEDED),
        (answered(200), Outcome.SUCCEEDED),
        # What the caller did wrong is no failure of the server.
        (answered(404), Outcome.SUCCEEDED),
        (answered(499), Outcome.SUCCEEDED),
        (answered(500), Outcome.FAILED),
        (answered(503), Outcome.FAILED),
        (Unsure(Reason.ANSWER_LOST, ""), Outcome.LOST),
        (Broken(Reason.ANSWER_LOST, ""), Outcome.LOST),
        # These end at this node or its caller.
        (Unsure(Reason.DEADLINE, ""), Outcome.ENDED),
        (Broken(Reason.BACKEND_LOST, ""), Outcome.ENDED),
        (NotRun(Reason.ANSWER_LOST, "", reached_server=True), Outcome.ENDED),
    ],
)
def test_outcome_of_a_result(
    result: Answered | Broken | NotRun | Unsure | None, outcome: Outcome
) -> None:
    assert find_outcome(result) is outcome
