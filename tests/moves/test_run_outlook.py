"""Tests of what is expected of runs on engines that leave."""

import freezegun
import pytest

from savorylift.exchange.events import Event
from savorylift.exchange.run import Run
from savorylift.moves.run_outlook import done_share, ends_in_s
from tests.exchange.factories import (
    ENGINE,
    make_admitted_request,
    make_generation_request,
)

PROMPT_TOKENS = 1000
OUTPUT_TOKENS = 400
PAUSE_S = 0.05


def make_run() -> Run:
    """Returns a run that has sent nothing yet."""
    req = make_generation_request(prompt_tokens=PROMPT_TOKENS)
    admitted = make_admitted_request(req, engine=ENGINE)
    return Run(admitted, PROMPT_TOKENS + OUTPUT_TOKENS)


def make_run_after(events: int) -> Run:
    """Returns a run that has sent events at equal pauses."""
    run = make_run()
    with freezegun.freeze_time() as clock:
        for number in range(1, events + 1):
            clock.tick(PAUSE_S)
            run.record_event(Event(b"", number))
    return run


@pytest.mark.parametrize("share", [0.25, 0.5, 1.0, 1.5])
def test_share_of_the_output_that_is_done(share: float) -> None:
    events = round(share * OUTPUT_TOKENS / ENGINE.tokens_per_event)
    run = make_run_after(events)
    assert done_share(run) == pytest.approx(min(share, 1.0), abs=0.02)


def test_end_follows_from_the_pace() -> None:
    events = round(0.75 * OUTPUT_TOKENS / ENGINE.tokens_per_event)
    with freezegun.freeze_time() as clock:
        run = make_run()
        for number in range(1, events + 1):
            clock.tick(PAUSE_S)
            run.record_event(Event(b"", number))
        left = 0.25 * OUTPUT_TOKENS / ENGINE.tokens_per_event
        assert ends_in_s(run) == pytest.approx(left * PAUSE_S, rel=0.1)


def test_end_is_unknown_without_a_pace_and_beyond_the_estimate() -> None:
    assert ends_in_s(make_run_after(1)) is None
    events = OUTPUT_TOKENS // ENGINE.tokens_per_event + 10
    assert ends_in_s(make_run_after(events)) is None
