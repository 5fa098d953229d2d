"""Tests of background tasks and of what the event loop calls."""

import asyncio

import pytest
import structlog

from savorylift.front import metrics, tasks
from savorylift.front.tasks import BackgroundTasks, log_callback_failures
from tests.harness.virtual_time import VirtualClock


async def fail() -> None:
    raise ValueError("unforeseen")


class FailingRun:
    """Fails some times, after a while each, and then waits forever."""

    def __init__(self, clock: VirtualClock, durations_s: list[float]) -> None:
        self._clock = clock
        self._durations_s = durations_s
        self.runs = 0

    async def run(self) -> None:
        self.runs += 1
        if not self._durations_s:
            await asyncio.Event().wait()
        self._clock.now_s += self._durations_s.pop(0)
        raise ValueError("unforeseen")


def test_failed_task_is_logged_and_counted_by_its_name() -> None:
    async def scenario() -> None:
        BackgroundTasks().spawn(fail())
        await asyncio.sleep(0.01)

    counter = metrics.TASK_FAILURES.labels("fail")
    before = counter.value
    with structlog.testing.capture_logs() as logs:
        asyncio.run(scenario())
    assert [line["task"] for line in logs] == ["fail"]
    assert counter.value == before + 1


def test_failed_task_runs_again_after_pauses_that_grow_until_it_is_sound(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    clock = VirtualClock()
    monkeypatch.setattr("time.monotonic", clock.monotonic)
    pauses: list[float] = []
    sleep = asyncio.sleep

    async def record_pause(pause_s: float) -> None:
        pauses.append(pause_s)
        await sleep(0)

    async def scenario() -> None:
        BackgroundTasks().keep_running(failing.run)
        for _ in range(20):
            await sleep(0)

    failing = FailingRun(clock, [0.0, 1.0, tasks.SOUND_S, 0.0])
    monkeypatch.setattr("asyncio.sleep", record_pause)
    with structlog.testing.capture_logs() as logs:
        asyncio.run(scenario())
    assert pauses == [0.1, 0.2, 0.1, 0.2]
    assert [line["again_in_s"] for line in logs] == pauses
    assert failing.runs == 5


def test_task_that_returns_is_not_run_again() -> None:
    runs: list[int] = []

    async def run() -> None:
        runs.append(1)

    async def scenario() -> None:
        BackgroundTasks().keep_running(run)
        await asyncio.sleep(0.01)

    asyncio.run(scenario())
    assert runs == [1]


def test_failed_callback_is_logged_and_counted() -> None:
    def fail_soon() -> None:
        raise ValueError("unforeseen")

    async def scenario() -> None:
        log_callback_failures()
        asyncio.get_running_loop().call_soon(fail_soon)
        await asyncio.sleep(0.01)

    before = metrics.CALLBACK_FAILURES.labels().value
    with structlog.testing.capture_logs() as logs:
        asyncio.run(scenario())
    assert [line["event"] for line in logs] == ["callback_failed"]
    assert metrics.CALLBACK_FAILURES.labels().value == before + 1


def test_task_that_meets_a_cancellation_of_others_runs_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(tasks, "MIN_PAUSE_S", 0.001)
    runs: list[int] = []

    async def run() -> None:
        runs.append(1)
        if len(runs) == 1:
            raise asyncio.CancelledError

    async def scenario() -> None:
        BackgroundTasks().keep_running(run)
        await asyncio.sleep(0.05)

    asyncio.run(scenario())
    assert len(runs) == 2


def test_runs_at_once_go_to_their_ends_whatever_one_does() -> None:
    ended: list[str] = []

    async def save() -> None:
        await asyncio.sleep(0.01)
        ended.append("save")

    asyncio.run(tasks.run_all(fail, save, fail))
    assert ended == ["save"]
