"""Open requests of each team at this node."""

import contextlib
from collections.abc import Iterator

from savorylift.routing.configuration import Team


class TeamLimits:
    """Counts open requests of teams that have a limit."""

    def __init__(self) -> None:
        """Starts without requests."""
        self._open: dict[str, int] = {}

    @contextlib.contextmanager
    def open(self, team: Team | None) -> Iterator[bool]:
        """Counts a request while the context is open.

        Yields:
            Whether the request is within the team's limit.
        """
        if team is None or team.most_open is None:
            yield True
            return
        count = self._open.get(team.name, 0)
        if count >= team.most_open:
            yield False
            return
        self._open[team.name] = count + 1
        try:
            yield True
        finally:
            self._leave(team.name)

    def _leave(self, name: str) -> None:
        self._open[name] -= 1
        if not self._open[name]:
            del self._open[name]
