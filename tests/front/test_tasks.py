"""Tests of background tasks and of what the event loop calls."""

import asyncio

import structlog

from savorylift.front import metrics
from savorylift.front.tasks import BackgroundTasks, log_callback_failures


async def fail() -> None:
    raise ValueError("unforeseen")


def test_failed_task_is_logged_and_counted_by_its_name() -> None:
    async def scenario() -> None:
        BackgroundTasks(lambda: None).spawn(fail())
        await asyncio.sleep(0.01)

    counter = metrics.TASK_FAILURES.labels("fail")
    before = counter.value
    with structlog.testing.capture_logs() as logs:
        asyncio.run(scenario())
    assert [line["task"] for line in logs] == ["fail"]
    assert counter.value == before + 1


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
