"""What roll-outs need of the rest of a node."""

from collections.abc import Iterable
from typing import NamedTuple, Protocol

from savorylift.backends.server import ServerEntry
from savorylift.fleet.rollout_messages import RolloutMessage
from savorylift.rollouts.order import RolloutOrder
from savorylift.rollouts.order_clock import BootTime


class FleetView(NamedTuple):
    """What a node sees of the fleet.

    Attributes:
        decider_ip: Address of the node that decides.
        is_decider: Whether this node is that one.
        hears_enough: Whether this node hears enough of the fleet to decide.
        other_builds: Share of the nodes that know nothing of roll-outs.
    """

    decider_ip: str
    is_decider: bool
    hears_enough: bool
    other_builds: float


class RolloutSite(Protocol):
    """The rest of a node."""

    def read_orders(self) -> list[RolloutOrder] | None:
        """Returns the orders that stand; None if they haven't changed."""
        ...

    def is_known(self) -> bool:
        """Whether this node knows the operators' records at all."""
        ...

    def find_servers(self, service: str) -> Iterable[ServerEntry]:
        """Returns the servers of a service that are in service."""
        ...

    def has_engines(self, service: str) -> bool:
        """Whether a service has engines."""
        ...

    def view_fleet(self, service: str) -> FleetView:
        """Returns what this node sees of the fleet."""
        ...

    def read_boot_clock(self) -> BootTime | None:
        """Returns the time of this node's VM; None if its boot is unknown."""
        ...

    def send(self, message: RolloutMessage, ip: str | None) -> None:
        """Sends a message to a node; to all live ones without an address."""
        ...
