"""Tests of the state of a plain call, and of how it is stopped."""

import asyncio

import pytest

from savorylift.exchange.open_call import OpenCall
from savorylift.exchange.results import Refused
from savorylift.outcomes import Ending, Reason
from tests.exchange.factories import make_admitted_request

REFUSAL = Refused(503, Reason.QUARANTINED, "It did not run.", 1.5)
OTHER_REFUSAL = REFUSAL._replace(message="It did not run, either.")


def make_call(*, is_at_server: bool = False, has_run: bool = False) -> OpenCall:
    call = OpenCall(make_admitted_request())
    call.is_at_server = is_at_server
    call.has_run = has_run
    return call


async def serve_stopped(
    call: OpenCall, refusal: Refused, late: Refused | None = None
) -> None:
    """Serves a call that is stopped, perhaps again as its serving ends."""
    async with asyncio.timeout(None) as call.time_limit:
        call.stop(refusal)
        try:
            await asyncio.Event().wait()
        finally:
            call.stop(late)


@pytest.mark.parametrize(
    ("is_at_server", "has_run", "ending"),
    [
        (False, False, Ending.NOT_RUN),
        (True, False, Ending.UNKNOWN),
        (False, True, Ending.UNKNOWN),
        (True, True, Ending.UNKNOWN),
    ],
)
def test_only_a_call_that_no_server_got_ends_as_not_run(
    *, is_at_server: bool, has_run: bool, ending: Ending
) -> None:
    call = make_call(is_at_server=is_at_server, has_run=has_run)
    refused = call.end_quarantined(REFUSAL)
    assert refused.ending is ending
    assert refused.reason is Reason.QUARANTINED
    is_certain = ending is Ending.NOT_RUN
    assert (refused == REFUSAL) is is_certain
    assert (refused.retry_after_s is not None) is is_certain


def test_refusal_ends_the_serving_of_a_call_at_once() -> None:
    async def scenario() -> None:
        call = make_call(is_at_server=True)
        with pytest.raises(TimeoutError):
            await serve_stopped(call, REFUSAL)
        assert call.refusal == call.end_quarantined(REFUSAL)

    asyncio.run(asyncio.wait_for(scenario(), 1.0))


def test_call_without_a_refusal_goes_on() -> None:
    async def scenario() -> None:
        call = make_call()
        async with asyncio.timeout(None) as call.time_limit:
            call.stop(None)
            await asyncio.sleep(0)
        assert call.refusal is None

    asyncio.run(scenario())


def test_call_that_is_not_served_yet_is_not_stopped() -> None:
    call = make_call()
    call.stop(REFUSAL)
    assert call.refusal is None


def test_call_that_was_stopped_keeps_its_first_refusal() -> None:
    async def scenario() -> None:
        call = make_call()
        with pytest.raises(TimeoutError):
            await serve_stopped(call, REFUSAL, late=OTHER_REFUSAL)
        assert call.refusal == REFUSAL

    asyncio.run(asyncio.wait_for(scenario(), 1.0))
