"""Connections on loopback with both ends in one event loop."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, TypeVar

from savorylift.wire.body_admission import UNBOUNDED, BodyAdmission
from savorylift.wire.channel import Channel
from savorylift.wire.connecting import connect
from savorylift.wire.request_input import InputLimits
from savorylift.wire.server_connection import ServerConnection

T = TypeVar("T")

CONNECT_TIMEOUT_S = 2.0
TEST_TIMEOUT_S = 20.0
DEFAULT_LIMITS = InputLimits()


def run_with_timeout(coroutine: Coroutine[Any, Any, T]) -> T:
    """Runs a test's coroutine with a timeout."""

    async def bounded() -> T:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            return await coroutine

    return asyncio.run(bounded())


async def serve_bytes(
    handle: Callable[[Channel], Awaitable[None]], port: int = 0
) -> tuple[asyncio.Server, int]:
    """Listens on loopback and runs `handle` for each connection.

    Args:
        handle: Handles a connection.
        port: Port to listen on; 0 for any.
    """
    loop = asyncio.get_running_loop()
    tasks = set()

    def on_connect(channel: Channel) -> None:
        task = asyncio.ensure_future(handle(channel))
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    server = await loop.create_server(
        lambda: Channel(on_connect), "127.0.0.1", port
    )
    return server, server.sockets[0].getsockname()[1]


async def open_connection_pair(
    limits: InputLimits = DEFAULT_LIMITS,
    admission: BodyAdmission = UNBOUNDED,
) -> tuple[ServerConnection, Channel]:
    """Returns the server's and the client's end of a new connection."""
    loop = asyncio.get_running_loop()
    accepted: asyncio.Future[Channel] = loop.create_future()

    async def on_accept(channel: Channel) -> None:
        accepted.set_result(channel)

    _, port = await serve_bytes(on_accept)
    caller = await connect("127.0.0.1", port, CONNECT_TIMEOUT_S)
    conn = ServerConnection(await accepted, lambda: limits, admission)
    return conn, caller
