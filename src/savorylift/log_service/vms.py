"""The platform's lagging list of VMs as the rest of the package sees it."""

from typing import NamedTuple, Protocol

from returns.result import Result


class VmEntry(NamedTuple):
    """One VM of the list.

    Attributes:
        vm: Name of the VM (an entry VM or a backend server's).
        incarnation: Changes whenever the VM is replaced or restarted.
        leaving: True once the platform has announced its end.
    """

    vm: str
    incarnation: str
    leaving: bool


class VmList(Protocol):
    """Reads the platform's list of VMs."""

    def read(self) -> Result[tuple[VmEntry, ...], str]:
        """Returns the list as the platform shows it now, or the cause."""
