"""Listening sockets whose connections are served by a coroutine."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import structlog

from savorylift.wire.channel import Channel
from savorylift.wire.message import Request, Response
from savorylift.wire.server_connection import (
    BadRequest,
    Closing,
    InputLimits,
    ServerConnection,
)

if TYPE_CHECKING:
    import ssl

BACKLOG = 1024

_log = structlog.get_logger()


class Listener:
    """A listening address and the connections accepted on it."""

    def __init__(
        self,
        serve: Callable[[ServerConnection], Awaitable[None]],
        limits: Callable[[], InputLimits],
    ) -> None:
        """Runs `serve` in a task for each connection."""
        self._serve = serve
        self._limits = limits
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._conns: set[ServerConnection] = set()

    async def start(
        self, host: str, port: int, tls: "ssl.SSLContext | None" = None
    ) -> None:
        """Starts to accept connections, with TLS if a context is given."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: Channel(self._accept),
            host,
            port,
            backlog=BACKLOG,
            ssl=tls,
        )

    def stop_accepting(self) -> None:
        """Closes the listening socket; open connections go on."""
        if self._server is not None:
            self._server.close()

    def announce_closing(self) -> None:
        """Makes every open connection end after its next answer."""
        for conn in self._conns:
            conn.is_closing = True

    def close(self) -> None:
        """Ends every connection."""
        self.stop_accepting()
        for task in list(self._tasks):
            task.cancel()

    def _accept(self, channel: Channel) -> None:
        conn = ServerConnection(channel, self._limits)
        task = asyncio.get_running_loop().create_task(self._run(conn))
        self._tasks.add(task)
        self._conns.add(conn)
        task.add_done_callback(self._tasks.discard)

    async def _run(self, conn: ServerConnection) -> None:
        try:
            await self._serve(conn)
        except Exception:
            _log.exception("connection_failed", peer=conn.channel.peer)
            conn.channel.abort()
        finally:
            self._conns.discard(conn)
            conn.channel.close()


def answering(
    answer: Callable[[Request], Awaitable[Response]],
) -> Callable[[ServerConnection], Awaitable[None]]:
    """Returns a connection handler for short answers without streams."""

    async def serve(conn: ServerConnection) -> None:
        while True:
            req = await conn.next_request()
            if isinstance(req, Closing):
                return
            if isinstance(req, BadRequest):
                conn.is_closing = True
                conn.respond(req.status, (), req.message.encode())
                await conn.channel.close_gently()
                return
            response = await answer(req)
            conn.respond(response.status, response.headers, response.body)
            await conn.channel.drain()
            if not conn.can_go_on():
                return

    return serve
