"""Which node plans the moves off a service's engines.

It is the keeper of the first group of them, which holds room for what it plans.
"""

from savorylift.rooms.engine_groups import EngineGroups, RoomId
from savorylift.rooms.keeper_choice import KeeperChoice


class PlannerChoice:
    """Chooses the planners of all services."""

    def __init__(self, choice: KeeperChoice, groups: EngineGroups) -> None:
        """Reads what it is given at each question.

        Args:
            choice: Which node keeps which room.
            groups: How services' engines are divided among keepers.
        """
        self._choice = choice
        self._groups = groups

    @property
    def own_ip(self) -> str:
        """This node's own address."""
        return self._choice.own_ip

    def find(self, service: str) -> str | None:
        """Returns the address of a service's planner; None if there is none."""
        groups = self._groups.count(service)
        return self._choice.find(RoomId(service, 0, groups).name)

    def is_planner(self, service: str) -> bool:
        """Whether this node plans the moves off a service's engines."""
        return self.find(service) == self.own_ip
