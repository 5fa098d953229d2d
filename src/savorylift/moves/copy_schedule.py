"""Times at which engines' links are free for copies of runs, and room there."""

import math
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from savorylift.moves.begun_copies import MoveKey
from savorylift.moves.move_order import CROSS_DOMAIN_FACTOR

# What a copy takes besides the bytes: the part that the run made meanwhile, and
# the messages around it.
COPY_OVERHEAD_S = 0.03
# Of destinations at which a copy ends within this time of the earliest end, the
# emptiest gets it.
SIMILAR_END_S = 0.05


class MovingRun(NamedTuple):
    """A run on an engine that leaves.

    Attributes:
        key: The request for its turn.
        source_id: Engine that it is on.
        tokens: Tokens that it holds, which are copied.
        expected_tokens: Tokens that it is expected to reach, for which its
            destination needs room.
        priority: Priority; 0 goes first.
        done_share: Share of the expected output that has been made.
        may_repeat: Whether it may be made again from its prompt.
        ends_in_s: Time until it should end by itself; infinite if unknown.
        excluded: IDs of the engines that it can't go to.
        software_version: Version of the engines that it may go to; None for
            any.
        regions: Regions that it may go to; None for any.
    """

    key: MoveKey
    source_id: str
    tokens: int
    expected_tokens: int
    priority: int = 0
    done_share: float = 0.0
    may_repeat: bool = False
    ends_in_s: float = math.inf
    excluded: frozenset[str] = frozenset()
    software_version: str | None = None
    regions: frozenset[str] | None = None


class LeavingEngine(NamedTuple):
    """An engine that leaves.

    Attributes:
        failure_domain: Its failure domain.
        leaves_in_s: Time until it stops.
        link_tokens_per_s: Tokens that its link carries within its domain.
        busy_s: Time until the copy that it sends now ends; 0 without one.
    """

    failure_domain: str
    leaves_in_s: float
    link_tokens_per_s: float
    busy_s: float = 0.0


class Destination(NamedTuple):
    """An engine that runs may go to.

    Attributes:
        failure_domain: Its failure domain.
        region: Its region.
        software_version: Its software version.
        free_tokens: Tokens for which it has room.
        free_places: Runs for which it has room.
        link_tokens_per_s: Tokens that its link carries within its domain.
        busy_s: Time until the copy that it receives now ends; 0 without one.
    """

    failure_domain: str
    region: str | None
    software_version: str
    free_tokens: float
    free_places: int
    link_tokens_per_s: float
    busy_s: float = 0.0


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
        self._destinations = dict(destinations)
        self._source_free_s = {
            server_id: source.busy_s for server_id, source in sources.items()
        }
        self._turns = dict.fromkeys(sources, 0)

    def add_without_room(self, run: MovingRun) -> PlannedCopy | None:
        """Plans a copy to the emptiest engine with a free link, if any."""
        found = [
            server_id
            for server_id, destination in self._destinations.items()
            if destination.busy_s <= 0
            and _is_allowed(run, server_id, destination)
        ]
        if not found:
            return None
        server_id = self._choose_emptiest(found)
        takes_s = copy_duration_s(
            run.tokens,
            self._sources[run.source_id],
            self._destinations[server_id],
        )
        ends_s = self._source_free_s[run.source_id] + takes_s
        return self._schedule(run, server_id, ends_s)

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
        source = self._sources[run.source_id]
        free_s = self._source_free_s[run.source_id]
        ends = {
            server_id: max(free_s, destination.busy_s)
            + copy_duration_s(run.tokens, source, destination)
            for server_id, destination in self._destinations.items()
            if _has_room(run, server_id, destination)
        }
        first_s = min(ends.values(), default=math.inf)
        if first_s == math.inf or first_s > latest_end_s:
            return None
        last_s = min(first_s + SIMILAR_END_S, latest_end_s)
        found = [server_id for server_id, s in ends.items() if s <= last_s]
        server_id = self._choose_emptiest(found)
        return self._schedule(run, server_id, ends[server_id])

    def has_room(self, run: MovingRun) -> bool:
        """Whether any destination has room for a run."""
        return any(
            _has_room(run, server_id, destination)
            for server_id, destination in self._destinations.items()
        )

    def _choose_emptiest(self, server_ids: Sequence[str]) -> str:
        return min(
            server_ids,
            key=lambda server_id: (
                -self._destinations[server_id].free_tokens,
                server_id,
            ),
        )

    def _schedule(
        self, run: MovingRun, server_id: str, ends_s: float
    ) -> PlannedCopy:
        destination = self._destinations[server_id]
        free_s = self._source_free_s[run.source_id]
        begins_s = max(free_s, destination.busy_s)
        turn = self._turns[run.source_id]
        self._turns[run.source_id] = turn + 1
        self._source_free_s[run.source_id] = ends_s
        self._destinations[server_id] = destination._replace(
            free_tokens=destination.free_tokens - run.expected_tokens,
            free_places=destination.free_places - 1,
            busy_s=ends_s,
        )
        return PlannedCopy(run, server_id, turn, begins_s, ends_s)


def copy_duration_s(
    tokens: int, source: LeavingEngine, destination: Destination
) -> float:
    """Returns how long a copy takes on links without other traffic."""
    rate = min(source.link_tokens_per_s, destination.link_tokens_per_s)
    is_cross_domain = source.failure_domain != destination.failure_domain
    factor = CROSS_DOMAIN_FACTOR if is_cross_domain else 1
    return COPY_OVERHEAD_S + factor * tokens / rate


def _has_room(run: MovingRun, server_id: str, destination: Destination) -> bool:
    return run.expected_tokens <= destination.free_tokens and _is_allowed(
        run, server_id, destination
    )


def _is_allowed(
    run: MovingRun, server_id: str, destination: Destination
) -> bool:
    return (
        destination.free_places > 0
        and server_id not in run.excluded
        and run.software_version in (None, destination.software_version)
        and (run.regions is None or destination.region in run.regions)
    )
