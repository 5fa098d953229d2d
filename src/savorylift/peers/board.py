"""What the peers slice publishes to other threads."""

import time
from collections.abc import Mapping
from typing import NamedTuple

from savorylift.identity import NodeRef
from savorylift.peers.marks import MarksView
from savorylift.peers.messages import NodeState
from savorylift.peers.view import RosterView


class PeersView(NamedTuple):
    """One moment's knowledge of the other nodes; never changed in place.

    Attributes:
        own: This node.
        roster: The roster.
        heard_s: Monotonic time at which each member was last heard.
        states: What each member last said about itself.
        marks: Leaving VMs.
        newest_offset: Highest rules offset that any node is known to have.
    """

    own: NodeRef
    roster: RosterView = RosterView()
    heard_s: Mapping[NodeRef, float] = {}
    states: Mapping[NodeRef, NodeState] = {}
    marks: MarksView = MarksView()
    newest_offset: int = -1

    def heard(self, within_s: float) -> frozenset[str]:
        """Returns VMs of members heard lately, this node's among them.

        A node that is missing may be slow or cut off: it is a hint only.
        """
        since_s = time.monotonic() - within_s
        heard = {ref.vm for ref, t in self.heard_s.items() if t >= since_s}
        own = {self.own.vm} if self.roster.is_member(self.own) else set()
        return frozenset(heard | own)

    def confirmed(self, offset: int) -> tuple[list[str], list[str]]:
        """Returns VMs on which `offset` is in force, and the others."""
        reached: list[str] = []
        missing: list[str] = []
        for vm, member in sorted(self.roster.members.items()):
            state = self.states.get(member.info.ref)
            is_reached = state is not None and state.rules_offset >= offset
            (reached if is_reached else missing).append(vm)
        return reached, missing


class PeersBoard:
    """Holds the newest view; one writer, any number of readers."""

    def __init__(self, own: NodeRef) -> None:
        """Starts with nothing known."""
        self._view = PeersView(own)

    def current(self) -> PeersView:
        """Returns the newest view."""
        return self._view

    def replace(self, view: PeersView) -> None:
        """Publishes `view`."""
        self._view = view
