"""Waits for a run's turn to be copied off an engine that is leaving."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Iterable

from savorylift.placement.move_order import PlannedMove, is_next

# Other nodes announce their moves within this time of the same notice.
ANNOUNCE_S = 0.03
# An engine is gone by then: waiting longer is of no use.
TURN_S = 2.0


class MoveQueue:
    """The moves of this node among those of all nodes."""

    def __init__(
        self,
        others: Callable[[], Iterable[PlannedMove]],
        announce: Callable[[], None],
    ) -> None:
        """Takes what it needs of the fleet.

        Args:
            others: Returns the moves that other nodes plan.
            announce: Tells the other nodes of a change.
        """
        self._others = others
        self._announce = announce
        self._planned: set[PlannedMove] = set()
        self._changed = asyncio.Event()

    @property
    def planned(self) -> tuple[PlannedMove, ...]:
        """This node's moves that have not ended."""
        return tuple(sorted(self._planned))

    def on_change(self) -> None:
        """Lets moves that wait look again."""
        self._changed.set()

    @contextlib.asynccontextmanager
    async def turn(self, move: PlannedMove) -> AsyncIterator[None]:
        """Holds the turn of a move while the context is open."""
        self._planned.add(move)
        self._announce()
        try:
            await asyncio.sleep(ANNOUNCE_S)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(TURN_S):
                    await self._wait(move)
            yield
        finally:
            self._planned.discard(move)
            self._changed.set()
            self._announce()

    async def _wait(self, move: PlannedMove) -> None:
        while not is_next(move, [*self._planned, *self._others()]):
            self._changed.clear()
            await self._changed.wait()
