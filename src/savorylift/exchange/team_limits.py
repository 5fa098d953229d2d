"""Limits on the open requests of each team at this node."""

import contextlib
from collections.abc import Iterator

from savorylift.routing.configuration import Team


class TeamLimits:
    """Counts the open requests of teams that have a limit."""

    def __init__(self) -> None:
        """Creates counters without any open requests."""
        self._open: dict[str, int] = {}

    @contextlib.contextmanager
    def track_request(self, team: Team | None) -> Iterator[bool]:
        """Counts a request of a team until the context exits.

        Yields:
            Whether the request is within the team's limit; if not, it is not
            counted.
        """
        if team is None or team.max_open_requests is None:
            yield True
            return
        count = self._open.get(team.name, 0)
        if count >= team.max_open_requests:
            yield False
            return
        self._open[team.name] = count + 1
        try:
            yield True
        finally:
            self._release(team.name)

    def _release(self, team_name: str) -> None:
        self._open[team_name] -= 1
        if not self._open[team_name]:
            del self._open[team_name]
