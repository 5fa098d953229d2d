"""Tests of when the steps of a roll-out are due."""

import pytest

from savorylift.rollouts.run_times import RouteRuns
from savorylift.rollouts.timetable import (
    LONGEST_SHIFT_PART,
    MIN_SHIFT_S,
    Timetable,
    make_timetable,
)

DURATION_S = 60.0
SHORT, LONG = RouteRuns(300, 1.0), RouteRuns(100, 14.0)
UNKNOWN = make_timetable(DURATION_S, {}, has_engines=True)


def shift_s(timetable: Timetable, route: str) -> float:
    """Returns how long before the end a route is shifted."""
    at_s = {shift.route: shift.at_s for shift in timetable.route_shifts}
    return timetable.complete_s - at_s[route]


def test_requests_that_begin_at_the_old_version_end_there() -> None:
    routes = {"short": SHORT, "long": LONG}
    timetable = make_timetable(DURATION_S, routes, has_engines=True)
    assert shift_s(timetable, "long") > LONG.run_s
    assert SHORT.run_s < shift_s(timetable, "short") == MIN_SHIFT_S
    # The long ones are shifted before the usual time.
    assert timetable.load_s < UNKNOWN.load_s


def test_short_requests_leave_the_beginning_as_it_is() -> None:
    timetable = make_timetable(DURATION_S, {"r": SHORT}, has_engines=True)
    assert timetable.load_s == UNKNOWN.load_s
    assert timetable.mean_shift_s < UNKNOWN.mean_shift_s


def test_the_longest_requests_leave_time_to_watch_the_version() -> None:
    routes = {"r": LONG._replace(run_s=500.0)}
    timetable = make_timetable(DURATION_S, routes, has_engines=False)
    expected_s = pytest.approx(LONGEST_SHIFT_PART * DURATION_S)
    assert shift_s(timetable, "r") == expected_s
    assert timetable.load_s >= 0.4 * DURATION_S


def test_the_mean_time_of_a_shift_counts_requests() -> None:
    routes = {"short": SHORT, "long": LONG}
    timetable = make_timetable(DURATION_S, routes, has_engines=True)
    short_s, long_s = shift_s(timetable, "short"), shift_s(timetable, "long")
    expected_s = pytest.approx((3 * short_s + long_s) / 4)
    assert timetable.mean_shift_s == expected_s
