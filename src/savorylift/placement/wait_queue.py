"""Priority queue of generations that wait for room on an engine.

A generation that doesn't fit lets smaller ones overtake it for a limited time
only, so that large generations aren't starved. Where many nodes share the
engines, one whose turn would come too late is refused at once.
"""

import asyncio
import itertools
import math
import random
import time
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from savorylift.backends.registry import BackendServer
from savorylift.paced_call import PacedCall
from savorylift.placement.return_schedule import ReturnSchedule
from savorylift.placement.ticket import Ticket
from savorylift.placement.turn_away import (
    NoRoomInTimeError,
    Room,
    find_hopeless,
)
from savorylift.placement.turn_order import TurnOrder
from savorylift.placement.unmet_needs import Need, UnmetNeeds
from savorylift.placement.waiting_tickets import WaitingTickets

# How long smaller generations may overtake one that doesn't fit. After that
# it blocks those behind it.
BYPASS_LIMIT_S = 0.5
# Most generations that one look goes over, and most that are tried in vain. The
# others wait for the next change: by then the first mostly block those behind.
MAX_LOOKED_AT = 256
MAX_TRIED_IN_VAIN = 32
# Without a known rate nobody is turned away.
UNKNOWN_ROOM = Room(0, None)


class SchedulingParameters(NamedTuple):
    """Scheduling parameters of a generation.

    Attributes:
        priority: Priority; 0 goes first.
        team: Team of the caller; empty if unknown.
        cost: Expected tokens, divided by the team's weight.
        tokens: Tokens that it is expected to reach.
    """

    priority: int
    team: str
    cost: float
    tokens: int = 0


class _Entry(NamedTuple):
    """A generation that waits.

    Attributes:
        fut: Gets its engine.
        choose: Returns an engine with room, or None.
        find_need: Returns what it needs; None if that is its own.
    """

    fut: asyncio.Future[BackendServer]
    choose: Callable[[], BackendServer | None]
    find_need: Callable[[], Need | None]


def _need_of_its_own() -> None:
    return None


class WaitQueue:
    """Queue of the generations that wait at this node for one service.

    What waits costs nothing meanwhile: changes that come together are looked
    at once, and a look ends at the first generation that blocks the others.
    """

    def __init__(
        self,
        get_room: Callable[[], Room] = lambda: UNKNOWN_ROOM,
        is_fleet_large: Callable[[], bool] = lambda: True,
        rng: random.Random | None = None,
    ) -> None:
        """Creates an empty queue.

        Args:
            get_room: Returns the room of the service's engines.
            is_fleet_large: Whether many nodes share the engines, so that one
                keeper may have their room. In small fleets nobody is refused
                by a forecast, and late generations get no turns before others.
            rng: Spreads the times at which refused generations return.
        """
        self._get_room = get_room
        self._is_fleet_large = is_fleet_large
        self._returns = ReturnSchedule(rng or random.Random())
        self._last_number = 0
        self._order = TurnOrder()
        self._tickets = WaitingTickets()
        self._entries: dict[int, _Entry] = {}
        self._look = PacedCall(self._dispatch)

    def __len__(self) -> int:
        """Returns the number of waiting generations."""
        return len(self._entries)

    async def wait(
        self,
        parameters: SchedulingParameters,
        latest_start_s: float,
        choose: Callable[[], BackendServer | None],
        leave_s: float = math.inf,
        find_need: Callable[[], Need | None] = _need_of_its_own,
    ) -> BackendServer:
        """Waits until it is the generation's turn and an engine has room.

        Args:
            parameters: Scheduling parameters of the generation.
            latest_start_s: Monotonic time until which it can start and still
                meet its objective.
            choose: Returns an engine with room, or None. It must add the
                generation to the load of the engine that it returns.
            leave_s: Monotonic time after which it waits no longer.
            find_need: Returns what it needs of an engine, so that it isn't
                tried where one that needs no more has found none; None if
                nothing can be said from others.

        Returns:
            The engine that `choose` returned.

        Raises:
            NoRoomInTimeError: Its turn would come too late.
        """
        self._last_number += 1
        now_s = time.monotonic()
        ticket = Ticket(
            *parameters, now_s, latest_start_s, leave_s, self._last_number
        )
        fut: asyncio.Future[BackendServer] = (
            asyncio.get_running_loop().create_future()
        )
        self._entries[ticket.number] = _Entry(fut, choose, find_need)
        self._tickets.add(ticket, now_s)
        try:
            self.dispatch_soon()
            return await fut
        finally:
            self._entries.pop(ticket.number, None)
            self._tickets.discard(ticket)

    def dispatch_soon(self) -> None:
        """Assigns engines in the next turn of the loop, or after a pause."""
        self._look.request()

    def dispatch(self) -> None:
        """Assigns engines to waiting generations while there is room."""
        self._look.call()

    def _dispatch(self) -> None:
        now_s = time.monotonic()
        is_fleet_large = self._is_fleet_large()
        walk = self._order.walk(
            self._tickets, now_s, self._is_waiting, serves_oldest=is_fleet_large
        )
        if not is_fleet_large:
            self._place(walk, now_s)
            return
        ordered = list(walk)
        self._place(ordered, now_s)
        self._turn_away(ordered, now_s)

    def _is_waiting(self, ticket: Ticket) -> bool:
        return not self._entries[ticket.number].fut.done()

    def _place(self, ordered: Iterable[Ticket], now_s: float) -> None:
        """Assigns engines in the order of turns, until one blocks the others.

        Args:
            ordered: Waiting generations in the order of their turns.
            now_s: Monotonic time.
        """
        placed = []
        unmet = UnmetNeeds()
        tried_in_vain = looked_at = 0
        for ticket in itertools.islice(ordered, MAX_LOOKED_AT):
            looked_at += 1
            entry = self._entries[ticket.number]
            need = entry.find_need()
            if need is None or not unmet.covers(need):
                server = entry.choose()
                if server is not None:
                    entry.fut.set_result(server)
                    placed.append(ticket)
                    continue
                tried_in_vain += 1
                if need is not None:
                    unmet.add(need)
            if now_s - ticket.enqueued_s > BYPASS_LIMIT_S:
                break
            if tried_in_vain >= MAX_TRIED_IN_VAIN:
                break
        for ticket in placed:
            self._order.record_turn(ticket)
            self._tickets.discard(ticket)
        if placed and looked_at == MAX_LOOKED_AT:
            self.dispatch_soon()

    def _turn_away(self, ordered: Sequence[Ticket], now_s: float) -> None:
        waiting = [t for t in ordered if self._is_waiting(t)]
        if not waiting:
            return
        room = self._get_room()
        for away in find_hopeless(waiting, room, now_s):
            fut = self._entries[away.ticket.number].fut
            tokens_per_s = room.rate_for(away.ticket, now_s)
            return_in_s = self._returns.assign_s(away, tokens_per_s)
            fut.set_exception(NoRoomInTimeError(return_in_s))
