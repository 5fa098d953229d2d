"""When the steps of a roll-out are due.

The version is watched for as long as possible: it may turn bad later. Requests
on a route go to the new version only once those that begin at the old one may
not end before the old servers stop. So routes with short requests are shifted
later than those with long ones, and a version that turns bad late gets less.
"""

from collections.abc import Mapping
from typing import NamedTuple

from savorylift.rollouts.run_times import RouteRuns

# How long the load is tried, as a part of the time.
LOAD_TIME_PART = 0.07
MIN_LOAD_S = 0.8
# What lies between the last decision and the deadline: operators' records and
# the status both take a moment.
MARGIN_PART = 0.08
MIN_MARGIN_S = 1.5
# Time for old servers to end what they run, where nothing is known of that: of
# engines, whose streams last, and of others.
ENGINE_SHIFT_PART = 0.2
PLAIN_SHIFT_PART = 0.1
MIN_SHIFT_S = 2.0
# The most that long requests are given to end.
LONGEST_SHIFT_PART = 0.35
# Added to the time that requests run: nodes hear of a shift a little late.
SHIFT_MARGIN_S = 0.5
# The least that the shift may take if the version was found sound late.
SHORTEST_SHIFT_S = 0.6


class RouteShift(NamedTuple):
    """When the new requests of a route go to the new version only.

    Attributes:
        route: Name of the route.
        at_s: Time since the order.
    """

    route: str
    at_s: float


class Timetable(NamedTuple):
    """When the steps of a roll-out are due, in seconds since the order.

    Attributes:
        load_s: When the version is tried under load.
        latest_load_s: After what time it is too late for that.
        complete_s: When the roll-out is completed.
        route_shifts: When the new requests of routes go to the new version
            only, if not as soon as it has been tried.
        mean_shift_s: For how long the requests of a route do so before the
            roll-out is completed: the mean over all requests.
    """

    load_s: float
    latest_load_s: float
    complete_s: float
    route_shifts: tuple[RouteShift, ...]
    mean_shift_s: float

    def find_held_routes(self, elapsed_s: float) -> tuple[str, ...]:
        """Returns the routes that aren't due to be shifted yet."""
        return tuple(
            shift.route for shift in self.route_shifts if elapsed_s < shift.at_s
        )


def make_timetable(
    duration_s: float, routes: Mapping[str, RouteRuns], *, has_engines: bool
) -> Timetable:
    """Returns the timetable of an order.

    Args:
        duration_s: Time from the order to its deadline.
        routes: How long requests run at the old version, as far as known.
        has_engines: Whether the service has engines, whose streams last.
    """
    margin_s = max(MIN_MARGIN_S, MARGIN_PART * duration_s)
    complete_s = max(duration_s - margin_s, 0.5 * duration_s)
    part = ENGINE_SHIFT_PART if has_engines else PLAIN_SHIFT_PART
    usual_s = max(part * duration_s, MIN_SHIFT_S)
    shift_s = {
        route: _shift_duration_s(runs.run_s, duration_s)
        for route, runs in sorted(routes.items())
    }
    first_shift_s = max([usual_s, *shift_s.values()])
    load_time_s = load_duration_s(duration_s)
    return Timetable(
        complete_s - first_shift_s - load_time_s,
        complete_s - load_time_s - SHORTEST_SHIFT_S,
        complete_s,
        tuple(
            RouteShift(route, complete_s - time_s)
            for route, time_s in shift_s.items()
        ),
        _mean_s(shift_s, routes) if shift_s else usual_s,
    )


def load_duration_s(duration_s: float) -> float:
    """Returns how long a version is tried under load."""
    return max(MIN_LOAD_S, LOAD_TIME_PART * duration_s)


def _shift_duration_s(run_s: float, duration_s: float) -> float:
    """Returns how long a route's requests take to leave the old version."""
    longest_s = max(LONGEST_SHIFT_PART * duration_s, MIN_SHIFT_S)
    return min(max(run_s + SHIFT_MARGIN_S, MIN_SHIFT_S), longest_s)


def _mean_s(
    shift_s: Mapping[str, float], routes: Mapping[str, RouteRuns]
) -> float:
    total = sum(runs.requests for runs in routes.values())
    weighted = (
        time_s * routes[route].requests for route, time_s in shift_s.items()
    )
    return sum(weighted) / total
