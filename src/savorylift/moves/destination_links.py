"""The engines that runs may go to, and what is left of them in a plan."""

from collections.abc import Mapping
from typing import NamedTuple

from savorylift.moves.move_inputs import Destination, MovingRun


class _Wish(NamedTuple):
    """What a run says of where it may go.

    Attributes:
        excluded: IDs of the engines that it can't go to.
        software_version: Version of the engines that it may go to; None for
            any.
        regions: Regions that it may go to; None for any.
    """

    excluded: frozenset[str]
    software_version: str | None
    regions: frozenset[str] | None


class DestinationLink:
    """A destination, as the copies that are planned leave it.

    Attributes:
        server_id: Its ID.
        free_tokens: Tokens for which it still has room.
        free_places: Runs for which it still has room.
        busy_s: Time until the last of the copies to it ends.
    """

    __slots__ = ("busy_s", "free_places", "free_tokens", "server_id")

    def __init__(self, server_id: str, destination: Destination) -> None:
        """Creates a link that carries the copies that have begun only."""
        self.server_id = server_id
        self.free_tokens = destination.free_tokens
        self.free_places = destination.free_places
        self.busy_s = destination.busy_s

    def has_room(self, run: MovingRun) -> bool:
        """Whether it has room for a run, if that may go there."""
        return self.free_places > 0 and run.expected_tokens <= self.free_tokens


class LinkGroup(NamedTuple):
    """Destinations to which a copy takes equally long.

    Attributes:
        sample: One of them.
        links: All of them.
    """

    sample: Destination
    links: list[DestinationLink]


class DestinationLinks:
    """Finds the engines that a run may go to."""

    def __init__(self, destinations: Mapping[str, Destination]) -> None:
        """Starts without planned copies.

        Args:
            destinations: Engines that runs may go to, by ID.
        """
        self._destinations = destinations
        self._links = {
            server_id: DestinationLink(server_id, destination)
            for server_id, destination in destinations.items()
        }
        # By what runs say of where they may go: most say the same.
        self._groups: dict[_Wish, list[LinkGroup]] = {}

    def find_groups(self, run: MovingRun) -> list[LinkGroup]:
        """Returns the engines that a run may go to, with room or without."""
        wish = _Wish(run.excluded, run.software_version, run.regions)
        if wish not in self._groups:
            self._groups[wish] = self._group_links(wish)
        return self._groups[wish]

    def _group_links(self, wish: _Wish) -> list[LinkGroup]:
        groups: dict[tuple[str, float], LinkGroup] = {}
        for server_id, destination in self._destinations.items():
            if not _is_allowed(wish, server_id, destination):
                continue
            traits = destination.failure_domain, destination.link_tokens_per_s
            group = groups.setdefault(traits, LinkGroup(destination, []))
            group.links.append(self._links[server_id])
        return list(groups.values())


def _is_allowed(wish: _Wish, server_id: str, destination: Destination) -> bool:
    return (
        server_id not in wish.excluded
        and wish.software_version in (None, destination.software_version)
        and (wish.regions is None or destination.region in wish.regions)
    )
