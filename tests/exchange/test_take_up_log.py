"""Tests of what is logged of streams that callers take up."""

import pytest
from structlog.testing import capture_logs

from savorylift.exchange.results import Answered, Doubt, Obstacle, Refused
from savorylift.exchange.run import Run
from savorylift.exchange.run_log import log_take_up
from savorylift.outcomes import Reason
from tests.exchange.factories import make_admitted_request, make_caller_request

UNKNOWN = Refused(503, Reason.STREAM_UNKNOWN, "", doubt=Doubt.RESTARTED)
LIMITED = Refused(503, Reason.SERVER_LIMIT, "")


def make_run(resumes: str | None) -> Run:
    req = make_caller_request()._replace(resumes=resumes)
    admitted = make_admitted_request(req)
    route = admitted.route._replace(can_resume=True)
    return Run(admitted._replace(route=route), 100)


@pytest.mark.parametrize(
    ("events", "obstacle", "result", "outcome"),
    [
        (3, None, None, "gone_on"),
        (3, Obstacle.NO_PERMIT, None, "gone_on"),
        (0, None, UNKNOWN, "server_restarted"),
        (0, Obstacle.NO_PERMIT, LIMITED, "no_permit"),
        (0, Obstacle.NOT_ASKED, LIMITED, "process_not_asked"),
        (0, None, LIMITED, "server_limit"),
        (0, None, None, "broken"),
    ],
)
def test_reason_is_logged_for_which_a_stream_goes_on_nowhere(
    events: int,
    obstacle: Obstacle | None,
    result: Answered | Refused | None,
    outcome: str,
) -> None:
    run = make_run("s1")
    run.engine_events = events
    run.first_event_s = 1.0 if events else None
    run.obstacle = obstacle
    with capture_logs() as logged:
        log_take_up(run, result)
    assert [line["outcome"] for line in logged] == [outcome]


def test_stream_that_begins_is_no_take_up() -> None:
    with capture_logs() as logged:
        log_take_up(make_run(None), None)
    assert logged == []
