"""Interfaces from which the peer transport gets states and addresses."""

from typing import Protocol

from savorylift.fleet.state import NodeState


class StateBuilder(Protocol):
    """Builds this node's next state message."""

    def __call__(self, *, include_peers: bool) -> NodeState:
        """Builds the message; with `include_peers`, it names the live nodes."""
        ...


class PeerAddresses(Protocol):
    """Returns the addresses of the other nodes."""

    def __call__(self, *, include_silent: bool) -> tuple[str, ...]:
        """Returns those of live nodes; with `include_silent`, all known."""
        ...
