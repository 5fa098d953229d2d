"""What teams and their callers hold of the engines' room, over the fleet.

Teams and failure domains are busy at different times, and generations hold
their room for as long as they run. So room is shared by what is held: any team
may use what others leave idle, and whoever holds least for its weight gets the
next room that becomes free. A team that was idle has its share as soon as
enough generations of others have ended; none is broken off for it. Within a
team the same holds between its callers, so that one that sends much doesn't
crowd out the others.
"""

from typing import NamedTuple, TypeVar

KeyT = TypeVar("KeyT")


class Holder(NamedTuple):
    """Who holds room, and how much it counts.

    Attributes:
        team: Team of the caller; empty if unknown.
        caller: Which of the team's callers; empty if unknown.
        cost: Tokens of the generation, divided by the team's weight.
    """

    team: str
    caller: str
    cost: float


class _CallerKey(NamedTuple):
    team: str
    caller: str


class _Held(NamedTuple):
    """What a team or a caller holds.

    Attributes:
        generations: Number of its generations that hold room.
        cost: Sum of their costs (`Holder.cost`).
    """

    generations: int = 0
    cost: float = 0.0


class HeldRoom:
    """Room that running generations hold, by team and by caller."""

    def __init__(self) -> None:
        """Starts with nothing held."""
        self._by_team: dict[str, _Held] = {}
        self._by_caller: dict[_CallerKey, _Held] = {}

    def add(self, holder: Holder) -> None:
        """Notes that a generation has got room."""
        _change(self._by_team, holder.team, 1, holder.cost)
        key = _CallerKey(holder.team, holder.caller)
        _change(self._by_caller, key, 1, holder.cost)

    def remove(self, holder: Holder) -> None:
        """Notes that a generation has given its room back."""
        _change(self._by_team, holder.team, -1, -holder.cost)
        key = _CallerKey(holder.team, holder.caller)
        _change(self._by_caller, key, -1, -holder.cost)

    def of_team(self, team: str) -> float:
        """Returns the cost of what a team holds."""
        return self._by_team.get(team, _Held()).cost

    def of_caller(self, team: str, caller: str) -> float:
        """Returns the cost of what a caller holds."""
        return self._by_caller.get(_CallerKey(team, caller), _Held()).cost


def _change(
    held: dict[KeyT, _Held], key: KeyT, generations: int, cost: float
) -> None:
    known = held.get(key, _Held())
    changed = _Held(known.generations + generations, known.cost + cost)
    if changed.generations > 0:
        held[key] = changed
    else:
        # Drops rounding errors of the sum together with the entry.
        held.pop(key, None)
