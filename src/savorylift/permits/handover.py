"""Moves lots between nodes when the roster changes.

A lot has at most one owner. It comes to a new owner at a roster offset, the
epoch, in one of two ways: the old owner releases it with its table; or the
old owner is no longer on the roster, and every member has reported what it
holds of the lot and uses no older grants from then on.
"""

from typing import NamedTuple

from savorylift.identity import NodeRef
from savorylift.peers.view import RosterView
from savorylift.permits.lot_messages import LotReport, LotStatus
from savorylift.permits.messages import Lot

REFUSED_FLOOR = -1


class Acquisition:
    """A lot that this node keeps by the roster but does not own yet."""

    def __init__(self, epoch: int) -> None:
        """Starts without reports."""
        self.epoch = epoch
        self.reports: dict[NodeRef, LotStatus] = {}


class Acquired(NamedTuple):
    """A lot that this node may own from now on.

    Attributes:
        lot: The lot.
        epoch: Offset it was acquired at.
        release: The old owner's status; None if it is lost.
        statuses: Every member's status when the old owner is lost.
    """

    lot: Lot
    epoch: int
    release: LotStatus | None
    statuses: tuple[LotStatus, ...]


class QueryTarget(NamedTuple):
    """The node to ask about lots, and the epoch to ask for."""

    member: NodeRef
    epoch: int


class _Released(NamedTuple):
    successor: NodeRef
    epoch: int
    status: LotStatus


class Handover:
    """Acquisitions, floors and releases of one node."""

    def __init__(self, ref: NodeRef) -> None:
        """Starts with neither lots nor floors."""
        self._ref = ref
        self._floors: dict[Lot, int] = {}
        self._acquiring: dict[Lot, Acquisition] = {}
        self._released: dict[Lot, _Released] = {}

    def is_acquiring(self, lot: Lot) -> bool:
        """Returns True while reports for the lot are awaited."""
        return lot in self._acquiring

    def begin(self, lot: Lot, epoch: int) -> None:
        """Starts to acquire a lot unless a newer epoch is known."""
        if lot in self._acquiring or self._floors.get(lot, -1) > epoch:
            return
        self._floors[lot] = epoch
        self._acquiring[lot] = Acquisition(epoch)

    def abandon(self, lot: Lot) -> None:
        """Stops acquiring a lot that another node keeps now."""
        self._acquiring.pop(lot, None)

    def is_outdated(self, lot: Lot, epoch: int) -> bool:
        """Returns True if a newer epoch of the lot is known."""
        return self._floors.get(lot, -1) > epoch

    def raise_floor(self, lot: Lot, epoch: int) -> None:
        """Stops older acquisitions of the lot on this node."""
        self._floors[lot] = epoch
        acquisition = self._acquiring.get(lot)
        if acquisition is not None and acquisition.epoch < epoch:
            del self._acquiring[lot]

    def released(
        self, lot: Lot, epoch: int, successor: NodeRef
    ) -> LotStatus | None:
        """Returns the status already given to this successor, if any."""
        released = self._released.get(lot)
        if released is None:
            return None
        if (released.successor, released.epoch) != (successor, epoch):
            return None
        return released.status

    def successors(self, server: str) -> set[NodeRef]:
        """Returns the nodes that lots of a backend server were released to."""
        return {
            released.successor
            for lot, released in self._released.items()
            if lot.backend_server == server
        }

    def release(self, status: LotStatus, successor: NodeRef) -> None:
        """Keeps a release so that a repeated query gets the same answer."""
        released = _Released(successor, status.floor, status)
        self._released[status.lot] = released

    def missing(self, roster: RosterView) -> dict[QueryTarget, list[Lot]]:
        """Returns the lots to ask each member about, by member and epoch."""
        queries: dict[QueryTarget, list[Lot]] = {}
        for lot, acquisition in self._acquiring.items():
            for member in roster.members.values():
                ref = member.info.ref
                if ref not in acquisition.reports:
                    target = QueryTarget(ref, acquisition.epoch)
                    queries.setdefault(target, []).append(lot)
        return queries

    def report(
        self, sender: NodeRef, msg: LotReport, roster: RosterView
    ) -> list[Acquired]:
        """Notes a report; returns the lots that may now be owned."""
        acquired = []
        for status in msg.statuses:
            acquisition = self._acquiring.get(status.lot)
            if acquisition is None or acquisition.epoch != msg.epoch:
                continue
            if status.floor != msg.epoch:
                continue
            acquisition.reports[sender] = status
            result = self._finish(status, acquisition, roster)
            if result is not None:
                acquired.append(result)
        return acquired

    def recheck(self, roster: RosterView) -> list[Acquired]:
        """Returns the lots that need no further report by a new roster."""
        acquired = []
        for lot, acquisition in list(self._acquiring.items()):
            result = self._finish_lost(lot, acquisition, roster)
            if result is not None:
                acquired.append(result)
        return acquired

    def _finish(
        self, status: LotStatus, acquisition: Acquisition, roster: RosterView
    ) -> Acquired | None:
        if not status.was_owner:
            return self._finish_lost(status.lot, acquisition, roster)
        self._own(status.lot)
        return Acquired(status.lot, acquisition.epoch, status, ())

    def _finish_lost(
        self, lot: Lot, acquisition: Acquisition, roster: RosterView
    ) -> Acquired | None:
        members = {m.info.ref for m in roster.members.values()}
        if self._ref not in members or members - acquisition.reports.keys():
            return None
        self._own(lot)
        statuses = tuple(acquisition.reports.values())
        return Acquired(lot, acquisition.epoch, None, statuses)

    def _own(self, lot: Lot) -> None:
        del self._acquiring[lot]
        self._released.pop(lot, None)
