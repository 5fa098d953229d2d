"""Calls a function once for all that asks for it in a turn of the event loop.

What is looked at after a change is looked at once, however many changes come
together, and a look that takes long leaves most of the loop to others.
"""

import asyncio
import time
from collections.abc import Callable

# A call that takes long is followed by a pause of this multiple of its time.
PAUSE_PER_CALL = 9
MAX_PAUSE_S = 0.1
# Calls that take less than this need no pause.
SHORT_CALL_S = 0.001


class PacedCall:
    """Calls a function soon after it was asked for."""

    def __init__(self, function: Callable[[], None]) -> None:
        """Calls nothing until it is asked to.

        Args:
            function: What to call.
        """
        self._function = function
        self._due: asyncio.Handle | None = None
        # Time of the loop's clock until which it isn't called.
        self._paused_until_s = 0.0

    def request(self) -> None:
        """Asks for a call in the next turn of the loop, or after a pause."""
        if self._due is not None:
            return
        loop = asyncio.get_running_loop()
        if loop.time() < self._paused_until_s:
            self._due = loop.call_at(self._paused_until_s, self.call)
        else:
            self._due = loop.call_soon(self.call)

    def call(self) -> None:
        """Calls it now, for all that has asked for it so far."""
        if self._due is not None:
            self._due.cancel()
            self._due = None
        began_s = time.perf_counter()
        try:
            self._function()
        finally:
            took_s = time.perf_counter() - began_s
            if took_s >= SHORT_CALL_S:
                pause_s = min(PAUSE_PER_CALL * took_s, MAX_PAUSE_S)
                loop = asyncio.get_running_loop()
                self._paused_until_s = loop.time() + pause_s
