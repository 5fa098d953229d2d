"""Acquisition of lots for this node, and their release to others."""

from collections.abc import Iterable, Mapping

from savorylift.identity import NodeRef
from savorylift.peers.view import RosterSource, RosterView
from savorylift.permits.co_keepers import Sender
from savorylift.permits.handover import REFUSED_FLOOR, Acquired
from savorylift.permits.holder import Holder
from savorylift.permits.keeper import Keeper
from savorylift.permits.keeper_directory import KeeperDirectory
from savorylift.permits.lot_messages import LotQuery, LotReport, LotStatus
from savorylift.permits.lots import split
from savorylift.permits.messages import HeldPermit, Lot
from savorylift.permits.policies import HandoverRule
from savorylift.permits.share import OwnedLot
from savorylift.permits.tally import Tally


class LotExchange:
    """Asks other nodes for lots, answers them, and fills the keepers."""

    def __init__(
        self,
        roster: RosterSource,
        directory: KeeperDirectory,
        keepers: Mapping[str, Keeper],
        holder: Holder,
        handover: HandoverRule,
        sender: Sender,
        tally: Tally,
    ) -> None:
        """Takes the node's parts; `keepers` may change later."""
        self._roster = roster
        self._directory = directory
        self._keepers = keepers
        self._holder = holder
        self._handover = handover
        self._sender = sender
        self._tally = tally

    def query_members(self) -> None:
        """Asks members for the lots that this node has yet to acquire."""
        missing = self._handover.missing(self._roster.current())
        for target, lots in missing.items():
            query = LotQuery(target.epoch, tuple(lots))
            self._sender.send(target.member, query)

    def answer(self, sender: NodeRef, msg: LotQuery) -> None:
        """Answers a query, releasing owned lots to the asking node."""
        roster = self._roster.current()
        if roster.offset >= msg.epoch and not roster.is_member(sender):
            return
        statuses = tuple(
            self._lot_status(sender, msg.epoch, lot) for lot in msg.lots
        )
        self._sender.send(sender, LotReport(msg.epoch, statuses))

    def take_report(self, sender: NodeRef, msg: LotReport) -> None:
        """Starts to grant from the lots that a report completes."""
        roster = self._roster.current()
        self._finish(self._handover.report(sender, msg, roster))

    def recheck(self, roster: RosterView) -> None:
        """Starts to grant from the lots that a new roster completes."""
        self._finish(self._handover.recheck(roster))

    def _lot_status(
        self, successor: NodeRef, epoch: int, lot: Lot
    ) -> LotStatus:
        if self._handover.is_outdated(lot, epoch):
            return _refused(lot)
        told = self._handover.released(lot, epoch, successor)
        if told is not None:
            return told
        keeper = self._keepers.get(lot.backend_server)
        owned = keeper.share.lots.get(lot.number) if keeper else None
        if owned is not None and self._keeps_against(owned, successor, epoch):
            return _refused(lot)
        self._handover.raise_floor(lot, epoch)
        held = self._holder.fence(lot, epoch)
        if keeper is None or owned is None:
            return LotStatus(lot, epoch, was_owner=False, held=held)
        status = keeper.give_lot(lot, epoch)
        self._handover.release(status, successor)
        keeper.admission.announce()
        return status

    def _keeps_against(
        self, owned: OwnedLot, successor: NodeRef, epoch: int
    ) -> bool:
        if owned.epoch >= epoch:
            return True  # a late copy of this node's own query
        if self._roster.current().offset <= epoch:
            return False
        chosen = self._directory.keepers_of(owned.lot.backend_server)
        return successor not in chosen[owned.lot.number :][:1]

    def _finish(self, acquired: list[Acquired]) -> None:
        for item in acquired:
            keeper = self._keepers.get(item.lot.backend_server)
            if keeper is None:
                continue  # its rule is gone, and the lot with it
            way = "released" if item.release else "reported"
            self._tally.handovers.labels(way).inc()
            keeper.take_lot(_owned(item, keeper), item.release)


def _refused(lot: Lot) -> LotStatus:
    return LotStatus(lot, REFUSED_FLOOR, was_owner=False, held=())


def _owned(item: Acquired, keeper: Keeper) -> OwnedLot:
    if item.release is not None:
        owned = OwnedLot(item.lot, item.epoch, item.release.unaccounted)
        _put_newest(owned, item.release.held)
        return owned
    owned = OwnedLot(item.lot, item.epoch, 0)
    _put_newest(owned, (p for s in item.statuses for p in s.held))
    server, count = keeper.share.server, keeper.share.lot_count
    places = split(server.warm_limit, count, item.lot.number)
    owned.unaccounted = max(0, places - len(owned.held))
    return owned


def _put_newest(owned: OwnedLot, held: Iterable[HeldPermit]) -> None:
    for permit in sorted(held, key=lambda permit: permit.attempt):
        owned.put(permit)  # of two holders, the newest attempt counts
