"""Measures how long the event loop is held by each of its turns.

While a turn lasts, nobody else is served: no caller, no other node and no
question of the platform.
"""

import asyncio
import selectors
import time


class TurnSelector(selectors.DefaultSelector):
    """The selector of an event loop, which measures what is between calls."""

    def __init__(self) -> None:
        """Starts without a turn."""
        super().__init__()
        self._woke_s = time.perf_counter()
        self._longest_s = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Waits as the base class does; ends a turn and begins the next."""
        held_s = time.perf_counter() - self._woke_s
        if held_s > self._longest_s:
            self._longest_s = held_s
        ready = super().select(timeout)
        self._woke_s = time.perf_counter()
        return ready

    def take_longest_s(self) -> float:
        """Returns the longest turn since the last call, in seconds."""
        longest_s, self._longest_s = self._longest_s, 0.0
        return longest_s


# That of the event loop of this process, if it measures its turns.
_selector: TurnSelector | None = None


def make_measured_loop() -> asyncio.AbstractEventLoop:
    """Returns the event loop of this process, which measures its turns."""
    global _selector
    _selector = TurnSelector()
    return asyncio.SelectorEventLoop(_selector)


def take_longest_turn_s() -> float | None:
    """Returns the longest turn since the last call, in seconds.

    None if this process doesn't measure them.
    """
    return None if _selector is None else _selector.take_longest_s()
