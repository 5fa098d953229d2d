"""Which nodes a node exchanges gossip with."""

import time
from collections.abc import Callable

from savorylift import rendezvous
from savorylift.identity import NodeRef
from savorylift.peers.view import RosterView

CHOSEN = 3  # a node is chosen by as many on average, so it talks to about 6
ASKER_KEPT_S = 5.0
SILENT_AFTER_S = 2.0
MAX_STAND_INS = 3


class Neighbours:
    """Chooses by rendezvous hashing over the roster.

    A node also asks those that ask it, so that a node which nobody chose is
    heard too. Silent choices stay, and the next in rank stand in for them.
    """

    def __init__(self, own: NodeRef) -> None:
        """Starts with no neighbours."""
        self._own = own
        self._roster: RosterView | None = None
        self._ranked: list[NodeRef] = []
        self._askers: dict[NodeRef, float] = {}

    def use_roster(self, roster: RosterView) -> None:
        """Goes by a new roster from now on."""
        if roster is self._roster:
            return
        self._roster = roster
        others = [vm for vm in roster.members if vm != self._own.vm]
        order = rendezvous.rank(f"gossip/{self._own.vm}", others)
        self._ranked = [roster.members[vm].info.ref for vm in order]

    def note_asker(self, node: NodeRef) -> None:
        """Remembers a node that asked this one."""
        self._askers[node] = time.monotonic()

    def current(self, heard_s: Callable[[NodeRef], float]) -> list[NodeRef]:
        """Returns whom to ask; `heard_s` tells when a node was heard."""
        since_s = time.monotonic() - SILENT_AFTER_S
        chosen = self._ranked[:CHOSEN]
        silent = [ref for ref in chosen if heard_s(ref) < since_s]
        spare = (r for r in self._ranked[CHOSEN:] if heard_s(r) >= since_s)
        count = min(len(silent), MAX_STAND_INS)
        stand_ins = [ref for ref, _ in zip(spare, range(count), strict=False)]
        return list(dict.fromkeys([*chosen, *stand_ins, *self._asking()]))

    def _asking(self) -> list[NodeRef]:
        since_s = time.monotonic() - ASKER_KEPT_S
        self._askers = {n: t for n, t in self._askers.items() if t >= since_s}
        return [
            node
            for node in self._askers
            if self._roster is not None and self._roster.is_member(node)
        ]
