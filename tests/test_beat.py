"""Tests of periodic tasks that wake together."""

import asyncio
import time

import pytest

from savorylift.beat import MIN_SHARE, wait_for_beat
from tests.harness.virtual_time import run_in_virtual_time

INTERVAL_S = 0.2


def test_tasks_that_begin_at_different_times_wake_together(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    woken_s: list[list[float]] = [[], []]

    async def repeat(number: int, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        for _ in range(5):
            began_s = time.monotonic()
            await wait_for_beat(INTERVAL_S)
            waited_s = time.monotonic() - began_s
            assert waited_s > MIN_SHARE * INTERVAL_S - 0.01
            assert waited_s < (1 + MIN_SHARE) * INTERVAL_S + 0.01
            woken_s[number].append(time.monotonic())

    async def scenario() -> None:
        await asyncio.gather(repeat(0, 0.03), repeat(1, 0.11))

    run_in_virtual_time(monkeypatch, scenario)
    first, second = woken_s
    for at_s in second[:4]:
        assert min(abs(at_s - other_s) for other_s in first) < 0.01
