"""When a snapshot is due, and which node writes it.

Ranks follow from rendezvous hashing over the roster, so that normally one
node writes a snapshot, and the next ones only if it hasn't.
"""

import time
from collections.abc import Sequence
from typing import NamedTuple

from savorylift.rendezvous import rank
from savorylift.rules.snapshot import SnapshotMark
from savorylift.rules.stream import RulesStream

DUE_FRACTION = 0.5  # of retention, for the node that ranks first
RANK_FRACTION = 0.05  # of retention, more for each further rank
LATEST_FRACTION = 0.9
DUE_RECORDS = 1000  # since the newest snapshot; bounds what a start replays
RANK_RECORDS = 100  # more for each further rank
LOST_RANK_DELAY_S = 2.0  # between ranks once no snapshot is usable


class SnapshotTurn(NamedTuple):
    """What decides whether this node writes a snapshot now.

    Attributes:
        mark: Newest snapshot; None if there is none.
        records: Records folded in since that snapshot.
        first_offset: Oldest offset the log keeps.
        oldest_ms: Time of the oldest record known; None if none is.
        now_ms: Wall-clock time.
        retention_s: How long the log keeps records.
        unusable_s: Seconds since `mark` was first seen to be unusable.
        vm: This node.
        members: VM names of the nodes on the roster.
    """

    mark: SnapshotMark | None
    records: int
    first_offset: int
    oldest_ms: int | None
    now_ms: int
    retention_s: float
    unusable_s: float
    vm: str
    members: Sequence[str]

    def is_due(self) -> bool:
        """Returns True if it's this node's turn to write a snapshot."""
        if self.is_lost():
            return self.unusable_s >= self._rank() * LOST_RANK_DELAY_S
        return self._is_long() or self._is_old()

    def is_lost(self) -> bool:
        """Returns True if the log has forgotten what a new reader needs."""
        if self.mark is None:
            return self.first_offset > 0
        return not self.mark.is_usable(self.first_offset)

    def _is_long(self) -> bool:
        if self.records < DUE_RECORDS:
            return False
        return self.records >= DUE_RECORDS + RANK_RECORDS * self._rank()

    def _is_old(self) -> bool:
        since_ms = self.mark.time_ms if self.mark else self.oldest_ms
        if since_ms is None:
            return False
        age_s = (self.now_ms - since_ms) / 1000
        if age_s < self.retention_s * DUE_FRACTION:
            return False
        fraction = DUE_FRACTION + RANK_FRACTION * self._rank()
        return age_s >= self.retention_s * min(fraction, LATEST_FRACTION)

    def _rank(self) -> int:
        key = f"snapshot {self.mark.offset if self.mark else -1}"
        order = rank(key, {*self.members, self.vm})
        return order.index(self.vm)


class SnapshotSchedule:
    """Follows one stream's snapshots on one node."""

    def __init__(self, vm: str, retention_s: float) -> None:
        """Takes this node's VM and how long the log keeps records."""
        self._vm = vm
        self._retention_s = retention_s
        self._unusable_since_s: float | None = None

    def is_due(self, stream: RulesStream, members: Sequence[str]) -> bool:
        """Returns True if this node writes a snapshot of `stream` now."""
        newest = stream.mark.offset if stream.mark else -1
        turn = SnapshotTurn(
            mark=stream.mark,
            records=stream.next_offset - 1 - newest,
            first_offset=stream.first_offset,
            oldest_ms=stream.oldest_ms,
            now_ms=int(time.time() * 1000),
            retention_s=self._retention_s,
            unusable_s=0.0,
            vm=self._vm,
            members=members,
        )
        if not turn.is_lost():
            self._unusable_since_s = None
            return turn.is_due()
        now_s = time.monotonic()
        if self._unusable_since_s is None:
            self._unusable_since_s = now_s
        unusable_s = now_s - self._unusable_since_s
        return turn._replace(unusable_s=unusable_s).is_due()
