"""Which team's waiting work goes next.

Answers teams that ask for far more than others while engines are full: each
gets room in proportion to its weight, counted in tokens, and a team that asked
for nothing saves nothing up (start-time fair queueing).
"""


class FairShare:
    """Virtual time of each team that waits for contended room."""

    def __init__(self) -> None:
        """Starts at zero for every team."""
        self._now = 0.0
        self._tags: dict[str, float] = {}

    def tag(self, team: str) -> float:
        """Returns when a team's next work is due; the least goes first."""
        return max(self._tags.get(team, 0.0), self._now)

    def charge(self, team: str, cost: float) -> None:
        """Counts work that got room.

        Args:
            team: Whose work it is.
            cost: Its tokens, divided by the team's weight.
        """
        start = self.tag(team)
        self._now = start
        self._tags[team] = start + cost
        past = [name for name, tag in self._tags.items() if tag <= self._now]
        for name in past:
            del self._tags[name]
