"""Which refusals have been copied to which peers."""

import time
from collections.abc import Callable, Container
from dataclasses import dataclass, field

from savorylift.identity import NodeRef
from savorylift.refusals.messages import Batch, Row
from savorylift.refusals.ranges import Range, SequenceSet

COPIES = 2
SILENT_PEER_S = 3.0
COPY_ROWS = 200


@dataclass
class _Peer:
    """What one peer has been sent.

    Attributes:
        unsent: Rows to send.
        whole: True if all that is pending is to be sent first.
        is_out: True while an answer is awaited.
        sent_until: Sequence number after the newest row on its way.
        held_until: Sequence number after the newest row that it holds.
    """

    unsent: list[Row] = field(default_factory=list)
    whole: bool = True
    is_out: bool = False
    sent_until: int = 0
    held_until: int = 0


class CopyPlan:
    """Decides what to send to peers; one message to each at a time.

    Rows that come while a peer's answer is awaited go with the next message.
    """

    def __init__(self, me: NodeRef) -> None:
        """Starts without peers."""
        self._me = me
        self._next = 0
        self._peers: dict[NodeRef, _Peer] = {}
        self._silent_until_s: dict[NodeRef, float] = {}
        self._holders: set[NodeRef] = set()

    def holders(self, members: Container[NodeRef]) -> tuple[NodeRef, ...]:
        """Returns the members that may hold copies."""
        self._holders = {ref for ref in self._holders if ref in members}
        return tuple(self._holders)

    def discard(self, sequences: tuple[Range, ...]) -> None:
        """Leaves out rows that are on the log."""
        gone = SequenceSet(sequences)
        for peer in self._peers.values():
            peer.unsent = [r for r in peer.unsent if r.sequence not in gone]

    def set_ranked(self, ranked: tuple[NodeRef, ...]) -> None:
        """Takes the first peers that have not failed to answer recently."""
        now_s = time.monotonic()
        silent = self._silent_until_s
        talking = [ref for ref in ranked if silent.get(ref, 0.0) <= now_s]
        chosen = talking[:COPIES]
        self._peers = {ref: self._peers.get(ref) or _Peer() for ref in chosen}

    def add(self, row: Row) -> None:
        """Plans the copies of a new row."""
        self._next = row.sequence + 1
        for peer in self._peers.values():
            peer.unsent.append(row)

    def due(self, whole: Callable[[], Batch]) -> list[tuple[NodeRef, Batch]]:
        """Returns messages to send now; each needs one call of `note`."""
        messages: list[tuple[NodeRef, Batch]] = []
        for ref, peer in self._peers.items():
            if peer.is_out or not (peer.unsent or peer.whole):
                continue
            batch = self._take(peer, whole)
            if batch.rows or batch.lines:
                peer.is_out = True
                self._holders.add(ref)
                messages.append((ref, batch))
        return messages

    def note(self, ref: NodeRef, *, is_held: bool) -> None:
        """Applies a peer's answer, or its timeout."""
        if not is_held:
            self._silent_until_s[ref] = time.monotonic() + SILENT_PEER_S
            self._peers.pop(ref, None)
            return
        peer = self._peers.get(ref)
        if peer is not None:
            peer.is_out = False
            peer.held_until = peer.sent_until

    def is_copied(self, sequence: int) -> bool:
        """Returns True if every chosen peer holds the row."""
        return all(peer.held_until > sequence for peer in self._peers.values())

    def _take(self, peer: _Peer, whole: Callable[[], Batch]) -> Batch:
        if peer.whole:
            peer.whole = False
            peer.unsent.clear()
            peer.sent_until = self._next
            return whole()
        rows = tuple(peer.unsent[:COPY_ROWS])
        del peer.unsent[:COPY_ROWS]
        peer.sent_until = rows[-1].sequence + 1
        return Batch(*self._me, rows)
