"""Refused requests that may come again, and keep their turn.

A caller that is refused and returns when it was told to would otherwise count
as new, however often it returns, and wait behind all that came meanwhile. A
returning request has a new ID, so it is recognized by a digest of what it asks
for. That is no proof: another caller of the team may ask for the same. So one
refusal keeps one turn, for one request that returns in time.
"""

import collections
import time
from typing import NamedTuple

from savorylift.placement.ticket import Ticket
from savorylift.rooms import metrics

MAX_REMEMBERED = 1000
# Callers round the time that they are told, and need a new connection.
EARLY_TOLERANCE_S = 0.05
RETURN_GRACE_S = 2.0


class FirstVisit(NamedTuple):
    """When a request that has returned came first.

    Attributes:
        number: Sequence number in the order of arrival.
        arrived_s: Monotonic time at which it began to wait.
        latest_start_s: Monotonic time until which it can start and still meet
            its objective.
    """

    number: int
    arrived_s: float
    latest_start_s: float


class _Refusal(NamedTuple):
    """A refusal that is remembered.

    Attributes:
        first: When the request came first.
        return_s: Monotonic time at which it was told to return.
    """

    first: FirstVisit
    return_s: float


class ReturningRequests:
    """Remembers the latest refusals, by what was asked for."""

    def __init__(self) -> None:
        """Starts without refusals."""
        self._refusals: collections.OrderedDict[str, _Refusal] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Returns the number of refusals that are remembered."""
        return len(self._refusals)

    def record(
        self, repeat_id: str, ticket: Ticket, return_in_s: float
    ) -> None:
        """Remembers a refusal, unless one alike is still to return.

        Args:
            repeat_id: What repeats of the request agree in; empty if unknown.
            ticket: The request, as it waited.
            return_in_s: Time after which its caller was told to return.
        """
        now_s = time.monotonic()
        known = self._refusals.get(repeat_id)
        is_awaited = known is not None and now_s <= _closes_s(known)
        if not repeat_id or is_awaited:
            return
        first = FirstVisit(
            ticket.number, ticket.enqueued_s, ticket.latest_start_s
        )
        self._refusals[repeat_id] = _Refusal(first, now_s + return_in_s)
        self._refusals.move_to_end(repeat_id)
        while len(self._refusals) > MAX_REMEMBERED:
            self._refusals.popitem(last=False)

    def claim(self, repeat_id: str) -> FirstVisit | None:
        """Returns the first visit of a request that returns in time.

        One that comes early leaves it to one that comes in time.
        """
        refusal = self._refusals.get(repeat_id)
        if refusal is None:
            return None
        now_s = time.monotonic()
        if now_s < refusal.return_s - EARLY_TOLERANCE_S:
            metrics.ROOM_RETURNS.labels("early").inc()
            return None
        del self._refusals[repeat_id]
        if now_s > _closes_s(refusal):
            metrics.ROOM_RETURNS.labels("late").inc()
            return None
        metrics.ROOM_RETURNS.labels("in_time").inc()
        return refusal.first


def _closes_s(refusal: _Refusal) -> float:
    return refusal.return_s + RETURN_GRACE_S
