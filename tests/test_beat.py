"""Tests of periodic tasks that wake together."""

import asyncio
import itertools
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


def test_only_the_task_that_is_due_is_woken(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    asked_s: list[float] = []
    woken_s: list[float] = []

    def is_due() -> bool:
        asked_s.append(time.monotonic())
        return len(asked_s) % 10 == 0

    async def repeat() -> None:
        while True:
            assert await wait_for_beat(INTERVAL_S, is_due) < 0.01
            woken_s.append(time.monotonic())

    async def scenario() -> None:
        task = asyncio.ensure_future(repeat())
        await asyncio.sleep(30.5 * INTERVAL_S)
        task.cancel()

    run_in_virtual_time(monkeypatch, scenario)
    assert len(asked_s) >= 30
    assert woken_s == asked_s[9::10]
    for earlier_s, later_s in itertools.pairwise(asked_s):
        assert later_s - earlier_s == pytest.approx(INTERVAL_S, abs=0.01)


@pytest.mark.parametrize("tasks", [1, 6])
def test_tasks_without_work_cost_the_loop_one_timer_a_beat(
    monkeypatch: pytest.MonkeyPatch, tasks: int
) -> None:
    run: list[str] = []
    run_handle = asyncio.Handle._run

    def count(self: asyncio.Handle) -> None:
        run.append(str(self))
        run_handle(self)

    async def scenario() -> None:
        waiting = [
            asyncio.ensure_future(wait_for_beat(INTERVAL_S, lambda: False))
            for _ in range(tasks)
        ]
        await asyncio.sleep(INTERVAL_S / 10)
        monkeypatch.setattr(asyncio.Handle, "_run", count)
        await asyncio.sleep(20 * INTERVAL_S)
        monkeypatch.setattr(asyncio.Handle, "_run", run_handle)
        for task in waiting:
            task.cancel()

    run_in_virtual_time(monkeypatch, scenario)
    # And the end of the scenario's own sleep.
    assert 20 <= len(run) <= 23


def test_longer_beats_fall_on_shorter_ones(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    woken_s: dict[float, list[float]] = {0.1: [], 0.2: [], 0.4: []}

    async def repeat(interval_s: float) -> None:
        for _ in range(6):
            await wait_for_beat(interval_s)
            woken_s[interval_s].append(time.monotonic())

    async def scenario() -> None:
        await asyncio.gather(*map(repeat, woken_s))

    run_in_virtual_time(monkeypatch, scenario)
    for longer_s, shorter_s in ((0.2, 0.1), (0.4, 0.2)):
        for at_s in woken_s[longer_s][:2]:
            assert min(abs(at_s - s) for s in woken_s[shorter_s]) < 0.01


@pytest.mark.parametrize(
    ("raised", "expected"),
    [
        (LookupError("gone"), LookupError),
        # No future and no coroutine may raise it.
        (StopIteration(), RuntimeError),
    ],
)
def test_task_that_ends_or_fails_leaves_the_others_waiting(
    monkeypatch: pytest.MonkeyPatch,
    raised: Exception,
    expected: type[Exception],
) -> None:
    def fail() -> bool:
        raise raised

    async def scenario() -> None:
        failing = asyncio.ensure_future(wait_for_beat(INTERVAL_S, fail))
        cancelled = asyncio.ensure_future(wait_for_beat(INTERVAL_S))
        sound = asyncio.ensure_future(wait_for_beat(INTERVAL_S))
        await asyncio.sleep(0)
        cancelled.cancel()
        async with asyncio.timeout(1.5 * INTERVAL_S):
            await sound
        with pytest.raises(expected):
            await failing
        assert cancelled.cancelled()
        # Beats go on after all of that.
        await wait_for_beat(INTERVAL_S)

    run_in_virtual_time(monkeypatch, scenario)


def test_beat_that_comes_late_says_so_and_is_not_made_up_for(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    late_s: list[float] = []

    async def scenario() -> None:
        beat = asyncio.ensure_future(wait_for_beat(INTERVAL_S))
        await asyncio.sleep(0)
        # The process stands still.
        now_s = time.monotonic() + 10 * INTERVAL_S
        monkeypatch.setattr("time.monotonic", lambda: now_s)
        late_s.append(await beat)
        monkeypatch.undo()

    run_in_virtual_time(monkeypatch, scenario)
    assert 8 * INTERVAL_S < late_s[0] < 10 * INTERVAL_S
