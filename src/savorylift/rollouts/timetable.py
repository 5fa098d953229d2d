"""When the steps of a roll-out are due.

The version is watched for as long as possible: it may turn bad later. Once a
route is shifted, all its new requests go to the new version. Each route is
shifted as late as the requests that began at the old version can still end
before the old servers stop: one with short requests later than one with long
ones. So a version that turns bad late gets less.
"""

from collections.abc import Mapping
from typing import NamedTuple

from savorylift.rollouts.run_times import RouteRuns

# How long a version is tried under load, as a part of the order's time, and the
# least. The parts below are of the same time.
LOAD_TIME_PART = 0.07
MIN_LOAD_S = 0.8
# Time between the last decision and the deadline, in which the record and the
# status have to be written.
MARGIN_PART = 0.08
MIN_MARGIN_S = 1.5
# Time for old servers to end what they run, where nothing is known of that: of
# engines, whose streams last, and of others.
ENGINE_SHIFT_PART = 0.2
PLAIN_SHIFT_PART = 0.1
MIN_SHIFT_S = 2.0
# The longest time that requests are given to end.
LONGEST_SHIFT_PART = 0.35
# Added to the run time of requests: nodes hear of a shift a little late.
SHIFT_MARGIN_S = 0.5
# The shortest time of the shift if the version was found sound late.
SHORTEST_SHIFT_S = 0.6


class RouteShift(NamedTuple):
    """When a route is shifted: its new requests all go to the new version.

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
        route_shifts: When routes are shifted of which run times are known. All
            others are shifted as soon as the version has been tried.
        mean_shift_s: How long before `complete_s` a route is shifted: the mean,
            weighted by the routes' requests.
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
    default_shift_s = max(part * duration_s, MIN_SHIFT_S)
    shift_s = {
        route: _shift_duration_s(runs.run_s, duration_s)
        for route, runs in sorted(routes.items())
    }
    longest_shift_s = max([default_shift_s, *shift_s.values()])
    load_time_s = load_duration_s(duration_s)
    return Timetable(
        load_s=complete_s - longest_shift_s - load_time_s,
        latest_load_s=complete_s - load_time_s - SHORTEST_SHIFT_S,
        complete_s=complete_s,
        route_shifts=tuple(
            RouteShift(route, complete_s - time_s)
            for route, time_s in shift_s.items()
        ),
        mean_shift_s=_mean_s(shift_s, routes) if shift_s else default_shift_s,
    )


def load_duration_s(duration_s: float) -> float:
    """Returns how long a version is tried under load."""
    return max(MIN_LOAD_S, LOAD_TIME_PART * duration_s)


def _shift_duration_s(run_s: float, duration_s: float) -> float:
    """Returns how long before `complete_s` a route is shifted."""
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
