"""Waits for a run's turn to be copied off an engine that is leaving."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Iterable

from savorylift.placement.move_order import PlannedMove, is_next

# Other nodes announce their moves within this share of the interval of their
# messages: both grow with the number of nodes.
ANNOUNCE = 0.15
# An engine is gone by then: waiting longer is of no use.
TURN_S = 2.0


class MoveQueue:
    """The moves of this node among those of all nodes."""

    def __init__(
        self,
        others: Callable[[], Iterable[PlannedMove]],
        announce: Callable[[], None],
        interval_s: Callable[[], float],
    ) -> None:
        """Takes what it needs of the fleet.

        Args:
            others: Returns the moves that other nodes plan.
            announce: Tells the other nodes of a change.
            interval_s: Interval of the nodes' messages.
        """
        self._others = others
        self._announce = announce
        self._interval_s = interval_s
        self._planned: dict[str, PlannedMove] = {}
        self._changed = asyncio.Event()

    @property
    def planned(self) -> tuple[PlannedMove, ...]:
        """This node's moves that have not ended."""
        return tuple(sorted(self._planned.values()))

    def on_change(self) -> None:
        """Lets moves that wait look again."""
        self._changed.set()

    def destinations(self) -> set[str]:
        """Returns the engines that runs are being copied to."""
        moves = [*self.planned, *self._others()]
        return {move.destination for move in moves if move.destination}

    def set_destination(self, attempt_id: str, server_id: str) -> None:
        """Notes where a run is being copied to."""
        move = self._planned.get(attempt_id)
        if move is not None:
            self._planned[attempt_id] = move._replace(destination=server_id)
            self._announce()

    @contextlib.asynccontextmanager
    async def turn(self, move: PlannedMove) -> AsyncIterator[None]:
        """Holds the turn of a move while the context is open."""
        self._planned[move.attempt_id] = move
        self._announce()
        try:
            await asyncio.sleep(ANNOUNCE * self._interval_s())
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(TURN_S):
                    await self._wait(move)
            yield
        finally:
            self._planned.pop(move.attempt_id, None)
            self._changed.set()
            self._announce()

    async def _wait(self, move: PlannedMove) -> None:
        while not is_next(move, [*self.planned, *self._others()]):
            self._changed.clear()
            await self._changed.wait()
