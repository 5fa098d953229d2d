"""Times at which engines' links are free for copies of runs, and room there."""

import math
import operator
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from savorylift.moves.destination_links import (
    DestinationLink,
    DestinationLinks,
)
from savorylift.moves.move_inputs import (
    Destination,
    LeavingEngine,
    MovingRun,
)
from savorylift.moves.move_order import CROSS_DOMAIN_FACTOR

# What a copy takes besides the bytes: the part that the run made meanwhile, and
# the messages around it.
COPY_OVERHEAD_S = 0.03
# Of destinations at which a copy ends within this time of the earliest end, the
# emptiest gets it.
SIMILAR_END_S = 0.05


class PlannedCopy(NamedTuple):
    """A copy of a run.

    Attributes:
        run: The run.
        destination_id: Engine that it is copied to.
        turn: Number of the copy among those off the same engine, from 0.
        begins_s: Time until it begins, when both links are free.
        ends_s: Time until it has ended.
    """

    run: MovingRun
    destination_id: str
    turn: int
    begins_s: float
    ends_s: float


class CopySchedule:
    """Plans copies, each after those that were planned before."""

    def __init__(
        self,
        sources: Mapping[str, LeavingEngine],
        destinations: Mapping[str, Destination],
    ) -> None:
        """Creates a schedule without copies.

        Args:
            sources: Engines that leave, by ID.
            destinations: Engines that runs may go to, by ID.
        """
        self._sources = sources
        self._destinations = destinations
        self._links = DestinationLinks(destinations)
        self._source_free_s = {
            server_id: source.busy_s for server_id, source in sources.items()
        }
        self._turns = dict.fromkeys(sources, 0)

    def add_without_room(self, run: MovingRun) -> PlannedCopy | None:
        """Plans a copy to the emptiest engine with a free link, if any."""
        found = [
            link
            for group in self._links.find_groups(run)
            for link in group.links
            if link.busy_s <= 0 and link.free_places > 0
        ]
        if not found:
            return None
        return self._schedule(run, _choose_emptiest(found))

    def add(
        self, run: MovingRun, latest_end_s: float = math.inf
    ) -> PlannedCopy | None:
        """Plans a copy of a run after those that were planned before.

        Args:
            run: The run.
            latest_end_s: Time until which the copy must have ended.

        Returns:
            The copy; None if there is no room or no copy ends in time.
        """
        free_s = self._source_free_s[run.source_id]
        tokens = run.expected_tokens
        # Latest end among which to choose, with the ends found so far.
        last_s = latest_end_s
        ends_s: dict[DestinationLink, float] = {}
        for takes_s, links in self._find_durations(run):
            if free_s + takes_s > last_s:
                break
            # Written out, since it runs for each run and engine.
            found = {
                link: link.busy_s + takes_s
                for link in links
                if link.busy_s + takes_s <= last_s
                and tokens <= link.free_tokens
                and link.free_places > 0
            }
            if not found:
                continue
            first_s = max(free_s + takes_s, min(found.values()))
            last_s = min(last_s, first_s + SIMILAR_END_S)
            ends_s |= found
        similar = [link for link, s in ends_s.items() if s <= last_s]
        if not similar:
            return None
        return self._schedule(run, _choose_emptiest(similar))

    def has_room(self, run: MovingRun) -> bool:
        """Whether any destination has room for a run."""
        return any(
            link.has_room(run)
            for group in self._links.find_groups(run)
            for link in group.links
        )

    def _find_durations(
        self, run: MovingRun
    ) -> list[tuple[float, list[DestinationLink]]]:
        """Returns how long a copy takes to which engines, shortest first."""
        source = self._sources[run.source_id]
        durations = [
            (copy_duration_s(run.tokens, source, group.sample), group.links)
            for group in self._links.find_groups(run)
        ]
        return sorted(durations, key=operator.itemgetter(0))

    def _schedule(self, run: MovingRun, link: DestinationLink) -> PlannedCopy:
        begins_s = max(self._source_free_s[run.source_id], link.busy_s)
        ends_s = begins_s + copy_duration_s(
            run.tokens,
            self._sources[run.source_id],
            self._destinations[link.server_id],
        )
        turn = self._turns[run.source_id]
        self._turns[run.source_id] = turn + 1
        self._source_free_s[run.source_id] = ends_s
        link.free_tokens -= run.expected_tokens
        link.free_places -= 1
        link.busy_s = ends_s
        return PlannedCopy(run, link.server_id, turn, begins_s, ends_s)


def copy_duration_s(
    tokens: int, source: LeavingEngine, destination: Destination
) -> float:
    """Returns how long a copy takes on links without other traffic."""
    rate = min(source.link_tokens_per_s, destination.link_tokens_per_s)
    is_cross_domain = source.failure_domain != destination.failure_domain
    factor = CROSS_DOMAIN_FACTOR if is_cross_domain else 1
    return COPY_OVERHEAD_S + factor * tokens / rate


def _choose_emptiest(links: Sequence[DestinationLink]) -> DestinationLink:
    most = max([link.free_tokens for link in links])
    emptiest = [link for link in links if link.free_tokens == most]
    return min(emptiest, key=operator.attrgetter("server_id"))
