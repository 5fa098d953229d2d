"""What a node appends to the rules stream: held orders and snapshots."""

from savorylift.peers.view import RosterSource
from savorylift.rules.append_pacer import AppendPacer
from savorylift.rules.inbox import AppendEnded, AppendJob
from savorylift.rules.pending import PendingOrders
from savorylift.rules.snapshot_schedule import SnapshotSchedule
from savorylift.rules.stream import RulesStream

_SNAPSHOT = "snapshot"


class AppendPlan:
    """Starts the appends that are due on this node."""

    def __init__(
        self,
        stream: RulesStream,
        pending: PendingOrders,
        snapshots: SnapshotSchedule,
        pacer: AppendPacer,
        roster: RosterSource,
    ) -> None:
        """Takes the node's parts."""
        self._stream = stream
        self._pending = pending
        self._snapshots = snapshots
        self._pacer = pacer
        self._roster = roster

    def append_orders(self) -> None:
        """Appends the orders that are due."""
        due = self._pending.due(self._members())
        for record_id, entry in due.items():
            self._pacer.start(AppendJob(record_id, (entry,)))

    def append_snapshot(self, tail: int) -> bool:
        """Appends a snapshot if it is due; True if it was.

        Args:
            tail: Next offset of the log, by its newest answer.
        """
        is_at_tail = self._stream.next_offset == tail
        if self._stream.is_rebuilding or not is_at_tail:
            return False
        if self._pacer.is_quiet(_SNAPSHOT):
            return False
        if not self._snapshots.is_due(self._stream, self._members()):
            return False
        entries = self._stream.snapshot()
        self._pacer.start(AppendJob(_SNAPSHOT, entries))
        return True

    def ended(self, ended: AppendEnded) -> bool:
        """Notes the end of an append; False if it has failed."""
        return self._pacer.ended(ended)

    def _members(self) -> tuple[str, ...]:
        return tuple(self._roster.current().members)
