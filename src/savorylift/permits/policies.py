"""Rules of safety that tests replace by weaker ones."""

from collections.abc import Callable, Iterable
from typing import NamedTuple, Protocol

from savorylift.identity import NodeRef
from savorylift.peers.view import RosterView
from savorylift.permits.handover import Acquired, Handover, QueryTarget
from savorylift.permits.lost_work import LostWork
from savorylift.permits.lot_messages import LotReport, LotStatus
from savorylift.permits.messages import HeldPermit, Lot


class HandoverRule(Protocol):
    """Decides when a node may own a lot; `Handover` is the one in use."""

    def is_acquiring(self, lot: Lot) -> bool:
        """Returns True while reports for the lot are awaited."""

    def begin(self, lot: Lot, epoch: int) -> None:
        """Starts to acquire a lot unless a newer epoch is known."""

    def abandon(self, lot: Lot) -> None:
        """Stops acquiring a lot that another node keeps now."""

    def is_outdated(self, lot: Lot, epoch: int) -> bool:
        """Returns True if a newer epoch of the lot is known."""

    def raise_floor(self, lot: Lot, epoch: int) -> None:
        """Stops older acquisitions of the lot on this node."""

    def released(
        self, lot: Lot, epoch: int, successor: NodeRef
    ) -> LotStatus | None:
        """Returns the status already given to this successor, if any."""

    def successors(self, server: str) -> set[NodeRef]:
        """Returns the nodes that lots of a backend server went to."""

    def release(self, status: LotStatus, successor: NodeRef) -> None:
        """Keeps a release so that a repeated query gets the same answer."""

    def missing(self, roster: RosterView) -> dict[QueryTarget, list[Lot]]:
        """Returns the lots to ask each member about, by member and epoch."""

    def report(
        self, sender: NodeRef, msg: LotReport, roster: RosterView
    ) -> list[Acquired]:
        """Notes a report; returns the lots that may now be owned."""

    def recheck(self, roster: RosterView) -> list[Acquired]:
        """Returns the lots that need no further report by a new roster."""


class LostWorkRule(Protocol):
    """Decides when a permit ends without its holder; see `LostWork`."""

    def abandon(self, permit_id: str) -> None:
        """Notes that the holder can't tell whether the work has ended."""

    def resume(self, permit_id: str) -> None:
        """Notes that a node supervises the work again."""

    def is_lost(self, permit_id: str) -> bool:
        """Returns True if no node supervises the work."""

    def has_ended(self, permit_id: str) -> bool:
        """Returns True if lost work under the permit is known to be over."""

    def end(self, permit_id: str) -> None:
        """Notes that the work is known to be over."""

    def settle(self, settled_s: float, incarnation: str) -> None:
        """Notes the backend server's incarnation at `settled_s` or later."""

    def settled_on(self, permit_id: str) -> str:
        """Returns the last incarnation that may run the work, or ""."""

    def review(
        self,
        held: Iterable[HeldPermit],
        roster: RosterView,
        is_over: Callable[[HeldPermit, float], bool],
    ) -> tuple[list[HeldPermit], list[HeldPermit]]:
        """Returns the permits whose work is over, and those to cancel."""


class Policies(NamedTuple):
    """Makers of the rules that a node follows.

    Attributes:
        handover: Takes the node.
        lost_work: Takes the seconds before lost work is cancelled.
    """

    handover: Callable[[NodeRef], HandoverRule] = Handover
    lost_work: Callable[[float], LostWorkRule] = LostWork


SAFE = Policies()
