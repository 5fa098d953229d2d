"""How long requests run at the old version, by route, over all nodes."""

import collections
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from savorylift.fleet.rollout_messages import RunTimes
from savorylift.rollouts.durations import CLASS_COUNT, longest_duration_s

# Fewest requests by which the run time of a route is estimated.
MIN_RUNS = 20
# Share of a route's requests that end within its run time.
COVERED_SHARE = 0.98
# Most histograms that are kept: one for each process and route.
MAX_KEPT = 4096


class RouteRuns(NamedTuple):
    """Requests that ran to their end on a route.

    Attributes:
        requests: Number of them.
        run_s: Time in which nearly all of them (`COVERED_SHARE`) ended.
    """

    requests: int
    run_s: float


class _Key(NamedTuple):
    """Identifies a histogram.

    Attributes:
        source: Random number of the process that counted.
        route: Name of the route.
    """

    source: int
    route: str


class FleetRunTimes:
    """The counts of all nodes, each in full."""

    def __init__(self) -> None:
        """Starts without counts."""
        self._known: dict[_Key, RunTimes] = {}

    def merge(self, source: int, run_times: Iterable[RunTimes]) -> None:
        """Replaces what a node has counted by what it has by now.

        Args:
            source: Random number of the process that counted.
            run_times: Its counts; routes that it doesn't name stay.
        """
        for found in run_times:
            key = _Key(source, found.route)
            if key in self._known or len(self._known) < MAX_KEPT:
                self._known[key] = found

    def find_routes(self) -> Mapping[str, RouteRuns]:
        """Returns the routes of which enough is known."""
        sums: dict[str, collections.Counter[int]] = {}
        for found in self._known.values():
            times = sums.setdefault(found.route, collections.Counter())
            for class_number, count in found.times:
                times[class_number] += count
        return {
            route: RouteRuns(times.total(), _covering_s(times))
            for route, times in sums.items()
            if times.total() >= MIN_RUNS
        }


def _covering_s(times: collections.Counter[int]) -> float:
    """Returns the time that covers the wanted share of a histogram."""
    wanted, count = COVERED_SHARE * times.total(), 0
    for class_number in range(CLASS_COUNT):
        count += times[class_number]
        if count >= wanted:
            return longest_duration_s(class_number)
    return longest_duration_s(CLASS_COUNT)
