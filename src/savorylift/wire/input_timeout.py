"""A timeout for what another program sends, fair to it if this one is late."""

import asyncio
import contextlib
from types import TracebackType

# Passes of the event loop in which what has arrived is noticed, handed on, and
# makes the waiting task go on.
LAST_PASSES = 4


class InputTimeout(contextlib.AbstractAsyncContextManager[None]):
    """Raises TimeoutError unless its body ends in time, as asyncio's does.

    An event loop that is late finds a timer due together with the input that
    came in time. The other program isn't at fault then: the body gets a few
    more passes of the loop to see it.
    """

    def __init__(self, timeout_s: float) -> None:
        """Creates a timeout that begins as its context is entered."""
        self._timeout_s = timeout_s
        self._timeout = asyncio.timeout(None)
        self._timer: asyncio.Handle | None = None

    async def __aenter__(self) -> None:
        """Starts the timer."""
        await self._timeout.__aenter__()
        self._timer = asyncio.get_running_loop().call_later(
            max(self._timeout_s, 0.0), self._look_again, LAST_PASSES
        )

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stops the timer; raises TimeoutError if it has run out."""
        if self._timer is not None:
            self._timer.cancel()
        await self._timeout.__aexit__(exc_type, exc, traceback)

    def _look_again(self, passes: int) -> None:
        loop = asyncio.get_running_loop()
        if passes:
            self._timer = loop.call_soon(self._look_again, passes - 1)
        else:
            self._timeout.reschedule(loop.time())
