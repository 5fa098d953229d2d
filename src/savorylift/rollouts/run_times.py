"""How long requests run at the old version, by route, over all nodes."""

import collections
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from savorylift.fleet.rollout_messages import RunTimes
from savorylift.rollouts.durations import CLASS_COUNT, longest_duration_s

# Requests on a route that tell how long they run.
MIN_RUNS = 20
# Share of them that a time is to cover.
COVERED_SHARE = 0.98
# Most processes and routes that are kept.
MAX_KEPT = 4096


class RouteRuns(NamedTuple):
    """Requests that ran to their end on a route.

    Attributes:
        requests: Number of them.
        run_s: Time in which nearly all of them ended.
    """

    requests: int
    run_s: float


class _Key(NamedTuple):
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
            for number, count in found.times:
                times[number] += count
        return {
            route: RouteRuns(times.total(), _covering_s(times))
            for route, times in sums.items()
            if times.total() >= MIN_RUNS
        }


def _covering_s(times: collections.Counter[int]) -> float:
    wanted, count = COVERED_SHARE * times.total(), 0
    for number in range(CLASS_COUNT):
        count += times[number]
        if count >= wanted:
            return longest_duration_s(number)
    return longest_duration_s(CLASS_COUNT)
