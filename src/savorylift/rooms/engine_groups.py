"""Groups of a service's engines, each with a keeper of its own.

One keeper decides on all generations of a service, which takes more of a node
the more there are. A service with many engines is divided: each engine belongs
to one group, each request asks the keeper of one group, and that of a second
one before it is refused. What is given up is one order over all that wait.
"""

import time
import zlib
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

import structlog

from savorylift.fleet.state import DividedService
from savorylift.rooms.engines import Engines

# In smaller groups, too many requests would find no room in theirs while
# another group has some.
MIN_ENGINES_PER_GROUP = 24
# A service that is divided stays so until its groups are smaller than this, so
# that one whose number of engines swings doesn't change keepers each time.
MIN_ENGINES_TO_STAY = 20
MAX_GROUPS = 16
# For how long a count is used before the engines are counted again.
CACHE_S = 0.5
MAX_SERVICES = 200
_DIVISIONS = frozenset({2, 4, 8, MAX_GROUPS})

_log = structlog.get_logger()


class RoomId(NamedTuple):
    """Identifies a room: a service's engines, or one group of them.

    Attributes:
        service: The service.
        group: Number of the group of its engines, from 0.
        groups: Number of groups.
    """

    service: str
    group: int = 0
    groups: int = 1

    @property
    def name(self) -> str:
        """Key by which the keeper is chosen."""
        if self.groups == 1:
            return self.service
        return f"{self.service}#{self.group}/{self.groups}"

    def has_engine(self, server_id: str) -> bool:
        """Whether an engine belongs to the group."""
        return _hash(server_id) % self.groups == self.group


def count_groups(engines: int, min_engines: int = MIN_ENGINES_PER_GROUP) -> int:
    """Returns into how many groups a number of engines is divided.

    It is a power of two, so that it seldom changes.

    Args:
        engines: Number of engines.
        min_engines: Smallest number of them in a group, on average.
    """
    groups = 1
    while groups < MAX_GROUPS and engines >= 2 * groups * min_engines:
        groups *= 2
    return groups


def find_rooms(service: str, groups: int, request_id: str) -> Iterator[RoomId]:
    """Yields the rooms that a request asks for a place, the first one first.

    Args:
        service: Service of the request.
        groups: Number of groups of the service's engines.
        request_id: What the request and its repeats agree in, so that the
            keeper knows those that return.
    """
    number = _hash(request_id)
    yield RoomId(service, number % groups, groups)
    if groups > 1:
        # From 1 to `groups - 1`, so that the second group is another one.
        step = 1 + number // groups % (groups - 1)
        yield RoomId(service, (number + step) % groups, groups)


def select_group(engines: Engines, room: RoomId) -> Engines:
    """Returns the engines that belong to a room."""
    if room.groups == 1:
        return engines
    servers = [s for s in engines.servers if room.has_engine(s.entry.server_id)]
    return engines._replace(servers=servers)


class _Count(NamedTuple):
    """The number of a service's groups.

    Attributes:
        groups: The number.
        changed_s: Monotonic time at which it last changed.
        until_s: Monotonic time until which it is used.
    """

    groups: int
    changed_s: float
    until_s: float


class EngineGroups:
    """Counts the groups of each service's engines.

    A service that has been divided stays so while it shrinks a little. Nodes
    say which services they have divided, and follow those that have divided one
    into more groups, so that one that has just started counts as the others do.
    """

    def __init__(self, count_engines: Callable[[str], int]) -> None:
        """Creates it without counts.

        Args:
            count_engines: Returns the number of a service's engines, with
                those that get nothing now.
        """
        self._count_engines = count_engines
        self._counts: dict[str, _Count] = {}
        # Number of groups from which to go on, by service: what this node
        # counted last, or heard since.
        self._heard: dict[str, int] = {}

    def count(self, service: str) -> int:
        """Returns the number of groups of a service's engines."""
        return self._refresh(service).groups

    def changed_s(self, service: str) -> float:
        """Returns the monotonic time at which the number last changed."""
        return self._refresh(service).changed_s

    def news(self) -> tuple[DividedService, ...]:
        """Returns what other nodes are to hear of: the divided services."""
        known = [
            name for name, count in self._counts.items() if count.groups > 1
        ]
        counts = [DividedService(name, self.count(name)) for name in known]
        return tuple(sorted(count for count in counts if count.groups > 1))

    def hear(self, news: Iterable[DividedService]) -> None:
        """Notes what another node has divided, for the next count."""
        for service, groups in news:
            if groups not in _DIVISIONS or groups <= self._heard.get(
                service, 1
            ):
                continue
            if len(self._heard) >= MAX_SERVICES:
                self._heard.clear()
            self._heard[service] = groups

    def _refresh(self, service: str) -> _Count:
        now_s = time.monotonic()
        known = self._counts.get(service)
        if known is not None and now_s < known.until_s:
            return known
        groups = self._divide(service)
        changed_s = float("-inf")
        if known is not None:
            changed_s = known.changed_s if known.groups == groups else now_s
        if groups != (1 if known is None else known.groups):
            _log.info("engine_groups", service=service, groups=groups)
        count = _Count(groups, changed_s, now_s + CACHE_S)
        if known is None and len(self._counts) >= MAX_SERVICES:
            self._counts.clear()
        self._counts[service] = count
        return count

    def _divide(self, service: str) -> int:
        engines = self._count_engines(service)
        most = count_groups(engines, MIN_ENGINES_TO_STAY)
        stays = min(self._heard.get(service, 1), most)
        groups = max(count_groups(engines), stays)
        if groups > 1:
            self._heard[service] = groups
        else:
            self._heard.pop(service, None)
        return groups


def _hash(text: str) -> int:
    return zlib.crc32(text.encode())
