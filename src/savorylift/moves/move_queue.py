"""Coordinates the order in which all nodes copy runs off a draining engine."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Iterable, Iterator

from savorylift.moves.move_order import PlannedMove, is_next

# Wait for the moves that other nodes announce, as a share of the interval
# between the nodes' messages: both grow with the number of nodes.
ANNOUNCE_WAIT_SHARE = 0.15
# The engine has stopped by then, so waiting longer is of no use.
TURN_TIMEOUT_S = 2.0


class MoveQueue:
    """Runs this node's moves in an order that all nodes share."""

    def __init__(
        self,
        get_other_moves: Callable[[], Iterable[PlannedMove]],
        announce: Callable[[], None],
        get_message_interval_s: Callable[[], float],
    ) -> None:
        """Creates a queue without any moves.

        Args:
            get_other_moves: Returns the moves that other nodes have planned.
            announce: Tells the other nodes about a change.
            get_message_interval_s: Returns the interval between the nodes'
                messages.
        """
        self._get_other_moves = get_other_moves
        self._announce = announce
        self._get_message_interval_s = get_message_interval_s
        self._planned: dict[str, PlannedMove] = {}
        self._change_event = asyncio.Event()

    @property
    def planned(self) -> tuple[PlannedMove, ...]:
        """This node's moves that are queued or in progress."""
        return tuple(sorted(self._planned.values()))

    def on_change(self) -> None:
        """Wakes waiting moves to check whether it is their turn."""
        self._change_event.set()

    def destinations(self) -> set[str]:
        """Returns the IDs of the engines that runs are being copied to."""
        moves = [*self.planned, *self._get_other_moves()]
        return {move.destination for move in moves if move.destination}

    def set_destination(self, attempt_id: str, server_id: str) -> None:
        """Records and announces the engine that a run is being copied to."""
        move = self._planned.get(attempt_id)
        if move is not None:
            self._planned[attempt_id] = move._replace(destination=server_id)
            self._announce()

    @contextlib.asynccontextmanager
    async def turn(self, move: PlannedMove) -> AsyncIterator[None]:
        """Waits for a move's turn and holds it until the context exits."""
        self._planned[move.attempt_id] = move
        self._announce()
        try:
            await asyncio.sleep(
                ANNOUNCE_WAIT_SHARE * self._get_message_interval_s()
            )
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(TURN_TIMEOUT_S):
                    await self._wait_for_turn(move)
            yield
        finally:
            self._planned.pop(move.attempt_id, None)
            self._change_event.set()
            self._announce()

    @contextlib.contextmanager
    def planned_turn(self, move: PlannedMove) -> Iterator[None]:
        """Holds the turn that a planner gave, until the context exits."""
        self._planned[move.attempt_id] = move
        try:
            yield
        finally:
            self._planned.pop(move.attempt_id, None)
            self._change_event.set()
            self._announce()

    async def _wait_for_turn(self, move: PlannedMove) -> None:
        while not is_next(move, [*self.planned, *self._get_other_moves()]):
            self._change_event.clear()
            await self._change_event.wait()
