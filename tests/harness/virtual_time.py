"""Runs coroutines on a clock that advances only while everything waits."""

import asyncio
import selectors
import time
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

# Data that was just sent on loopback is there within this real time.
LOOPBACK_S = 0.002


class VirtualClock:
    """A monotonic clock that is advanced by the event loop.

    Attributes:
        now_s: The time.
    """

    def __init__(self) -> None:
        """Starts well after 0, which stands for never in some places."""
        self.now_s = 1000.0

    def monotonic(self) -> float:
        """Returns the time, in place of `time.monotonic`."""
        return self.now_s


class JumpingSelector(selectors.DefaultSelector):
    """Advances the clock to the next timer instead of waiting for it."""

    def __init__(self, clock: VirtualClock) -> None:
        """Creates a selector that advances `clock`."""
        super().__init__()
        self._clock = clock

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Returns ready sockets; advances the clock if there is none."""
        if timeout is None or timeout <= 0:
            return super().select(timeout)
        events = super().select(LOOPBACK_S)
        if not events:
            self._clock.now_s += timeout
        return events


def stand_still(duration_s: float) -> None:
    """Lets time pass in which nothing else runs; for use in scenarios."""
    clock = getattr(time.monotonic, "__self__", None)
    assert isinstance(clock, VirtualClock)
    clock.now_s += duration_s


def run_in_virtual_time(
    monkeypatch: pytest.MonkeyPatch,
    scenario: Callable[[], Coroutine[Any, Any, None]],
) -> None:
    """Runs a scenario; the processor time that it takes does not count."""
    clock = VirtualClock()
    monkeypatch.setattr("time.monotonic", clock.monotonic)
    monkeypatch.setattr("time.clock_gettime", lambda _: clock.now_s)
    loop = asyncio.SelectorEventLoop(JumpingSelector(clock))
    try:
        loop.run_until_complete(scenario())
    finally:
        loop.close()
