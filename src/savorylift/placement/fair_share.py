"""Start-time fair queueing between teams.

While engines are full, a team that asks for far more than others must not
crowd them out. Each team gets tokens in proportion to its weight. A team that
was idle accumulates no credit.
"""


class FairShare:
    """Virtual time and finish tags of start-time fair queueing."""

    def __init__(self) -> None:
        """Starts at virtual time zero for every team."""
        self._virtual_time = 0.0
        self._finish_tags: dict[str, float] = {}

    def start_tag(self, team: str) -> float:
        """Returns the start tag of a team's next request; lowest goes first."""
        return max(self._finish_tags.get(team, 0.0), self._virtual_time)

    def charge(self, team: str, cost: float) -> None:
        """Charges a team for a request that got room.

        Args:
            team: Team that sent the request.
            cost: Tokens of the request, divided by the team's weight.
        """
        start_tag = self.start_tag(team)
        self._virtual_time = start_tag
        self._finish_tags[team] = start_tag + cost
        past = [
            name
            for name, tag in self._finish_tags.items()
            if tag <= self._virtual_time
        ]
        for name in past:
            del self._finish_tags[name]
