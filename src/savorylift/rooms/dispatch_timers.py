"""When a keeper looks at the generations that wait for its engines."""

import asyncio
from collections.abc import Callable

from savorylift.rooms.engine_groups import RoomId

# Requests and ends that come within this time share a dispatch.
DISPATCH_DELAY_S = 0.01
# A dispatch that takes long is followed by a pause of this multiple of its
# time, so that a small VM also serves its own callers while many wait.
PAUSE_PER_DISPATCH = 9
MAX_DISPATCH_DELAY_S = 0.1


class DispatchTimers:
    """Calls for a dispatch soon after something has changed."""

    def __init__(self, dispatch: Callable[[RoomId], None]) -> None:
        """Starts without timers.

        Args:
            dispatch: Looks at what waits for a room.
        """
        self._dispatch = dispatch
        self._due: dict[RoomId, asyncio.TimerHandle] = {}
        # How long the latest dispatch took.
        self._took_s = 0.0

    def set(self, room_id: RoomId) -> None:
        """Sets the timer of a room, unless it is set."""
        if room_id in self._due:
            return
        pause_s = min(PAUSE_PER_DISPATCH * self._took_s, MAX_DISPATCH_DELAY_S)
        self._due[room_id] = asyncio.get_running_loop().call_later(
            max(pause_s, DISPATCH_DELAY_S), self._dispatch, room_id
        )

    def clear(self, room_id: RoomId) -> None:
        """Clears the timer of a room, at the beginning of a dispatch."""
        timer = self._due.pop(room_id, None)
        if timer is not None:
            timer.cancel()

    def record(self, took_s: float) -> None:
        """Records how long a dispatch took."""
        self._took_s = took_s
