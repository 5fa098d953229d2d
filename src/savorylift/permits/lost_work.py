"""Permits for work that no node supervises."""

import time
from collections import deque
from collections.abc import Callable, Iterable

from savorylift.peers.view import RosterView
from savorylift.permits.messages import HeldPermit

MAX_ENDED = 4096


class LostWork:
    """Decides when the work of lost holders is cancelled.

    Work of a holder that is off the roster may still be resumed by another
    node for `cancel_after_s`. Work that its holder abandoned is cancelled at
    once. Time alone ends no permit.
    """

    def __init__(self, cancel_after_s: float) -> None:
        """Starts with no lost work."""
        self._cancel_after_s = cancel_after_s
        self._since_s: dict[str, float] = {}
        self._settled_on: dict[str, str] = {}
        self._abandoned: set[str] = set()
        self._ended: deque[str] = deque(maxlen=MAX_ENDED)

    def abandon(self, permit_id: str) -> None:
        """Notes that the holder can't tell whether the work has ended."""
        self._abandoned.add(permit_id)

    def resume(self, permit_id: str) -> None:
        """Notes that a node supervises the work again."""
        self._abandoned.discard(permit_id)
        self._since_s.pop(permit_id, None)
        self._settled_on.pop(permit_id, None)

    def is_lost(self, permit_id: str) -> bool:
        """Returns True if no node supervises the work."""
        return permit_id in self._since_s

    def has_ended(self, permit_id: str) -> bool:
        """Returns True if lost work under the permit is known to be over."""
        return permit_id in self._ended

    def end(self, permit_id: str) -> None:
        """Notes that the work is known to be over."""
        self._since_s.pop(permit_id, None)
        self._abandoned.discard(permit_id)
        self._ended.append(permit_id)

    def settle(self, settled_s: float, incarnation: str) -> None:
        """Notes the backend server's incarnation at `settled_s` or later.

        Work lost before then can run on no later incarnation.
        """
        for permit_id, since_s in self._since_s.items():
            if since_s <= settled_s:
                self._settled_on.setdefault(permit_id, incarnation)

    def settled_on(self, permit_id: str) -> str:
        """Returns the last incarnation that may run the work, or ""."""
        return self._settled_on.get(permit_id, "")

    def review(
        self,
        held: Iterable[HeldPermit],
        roster: RosterView,
        is_over: Callable[[HeldPermit, float], bool],
    ) -> tuple[list[HeldPermit], list[HeldPermit]]:
        """Returns the permits whose work is over, and those to cancel."""
        now = time.monotonic()
        over, due = [], []
        lost: dict[str, float] = {}
        for permit in held:
            is_abandoned = permit.permit_id in self._abandoned
            if roster.is_member(permit.holder) and not is_abandoned:
                continue
            since_s = self._since_s.get(permit.permit_id, now)
            lost[permit.permit_id] = since_s
            if is_over(permit, since_s):
                over.append(permit)
            elif is_abandoned or now >= since_s + self._cancel_after_s:
                due.append(permit)
        self._since_s = lost
        self._abandoned &= lost.keys()
        self._settled_on = {
            key: value for key, value in self._settled_on.items() if key in lost
        }
        return over, due
