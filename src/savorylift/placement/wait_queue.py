"""Priority queue of generations that wait for room on an engine.

A generation that doesn't fit lets smaller ones overtake it for a limited time
only, so that large generations aren't starved. Where many nodes share the
engines, one whose turn would come too late is refused at once.
"""

import asyncio
import math
import random
import time
from collections.abc import Callable
from typing import NamedTuple

from savorylift.backends.registry import BackendServer
from savorylift.placement.return_schedule import ReturnSchedule
from savorylift.placement.turn_away import (
    NoRoomInTimeError,
    Room,
    find_hopeless,
)
from savorylift.placement.turn_order import Ticket, TurnOrder

# How long smaller generations may overtake one that doesn't fit. After that
# it blocks those behind it.
BYPASS_LIMIT_S = 0.5
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


class WaitQueue:
    """Queue of the generations that wait at this node for one service."""

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
        self._entries: dict[
            Ticket,
            tuple[
                asyncio.Future[BackendServer],
                Callable[[], BackendServer | None],
            ],
        ] = {}

    def __len__(self) -> int:
        """Returns the number of waiting generations."""
        return len(self._entries)

    async def wait(
        self,
        parameters: SchedulingParameters,
        latest_start_s: float,
        choose: Callable[[], BackendServer | None],
        leave_s: float = math.inf,
    ) -> BackendServer:
        """Waits until it is the generation's turn and an engine has room.

        Args:
            parameters: Scheduling parameters of the generation.
            latest_start_s: Monotonic time until which it can start and still
                meet its objective.
            choose: Returns an engine with room, or None. It must add the
                generation to the load of the engine that it returns.
            leave_s: Monotonic time after which it waits no longer.

        Returns:
            The engine that `choose` returned.

        Raises:
            NoRoomInTimeError: Its turn would come too late.
        """
        self._last_number += 1
        ticket = Ticket(
            *parameters,
            time.monotonic(),
            latest_start_s,
            leave_s,
            self._last_number,
        )
        fut: asyncio.Future[BackendServer] = (
            asyncio.get_running_loop().create_future()
        )
        self._entries[ticket] = (fut, choose)
        try:
            self.dispatch()
            return await fut
        finally:
            self._entries.pop(ticket, None)

    def dispatch(self) -> None:
        """Assigns engines to waiting generations while there is room."""
        now_s = time.monotonic()
        waiting = [t for t, (fut, _) in self._entries.items() if not fut.done()]
        is_fleet_large = self._is_fleet_large()
        ordered = self._order.sort(waiting, now_s, serves_oldest=is_fleet_large)
        for ticket in ordered:
            fut, choose = self._entries[ticket]
            server = choose()
            if server is not None:
                self._order.record_turn(ticket)
                fut.set_result(server)
            elif now_s - ticket.enqueued_s > BYPASS_LIMIT_S:
                break
        if is_fleet_large:
            self._turn_away(ordered, now_s)

    def _turn_away(self, ordered: list[Ticket], now_s: float) -> None:
        waiting = [t for t in ordered if not self._entries[t][0].done()]
        if not waiting:
            return
        room = self._get_room()
        for away in find_hopeless(waiting, room, now_s):
            fut, _ = self._entries[away.ticket]
            tokens_per_s = room.rate_for(away.ticket, now_s)
            return_in_s = self._returns.assign_s(away, tokens_per_s)
            fut.set_exception(NoRoomInTimeError(return_in_s))
