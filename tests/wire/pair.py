"""Both ends of a connection on loopback, inside one event loop."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, TypeVar

from savorylift.wire.channel import Channel, connect
from savorylift.wire.server_connection import InputLimits, ServerConnection

T = TypeVar("T")

CONNECT_S = 2.0
WHOLE_TEST_S = 20.0
DEFAULT_LIMITS = InputLimits()


def run(work: Coroutine[Any, Any, T]) -> T:
    """Runs a test's coroutine, bounded."""

    async def bounded() -> T:
        async with asyncio.timeout(WHOLE_TEST_S):
            return await work

    return asyncio.run(bounded())


async def serve_bytes(
    answer: Callable[[Channel], Awaitable[None]],
) -> tuple[asyncio.Server, int]:
    """Listens on loopback; runs `answer` on each connection."""
    loop = asyncio.get_running_loop()
    tasks = set()

    def opened(channel: Channel) -> None:
        task = asyncio.ensure_future(answer(channel))
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    server = await loop.create_server(lambda: Channel(opened), "127.0.0.1", 0)
    return server, server.sockets[0].getsockname()[1]


async def pair(
    limits: InputLimits = DEFAULT_LIMITS,
) -> tuple[ServerConnection, Channel]:
    """Returns the server's and the caller's end of a connection."""
    loop = asyncio.get_running_loop()
    opened: asyncio.Future[Channel] = loop.create_future()

    async def take(channel: Channel) -> None:
        opened.set_result(channel)

    _, port = await serve_bytes(take)
    caller = await connect("127.0.0.1", port, CONNECT_S)
    return ServerConnection(await opened, lambda: limits), caller
