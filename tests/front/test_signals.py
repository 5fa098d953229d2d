"""Tests of the signals that a running node handles."""

import asyncio
import os
import signal

import pytest

from savorylift.front.reload_signal import ReloadSignal
from savorylift.front.signals import handle_signals


@pytest.mark.parametrize("is_recorded", [False, True])
def test_signals_end_and_reload_a_node(*, is_recorded: bool) -> None:
    calls: list[str] = []
    before = signal.getsignal(signal.SIGHUP)
    recorded = ReloadSignal()
    recorded.is_received = is_recorded

    async def scenario() -> None:
        handle_signals(
            lambda: calls.append("leave"),
            lambda: calls.append("reload"),
            recorded,
        )
        for number in (signal.SIGHUP, signal.SIGTERM):
            os.kill(os.getpid(), number)
            await asyncio.sleep(0.01)

    try:
        asyncio.run(scenario())
    finally:
        signal.signal(signal.SIGHUP, before)
    assert calls == ["reload"] * is_recorded + ["reload", "leave"]
