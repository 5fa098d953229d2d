"""A node's own refusals until they are on the log."""

import time

from returns.result import Result, Success

from savorylift.identity import NodeRef, new_id
from savorylift.log_service.log import LogEntry, LogFault
from savorylift.refusals.book import RefusedRequest
from savorylift.refusals.messages import Batch, Row, batch_entry
from savorylift.refusals.pending import PendingRefusals, sequences_of
from savorylift.refusals.ranges import Range, SequenceSet

MAX_ROWS = 5_000
MAX_PENDING = 2_000_000
BATCH_ROWS = 500
BATCH_LINES = 500
MIN_INTERVAL_S = 1.0
APPENDS_PER_S = 20.0  # of all nodes together


class Account:
    """Numbers refusals and groups them into batches.

    A batch whose append failed is built anew: readers count each sequence
    number of an incarnation once, however often it is appended.
    """

    def __init__(self, me: NodeRef) -> None:
        """Starts with sequence number 0; `me` must be a new incarnation."""
        self._me = me
        self._next_sequence = 0
        self._pending = PendingRefusals(MAX_ROWS)
        self._in_flight: tuple[Range, ...] = ()
        self._batch_s = -MIN_INTERVAL_S

    def __len__(self) -> int:
        """Returns how many refusals are not known to be on the log."""
        return len(self._pending)

    def write(self, refused: RefusedRequest) -> Row | None:
        """Numbers a refusal; None if there is no room for it."""
        if len(self._pending) >= MAX_PENDING:
            return None
        refusal = refused.refusal
        row = Row(
            self._next_sequence,
            refused.request_id,
            refused.team,
            refused.time_ms,
            refusal.ending,
            refusal.reason,
            refusal.message,
            refusal.rule,
            refusal.asked_by,
            refused.rules_offset,
            refused.backend_server,
        )
        self._next_sequence += 1
        self._pending.add_rows((row,))
        return row

    def whole(self) -> Batch:
        """Returns all that is not known to be on the log, for a new peer."""
        rows, lines = self._pending.peek(MAX_ROWS, MAX_PENDING)
        return Batch(*self._me, rows, lines)

    def take_batch(
        self, nodes: int, *, is_urgent: bool = False
    ) -> LogEntry | None:
        """Returns the next batch to append, or None if none is due.

        Every batch needs one call of `note_appended`.

        Args:
            nodes: Nodes on the roster; they share the append rate.
            is_urgent: True to skip the wait between batches.
        """
        if self._in_flight or not len(self._pending):
            return None
        now_s = time.monotonic()
        interval_s = max(MIN_INTERVAL_S, nodes / APPENDS_PER_S)
        if not is_urgent and now_s - self._batch_s < interval_s:
            return None
        self._batch_s = now_s
        rows, lines = self._pending.peek(BATCH_ROWS, BATCH_LINES)
        self._in_flight = sequences_of(rows, lines)
        return batch_entry(new_id("refusals"), Batch(*self._me, rows, lines))

    def note_appended(self, result: Result[int, LogFault]) -> tuple[Range, ...]:
        """Takes in how an append ended.

        Returns:
            The sequence numbers on the log: those of the batch, and all that
            come before the oldest one pending. Empty after a fault.
        """
        sequences, self._in_flight = self._in_flight, ()
        if not isinstance(result, Success):
            return ()
        self._pending.remove(sequences)
        floor = self._pending.first_sequence(self._next_sequence)
        return SequenceSet(((0, floor), *sequences)).ranges()
