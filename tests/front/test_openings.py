"""Tests of opening sockets whose addresses are held."""

import asyncio
import errno

import pytest
import structlog

from savorylift.front import openings
from savorylift.front.openings import Opening, open_all
from savorylift.front.tasks import BackgroundTasks
from tests.front.environment import NodeEnvironment, run_in_environment

HELD = OSError(errno.EADDRINUSE, "Address already in use")


class HeldAddress:
    """An address that is free after some attempts to open it."""

    def __init__(self, attempts: int, error: Exception = HELD) -> None:
        self.left = attempts
        self._error = error

    async def open(self) -> None:
        self.left -= 1
        if self.left >= 0:
            raise self._error


def test_held_addresses_are_tried_until_free_and_keep_nothing_else(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(openings, "RETRY_INTERVAL_S", 0.001)
    held, free = HeldAddress(3), HeldAddress(0)

    async def scenario() -> tuple[str, ...]:
        items = (Opening("held", held.open), Opening("free", free.open))
        names = await open_all(items, BackgroundTasks())
        assert free.left < 0
        async with asyncio.timeout(5.0):
            while held.left >= 0:
                await asyncio.sleep(0.001)
        return names

    with structlog.testing.capture_logs() as logs:
        assert asyncio.run(scenario()) == ("held",)
    assert [(line["event"], line["socket"]) for line in logs] == [
        ("address_held", "held"),
        ("address_opened", "held"),
    ]


def test_unforeseen_errors_are_no_reason_to_stop_trying(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(openings, "RETRY_INTERVAL_S", 0.001)
    held = HeldAddress(3, MemoryError())

    async def scenario() -> None:
        await open_all((Opening("held", held.open),), BackgroundTasks())
        async with asyncio.timeout(5.0):
            while held.left >= 0:
                await asyncio.sleep(0.01)

    asyncio.run(scenario())


def test_socket_of_messages_that_is_lost_is_opened_again() -> None:
    async def scenario(env: NodeEnvironment) -> None:
        assert env.node is not None
        transport = env.node._peer_sync.transport
        lost = transport._transport
        assert lost is not None
        lost.abort()
        async with asyncio.timeout(5.0):
            while transport._transport in (None, lost):
                await asyncio.sleep(0.02)

    run_in_environment(scenario)
