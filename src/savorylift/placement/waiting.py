"""Generations that wait for room on an engine, in the order they go.

Answers a load above what the engines' memory holds: those that can still be
on time go before those that are late anyway, the most urgent first, then
teams by their weights, then the one that has waited longest. A generation
that does not fit lets smaller ones pass for a while only, so that large ones
are served too.
"""

import asyncio
import time
from collections.abc import Callable
from typing import NamedTuple

from savorylift.backends.registry import Known
from savorylift.placement.fair_share import FairShare

PASSED_BY_S = 0.5


class Claim(NamedTuple):
    """Whose generation it is, and what it takes.

    Attributes:
        priority: Rank, 0 first.
        team: Whose it is; empty if unknown.
        cost: Its tokens, divided by the team's weight.
    """

    priority: int
    team: str
    cost: float


class Place(NamedTuple):
    """Where a waiting generation stands.

    Attributes:
        priority: Rank, 0 first.
        team: Whose it is; empty if unknown.
        cost: Its tokens, divided by the team's weight.
        since_s: Steady time at which it began to wait.
        in_time_s: Steady time until which it can still be on time.
        number: Order of arrival.
    """

    priority: int
    team: str
    cost: float
    since_s: float
    in_time_s: float
    number: int

    def order(
        self, now_s: float, share: FairShare
    ) -> tuple[bool, int, float, int]:
        """Returns the sort key: smaller goes first."""
        is_late = now_s > self.in_time_s
        return is_late, self.priority, share.tag(self.team), self.number


class Waiting:
    """The generations that wait at this node for one service."""

    def __init__(self) -> None:
        """Starts empty."""
        self._number = 0
        self._share = FairShare()
        self._entries: dict[
            Place, tuple[asyncio.Future[Known], Callable[[], Known | None]]
        ] = {}

    def __len__(self) -> int:
        """Returns how many wait."""
        return len(self._entries)

    async def wait(
        self,
        claim: Claim,
        in_time_s: float,
        choose: Callable[[], Known | None],
    ) -> Known:
        """Returns an engine as soon as `choose` finds one in its turn.

        `choose` must count the generation on the engine that it returns.
        """
        self._number += 1
        place = Place(*claim, time.monotonic(), in_time_s, self._number)
        fut: asyncio.Future[Known] = asyncio.get_running_loop().create_future()
        self._entries[place] = (fut, choose)
        try:
            self.offer()
            return await fut
        finally:
            self._entries.pop(place, None)

    def offer(self) -> None:
        """Lets those who wait choose, now that there may be room."""
        now_s = time.monotonic()
        left = [p for p, (fut, _) in self._entries.items() if not fut.done()]
        while left:
            place = min(left, key=lambda p: p.order(now_s, self._share))
            left.remove(place)
            fut, choose = self._entries[place]
            found = choose()
            if found is not None:
                self._share.charge(place.team, place.cost)
                fut.set_result(found)
            elif now_s - place.since_s > PASSED_BY_S:
                return
