"""Tests of timeouts for input, on an event loop that is late."""

import asyncio
import socket
import threading
import time
from collections.abc import Callable, Coroutine, Iterator

import pytest

from savorylift.wire.connecting import connect
from savorylift.wire.input_timeout import InputTimeout
from tests.wire.loopback import run_with_timeout

TIMEOUT_S = 0.1
LATE_S = 3 * TIMEOUT_S
ANSWER_S = TIMEOUT_S / 2
HOST = "127.0.0.1"
ANSWER = b"answer"


def block_loop() -> None:
    """Keeps the event loop from all other work, as a lack of processors."""
    time.sleep(LATE_S)


@pytest.fixture
def port() -> Iterator[int]:
    """Port of a server that answers in time, whatever the event loop does."""
    with socket.create_server((HOST, 0)) as listening:
        thread = threading.Thread(target=answer_one, args=(listening,))
        thread.start()
        yield listening.getsockname()[1]
        thread.join()


def answer_one(listening: socket.socket) -> None:
    accepted, _ = listening.accept()
    with accepted:
        time.sleep(ANSWER_S)
        accepted.sendall(ANSWER)


async def open_late(port: int) -> None:
    asyncio.get_running_loop().call_soon(block_loop)
    channel = await connect(HOST, port, TIMEOUT_S)
    channel.abort()


async def read_late(port: int) -> None:
    channel = await connect(HOST, port, TIMEOUT_S)
    asyncio.get_running_loop().call_soon(block_loop)
    async with InputTimeout(TIMEOUT_S):
        assert await channel.read() == ANSWER
    channel.abort()


@pytest.mark.parametrize("use", [open_late, read_late])
def test_server_is_not_blamed_for_a_late_event_loop(
    port: int, use: Callable[[int], Coroutine[None, None, None]]
) -> None:
    run_with_timeout(use(port))


@pytest.mark.parametrize("timeout_s", [-1.0, 0.0, TIMEOUT_S])
def test_silence_ends_in_time(timeout_s: float) -> None:
    async def scenario() -> None:
        began_s = time.monotonic()
        with pytest.raises(TimeoutError):
            async with InputTimeout(timeout_s):
                await asyncio.Event().wait()
        assert time.monotonic() - began_s >= timeout_s

    run_with_timeout(scenario())


def test_body_that_ends_in_time_is_not_cancelled_later() -> None:
    async def scenario() -> None:
        for passes in range(10):
            async with InputTimeout(0.0):
                for _ in range(min(passes, 3)):
                    await asyncio.sleep(0)
        await asyncio.sleep(TIMEOUT_S)

    run_with_timeout(scenario())


def test_cancelled_body_is_cancelled() -> None:
    async def wait() -> None:
        async with InputTimeout(TIMEOUT_S):
            await asyncio.Event().wait()

    async def scenario() -> None:
        task = asyncio.ensure_future(wait())
        await asyncio.sleep(0)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

    run_with_timeout(scenario())
