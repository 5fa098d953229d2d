"""The other keepers of a backend server, as last heard from."""

from typing import Protocol

from savorylift.identity import NodeRef
from savorylift.peers.link import Message
from savorylift.permits.messages import ServerState


class Sender(Protocol):
    """Sends one-way messages to nodes, this one included."""

    def send(self, node: NodeRef, msg: Message) -> None:
        """Sends `msg`; it may be lost, delayed or duplicated."""


class CoKeepers:
    """States of the other keepers, and messages to all of them."""

    def __init__(self, sender: Sender) -> None:
        """Starts with no other keeper."""
        self._sender = sender
        self._states: dict[NodeRef, ServerState | None] = {}

    def replace(self, refs: set[NodeRef]) -> None:
        """Follows the roster's choice of keepers."""
        self._states = {ref: self._states.get(ref) for ref in refs}

    def note(self, ref: NodeRef, state: ServerState) -> bool:
        """Notes a state; returns False if the sender is no other keeper."""
        if ref not in self._states:
            return False
        self._states[ref] = state
        return True

    def tell(self, msg: Message) -> None:
        """Sends a message to each of them."""
        for ref in self._states:
            self._sender.send(ref, msg)

    def take_place(self) -> NodeRef | None:
        """Returns a keeper with a free place, and counts that place used."""
        for ref, state in self._states.items():
            if state is not None and state.free_slots > 0:
                left = state.free_slots - 1
                self._states[ref] = state._replace(free_slots=left)
                return ref
        return None

    @property
    def overflow(self) -> int:
        """Places that they use past their shares."""
        return sum(s.overflow for s in self._states.values() if s)

    @property
    def rate(self) -> float:
        """Permits returned to them a second."""
        return sum(state.rate for state in self._states.values() if state)

    @property
    def waiting(self) -> int:
        """Requests in their queues."""
        return sum(state.waiting for state in self._states.values() if state)
