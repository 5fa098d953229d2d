"""Tests of how much memory the generations that arrive want."""

import freezegun

from savorylift.placement.arrival_rate import WINDOW_S, ArrivalRate


def test_rates_are_those_of_the_latest_arrivals_only() -> None:
    with freezegun.freeze_time("2026-01-01") as clock:
        arrivals = ArrivalRate()
        arrivals.record(1, 1000)
        arrivals.record(2, 0)
        clock.tick(WINDOW_S / 2)
        arrivals.record(1, 500)
        assert arrivals.per_s()[1] == 1500 / WINDOW_S
        clock.tick(WINDOW_S / 2 + 0.1)
        assert arrivals.per_s() == {1: 500 / WINDOW_S}
        clock.tick(WINDOW_S)
        # Priorities that aren't used any more take no memory.
        assert arrivals.per_s() == {}
