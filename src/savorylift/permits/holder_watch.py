"""A keeper's supervision of the holders of its permits."""

import time

from savorylift.identity import NodeRef
from savorylift.peers.view import RosterView
from savorylift.permits.co_keepers import Sender
from savorylift.permits.evidence import LoadReport
from savorylift.permits.messages import (
    Charge,
    HeldPermit,
    PermitMoved,
    PermitTakeOver,
)
from savorylift.permits.options import PermitOptions
from savorylift.permits.policies import Policies
from savorylift.permits.share import Share
from savorylift.permits.tally import Tally
from savorylift.permits.warmth import Warmth


class HolderWatch:
    """Finds permits that no holder supervises, and moves resumed ones."""

    def __init__(
        self,
        share: Share,
        warmth: Warmth,
        cfg: PermitOptions,
        sender: Sender,
        tally: Tally,
        policies: Policies,
    ) -> None:
        """Takes the keeper's parts."""
        self._share = share
        self._warmth = warmth
        self._cfg = cfg
        self._sender = sender
        self._tally = tally
        self._lost = policies.lost_work(cfg.cancel_after_s)
        self._report: LoadReport | None = None
        self._moved: dict[str, HeldPermit] = {}
        self._checked_s: dict[str, float] = {}

    def abandon(self, permit_id: str) -> None:
        """Notes that the holder can't tell whether the work has ended."""
        self._lost.abandon(permit_id)

    def has_ended(self, permit_id: str) -> bool:
        """Returns True if lost work under the permit is known to be over."""
        return self._lost.has_ended(permit_id)

    def cancelled(self, permit: HeldPermit) -> None:
        """Ends a lost permit whose work is known to be over."""
        if self._lost.is_lost(permit.permit_id):
            self._end(permit)

    def load(self, report: LoadReport, settled_s: float) -> None:
        """Notes a report on the state at `settled_s` or later."""
        self._report = report
        self._lost.settle(settled_s, report.incarnation)

    def review(self, roster: RosterView) -> list[HeldPermit]:
        """Ends work known to be over; returns the permits to cancel."""
        held = self._share.held()
        over, due = self._lost.review(held, roster, self._is_over)
        for permit in over:
            self._end(permit)
        return due

    def take_over(
        self, msg: PermitTakeOver, holder: NodeRef
    ) -> HeldPermit | None:
        """Moves a permit to the node that resumes its stream.

        Returns:
            The permit to confirm to that node; None if there is none.
        """
        permit = self._share.find(msg.permit_id)
        if permit is None or permit.stream_id != msg.stream_id:
            return None  # another keeper may know it
        if msg.attempt < permit.attempt:
            moved = PermitMoved(msg.permit_id, msg.attempt)
            self._sender.send(holder, moved)
            return None
        if msg.attempt > permit.attempt:
            self._moved[permit.permit_id] = permit
            self._tell_moved(permit)
            permit = permit._replace(holder=holder, attempt=msg.attempt)
            self._lost.resume(msg.permit_id)
            self._share.put(permit)
        return permit

    def due_queries(self) -> dict[NodeRef, tuple[Charge, ...]]:
        """Returns the permits to ask each holder about now."""
        now = time.monotonic()
        due: dict[NodeRef, tuple[Charge, ...]] = {}
        checked: dict[str, float] = {}
        for permit in self._share.held():
            checked_s = self._checked_s.get(permit.permit_id, now)
            if now - checked_s >= self._cfg.query_after_s:
                checked_s = now
                known = due.get(permit.holder, ())
                charge = Charge(permit.permit_id, permit.lot.number)
                due[permit.holder] = (*known, charge)
            checked[permit.permit_id] = checked_s
        self._checked_s = checked
        return due

    def repeat_moves(self) -> None:
        """Tells former holders again that their permits have moved."""
        held = {permit.permit_id: permit for permit in self._share.held()}
        self._moved = {k: v for k, v in self._moved.items() if k in held}
        for permit in self._moved.values():
            self._tell_moved(permit)

    def _tell_moved(self, old: HeldPermit) -> None:
        self._sender.send(old.holder, PermitMoved(old.permit_id, old.attempt))

    def _is_over(self, permit: HeldPermit, since_s: float) -> bool:
        if self._is_idle_since(since_s):
            return True
        return self._warmth.is_past(self._lost.settled_on(permit.permit_id))

    def _is_idle_since(self, since_s: float) -> bool:
        report = self._report
        if report is None or report.active > 0:
            return False
        return report.asked_s - self._cfg.load_lag_s >= since_s

    def _end(self, permit: HeldPermit) -> None:
        self._tally.ended.labels("lost").inc()
        self._lost.end(permit.permit_id)
        charge = Charge(permit.permit_id, permit.lot.number)
        self._share.remove_charge(charge, permit.holder)
