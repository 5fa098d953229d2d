"""Tests of the state of a generation."""

import freezegun
import pytest

from savorylift.exchange.events import Event
from savorylift.exchange.run import EVENTS_TO_SURVIVE, Run
from tests.exchange.factories import make_admitted_request


@pytest.mark.parametrize(
    ("events", "has_survived"),
    [
        ((EVENTS_TO_SURVIVE,), True),
        ((EVENTS_TO_SURVIVE, 0), True),
        ((EVENTS_TO_SURVIVE - 1, EVENTS_TO_SURVIVE - 1), False),
    ],
)
def test_events_of_several_engines_are_not_the_start_of_one(
    events: tuple[int, ...],
    has_survived: bool,  # noqa: FBT001
) -> None:
    """Engines that crashed one after another passed for one that did not."""
    run = Run(make_admitted_request(), 100)
    number = 0
    for count in events:
        run.mark_assigned(0)
        for _ in range(count):
            number += 1
            run.record_event(Event(b"id: %d\n\n" % number, number))
    assert run.has_survived_start is has_survived


def test_pause_between_events_is_that_of_the_present_engine() -> None:
    run = Run(make_admitted_request(), 100)
    with freezegun.freeze_time() as clock:
        for pause_s in (5.0, 0.5):
            run.mark_assigned(0)
            assert run.mean_pause_s() is None
            for number in range(6):
                clock.tick(pause_s)
                run.record_event(Event(b"id: %d\n\n" % number, number))
            assert run.mean_pause_s() == pytest.approx(pause_s)
