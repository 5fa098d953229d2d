"""Naive rules that the oracle must catch."""

import time
from collections.abc import Callable, Iterable

from savorylift.peers.view import RosterView
from savorylift.permits.handover import Acquired, Handover
from savorylift.permits.lost_work import LostWork
from savorylift.permits.lot_messages import LotStatus
from savorylift.permits.messages import HeldPermit
from savorylift.permits.policies import Policies

PERMIT_LIFE_S = 2.0


class EagerHandover(Handover):
    """Owns a lot as soon as the roster names this node."""

    def recheck(self, roster: RosterView) -> list[Acquired]:
        acquired = []
        for lot, acquisition in list(self._acquiring.items()):
            self._own(lot)
            free = LotStatus(lot, acquisition.epoch, was_owner=True, held=())
            acquired.append(Acquired(lot, acquisition.epoch, free, ()))
        return acquired


class TimedPermits(LostWork):
    """Ends every permit by the clock."""

    def __init__(self, cancel_after_s: float) -> None:
        super().__init__(cancel_after_s)
        self._granted_s: dict[str, float] = {}

    def review(
        self,
        held: Iterable[HeldPermit],
        roster: RosterView,
        is_over: Callable[[HeldPermit, float], bool],
    ) -> tuple[list[HeldPermit], list[HeldPermit]]:
        now = time.monotonic()
        over = []
        for permit in held:
            granted_s = self._granted_s.setdefault(permit.permit_id, now)
            if now - granted_s >= PERMIT_LIFE_S:
                over.append(permit)
        return over, []


STATIC_SPLIT = Policies(handover=EagerHandover)
TIME_BASED = Policies(lost_work=TimedPermits)
