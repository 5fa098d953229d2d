"""What the peers slice needs of the other slices."""

from typing import Protocol

from savorylift.identity import NodeRef


class Surroundings(Protocol):
    """What the other slices tell this one, and are told by it.

    Calls come from the owner's thread and must return within a millisecond.
    """

    def rules_offset(self) -> int:
        """Returns the newest log offset in force on this node."""

    def load(self) -> tuple[int, ...]:
        """Returns a few integers to tell the other nodes."""

    def on_peer_offset(self, node: NodeRef, offset: int) -> None:
        """Is told that `node` has a newer offset than this node."""
