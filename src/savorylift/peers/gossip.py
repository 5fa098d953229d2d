"""The table that gossip spreads: states of nodes and marked VMs."""

import math
import time
from collections.abc import Iterable
from typing import NamedTuple

from savorylift.identity import NodeRef
from savorylift.peers.marks import LeavingMarks, VmState
from savorylift.peers.messages import NodeState
from savorylift.peers.view import RosterView

LOAD_S = 2.0  # shortest time between two changes for load alone
LOAD_S_PER_NODE = 0.08  # spreads load reports thinner over large rosters


class Learned(NamedTuple):
    """A node's state and where it came from.

    Attributes:
        state: The state.
        change: Number of the change in this node's table.
        source: Node it was learned from.
    """

    state: NodeState
    change: int
    source: NodeRef


class GossipTable:
    """Newest known states, numbered so that peers are told changes only."""

    def __init__(self, own: NodeRef, marks: LeavingMarks) -> None:
        """Starts empty; `marks` is changed through this table only."""
        self._own = own
        self._marks = marks
        self._change = 0
        self._nodes: dict[int, Learned] = {}
        self._vms: dict[str, int] = {}
        self._roster = RosterView()
        self._joined: set[int] = set()
        self._own_state = NodeState(-1, 0, -1, ())
        self._load_at_s = -math.inf

    @property
    def change(self) -> int:
        """Returns the number of the newest change."""
        return self._change

    def use_roster(self, roster: RosterView) -> None:
        """Drops nodes that are no longer on the roster."""
        if roster is self._roster:
            return
        self._roster = roster
        self._joined = {m.joined_offset for m in roster.members.values()}
        for offset in self._nodes.keys() - self._joined:
            del self._nodes[offset]
        own = roster.members.get(self._own.vm)
        if own is not None and own.info.ref == self._own:
            state = self._own_state._replace(joined_offset=own.joined_offset)
            self._set_own(state)

    def set_own(self, rules_offset: int, load: tuple[int, ...]) -> None:
        """Notes what this node has to say, load not more often than due."""
        now_s = time.monotonic()
        due_s = max(LOAD_S, LOAD_S_PER_NODE * len(self._roster.members))
        state = self._own_state._replace(rules_offset=rules_offset)
        if now_s - self._load_at_s >= due_s:
            state = state._replace(load=load)
        if state == self._own_state:
            return
        self._load_at_s = now_s
        self._set_own(state._replace(load=load))

    def _set_own(self, state: NodeState) -> None:
        self._own_state = state._replace(counter=state.counter + 1)
        if state.joined_offset >= 0:
            self._store(self._own_state, self._own)

    def merge(self, states: Iterable[NodeState], source: NodeRef) -> None:
        """Takes in a peer's states where they are newer."""
        for state in states:
            known = self._nodes.get(state.joined_offset)
            is_own = state.joined_offset == self._own_state.joined_offset
            if state.joined_offset not in self._joined or is_own:
                continue
            if known is None or state.counter > known.state.counter:
                self._store(state, source)

    def _store(self, state: NodeState, source: NodeRef) -> None:
        self._change += 1
        learned = Learned(state, self._change, source)
        self._nodes[state.joined_offset] = learned

    def touch_vms(self, vms: Iterable[str]) -> None:
        """Notes that these VMs' marks changed."""
        for vm in vms:
            self._change += 1
            self._vms[vm] = self._change

    def nodes_since(self, change: int, asker: NodeRef) -> tuple[NodeState, ...]:
        """Returns states changed since, save those learned from `asker`."""
        return tuple(
            learned.state
            for learned in self._nodes.values()
            if learned.change > change and learned.source != asker
        )

    def vms_since(self, change: int) -> tuple[VmState, ...]:
        """Returns marked VMs changed since."""
        return tuple(
            self._marks.state(vm)
            for vm, changed in self._vms.items()
            if changed > change
        )

    def newest_offset(self) -> int:
        """Returns the highest rules offset that any node has."""
        offsets = (n.state.rules_offset for n in self._nodes.values())
        return max(offsets, default=-1)

    def states(self) -> dict[NodeRef, NodeState]:
        """Returns the known state of each member."""
        return {
            member.info.ref: self._nodes[member.joined_offset].state
            for member in self._roster.members.values()
            if member.joined_offset in self._nodes
        }
