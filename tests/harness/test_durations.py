"""Tests of the durations that pytest reports."""

import freezegun
from _pytest import timing

MOST_S = 60.0


def test_duration_of_a_test_that_pauses_the_clock_is_no_date() -> None:
    started = timing.Instant()
    with freezegun.freeze_time("2026-01-01"):
        inside = timing.Instant()
        while_paused = started.elapsed().seconds
    assert 0.0 <= while_paused < MOST_S
    assert 0.0 <= inside.elapsed().seconds < MOST_S
