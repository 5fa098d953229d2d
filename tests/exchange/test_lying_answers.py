"""Tests of health checks and cancels whose answer's status doesn't exist."""

import asyncio
from typing import Any, cast

import pytest
from structlog.testing import capture_logs

from savorylift.backends.registry import BackendServer
from savorylift.exchange.codec import CancelRequest
from savorylift.exchange.reach_probe import ReachProbe
from savorylift.exchange.run_canceller import RunCanceller
from savorylift.wire.message import ResponseHead
from tests.exchange.factories import make_server_entry
from tests.standins.lying_server import (
    STATUSES,
    count_unreadable,
    lying_server,
)
from tests.wire.loopback import run_with_timeout


class _OpenGate:
    """Lets each request through."""

    async def acquire(self, *_args: object, **_options: object) -> object:
        return object()


def make_server(address: tuple[str, int]) -> BackendServer:
    return BackendServer(make_server_entry()._replace(address=address), 0.0)


@pytest.mark.parametrize("status", STATUSES)
def test_server_is_not_well_by_such_an_answer(status: str) -> None:
    heads: list[ResponseHead] = []

    async def scenario() -> bool | None:
        probe = ReachProbe(
            cast("Any", _OpenGate()), lambda _server, head: heads.append(head)
        )
        async with lying_server(status) as address:
            return await probe.ask(make_server(address), "/health")

    count = count_unreadable()
    with capture_logs() as logged:
        assert run_with_timeout(scenario()) is False
    assert heads == []
    assert count_unreadable() == count + 1
    assert [line["event"] for line in logged] == ["answer_unreadable"]


@pytest.mark.parametrize("status", STATUSES)
def test_run_is_not_cancelled_by_such_an_answer(status: str) -> None:
    async def scenario() -> None:
        canceller = RunCanceller()
        async with lying_server(status) as address:
            canceller.cancel(
                make_server(address), CancelRequest("DELETE", "/run/a")
            )
            tasks = asyncio.all_tasks() - {asyncio.current_task()}
            await asyncio.wait(tasks)

    count = count_unreadable()
    with capture_logs() as logged:
        run_with_timeout(scenario())
    assert count_unreadable() == count + 1
    events = [line["event"] for line in logged]
    assert events == ["answer_unreadable", "not_withdrawn"]
