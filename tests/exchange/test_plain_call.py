"""Tests of the dispatch of plain calls, with scripted backend servers."""

import asyncio

import pytest

from savorylift.backends.registry import BackendServer
from savorylift.exchange.admission import AdmittedRequest
from savorylift.exchange.failover import FailoverPolicy
from savorylift.exchange.plain_call import PlainCallDispatcher
from savorylift.exchange.request import AnswerHead
from savorylift.exchange.results import (
    Answered,
    NotRun,
    Refused,
    SendResult,
    Unsure,
)
from savorylift.exchange.retry_budget import SAFETY_FACTOR
from savorylift.exchange.send import Sender
from savorylift.outcomes import Reason
from tests.exchange.factories import (
    make_admitted_request,
    make_crash_guard,
    make_pool,
    make_store_view,
)

# Allows one retry.
RETRY_SLACK = 1.5 / SAFETY_FACTOR

LATE = Unsure(Reason.DEADLINE, "no response in time")
SERVED = Answered(
    AnswerHead(200, (), matches_request=True, is_not_run=False, is_signed=True),
    b"",
)
REJECTED = NotRun(Reason.NODE_BUSY, "rejected", reached_server=True)
REFUSED = NotRun(Reason.BACKEND_LOST, "refused", reached_server=False)
DENIED = NotRun(Reason.SERVER_LIMIT, "denied", reached_server=False)


class ScriptedSender(Sender):
    """Returns given results, in order."""

    def __init__(self, results: list[SendResult]) -> None:
        self._results = iter(results)

    async def send(
        self,
        server: BackendServer,
        admitted: AdmittedRequest,
        failover_policy: FailoverPolicy,
    ) -> SendResult:
        return next(self._results)


def serve_with_one_retry(results: list[SendResult]) -> Answered | Refused:
    """Serves a call while the budget has one retry; returns the answer."""
    pool = make_pool(make_store_view(a=9, b=9, c=9, d=9), slack=RETRY_SLACK)
    dispatcher = PlainCallDispatcher(
        pool, ScriptedSender(results), make_crash_guard()
    )
    return asyncio.run(dispatcher.serve(make_admitted_request()))


@pytest.mark.parametrize(
    ("results", "is_served"),
    [
        ([REJECTED, SERVED], True),
        ([REJECTED, REJECTED, SERVED], False),
        ([DENIED, DENIED, SERVED], True),
        ([REJECTED, DENIED, SERVED], True),
        ([REJECTED, DENIED, DENIED, SERVED], True),
        ([DENIED, REJECTED, DENIED, SERVED], True),
        ([REJECTED, DENIED, REJECTED, SERVED], False),
    ],
)
def test_request_without_a_permit_uses_no_retry(
    results: list[SendResult], *, is_served: bool
) -> None:
    assert isinstance(serve_with_one_retry(results), Answered) is is_served


@pytest.mark.parametrize(
    ("results", "is_served"),
    [
        ([REJECTED, REFUSED, SERVED], True),
        ([REFUSED, REJECTED, REFUSED, SERVED], True),
        ([REJECTED, REFUSED, DENIED, SERVED], True),
        ([REJECTED, REFUSED, REJECTED, SERVED], False),
        ([LATE, REFUSED, SERVED], True),
        ([LATE, REFUSED, LATE, SERVED], False),
    ],
)
def test_retry_is_not_used_up_by_a_server_that_refuses_the_connection(
    results: list[SendResult], *, is_served: bool
) -> None:
    assert isinstance(serve_with_one_retry(results), Answered) is is_served
