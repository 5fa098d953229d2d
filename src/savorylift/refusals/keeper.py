"""Copies of other nodes' refusals, published when such a node has ended."""

import time
from typing import NamedTuple

from returns.result import Result, Success

from savorylift.identity import NodeRef, new_id
from savorylift.log_service.log import LogEntry, LogFault
from savorylift.peers.view import RosterView
from savorylift.refusals.account import BATCH_LINES, BATCH_ROWS
from savorylift.refusals.messages import Batch, batch_entry
from savorylift.refusals.pending import PendingRefusals, sequences_of
from savorylift.refusals.ranges import Range

MAX_ROWS_PER_NODE = 2_000
MISSING_S = 30.0
RETRY_S = 1.0


class _InFlight(NamedTuple):
    source: NodeRef
    sequences: tuple[Range, ...]


class Keeper:
    """Holds copies by the node that refused.

    Several peers may publish the same refusals, and the node itself may have:
    readers count each sequence number once.
    """

    def __init__(self) -> None:
        """Starts without copies."""
        self._held: dict[NodeRef, PendingRefusals] = {}
        self._missing_since_s: dict[NodeRef, float] = {}
        self._in_flight: _InFlight | None = None
        self._retry_s = 0.0

    def __len__(self) -> int:
        """Returns how many refusals are held for other nodes."""
        return sum(len(pending) for pending in self._held.values())

    def hold(self, batch: Batch) -> None:
        """Holds copies of another node's refusals."""
        pending = self._held.get(batch.source)
        if pending is None:
            pending = PendingRefusals(MAX_ROWS_PER_NODE)
            self._held[batch.source] = pending
        pending.add_rows(batch.rows)
        pending.add_lines(batch.lines)

    def drop(self, source: NodeRef, sequences: tuple[Range, ...]) -> None:
        """Drops copies that are on the log."""
        pending = self._held.get(source)
        if pending is None:
            return
        pending.remove(sequences)
        if not len(pending):
            del self._held[source]
            self._missing_since_s.pop(source, None)

    def take_batch(self, view: RosterView) -> LogEntry | None:
        """Returns refusals of an ended node to append; None for none.

        Every batch needs one call of `note_appended`.
        """
        if self._in_flight is not None or time.monotonic() < self._retry_s:
            return None
        for source, pending in self._held.items():
            if not self._has_ended(source, view):
                continue
            rows, lines = pending.peek(BATCH_ROWS, BATCH_LINES)
            self._in_flight = _InFlight(source, sequences_of(rows, lines))
            return batch_entry(new_id("refusals"), Batch(*source, rows, lines))
        return None

    def note_appended(self, result: Result[int, LogFault]) -> None:
        """Takes in how the append of the last batch ended."""
        in_flight, self._in_flight = self._in_flight, None
        if in_flight is None:
            return
        if isinstance(result, Success):
            self.drop(*in_flight)
        else:
            self._retry_s = time.monotonic() + RETRY_S

    def _has_ended(self, source: NodeRef, view: RosterView) -> bool:
        """Returns True if the roster says that `source` is no more.

        The roster forgets old incarnations, and may not list a new one yet:
        so one that it doesn't know has ended only after a while.
        """
        if source in view.ended:
            return True
        if view.is_member(source):
            self._missing_since_s.pop(source, None)
            return False
        now_s = time.monotonic()
        since_s = self._missing_since_s.setdefault(source, now_s)
        return now_s - since_s >= MISSING_S
