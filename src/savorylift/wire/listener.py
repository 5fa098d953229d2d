"""A TCP or TLS listener that serves each connection in a task."""

import asyncio
import contextlib
import socket
import sys
import time
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import structlog

from savorylift.wire.acceptor import Acceptor
from savorylift.wire.body_admission import UNBOUNDED, BodyAdmission
from savorylift.wire.channel import Channel
from savorylift.wire.closing_connection import ClosingConnection
from savorylift.wire.connection_limit import ConnectionLimit
from savorylift.wire.input_timeout import InputTimeout
from savorylift.wire.message import Headers, Request, Response
from savorylift.wire.opening_connection import OpeningConnection
from savorylift.wire.request_input import BadRequest, CloseReason, InputLimits
from savorylift.wire.server_connection import ServerConnection
from savorylift.wire.tls_buffers import limit_buffers

if TYPE_CHECKING:
    import ssl

# At the end, connections are still accepted for this long, and then opened for
# as long again.
LAST_ACCEPT_S = 0.05

_log = structlog.get_logger()


class Listener:
    """Accepts connections on one address and serves them."""

    def __init__(
        self,
        serve: Callable[[ServerConnection], Awaitable[None]],
        get_limits: Callable[[], InputLimits],
        admission: BodyAdmission = UNBOUNDED,
        limit: ConnectionLimit | None = None,
    ) -> None:
        """Runs `serve` in a task for each connection.

        Args:
            serve: Serves one connection until it ends.
            get_limits: Returns the current limits, for each request.
            admission: Decides when a body may be read.
            limit: Bounds the connections; None for no bound.
        """
        self._admission = admission
        self._serve = serve
        self._get_limits = get_limits
        self._limit = limit or ConnectionLimit(sys.maxsize)
        self._acceptor = Acceptor(self._open)
        self._tls: ssl.SSLContext | None = None
        self._opening: set[asyncio.Task[None]] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._conns: set[ServerConnection] = set()

    async def start(
        self, host: str, port: int, tls: "ssl.SSLContext | None" = None
    ) -> None:
        """Starts to accept connections; uses TLS if a context is given.

        Raises:
            OSError: The address is in use.
        """
        self._tls = tls
        self._acceptor.start(host, port)

    def stop_accepting(self) -> None:
        """Closes the listening socket; open connections stay open."""
        self._acceptor.stop()

    def close_after_response(self) -> None:
        """Makes each open connection close after its next response."""
        for conn in self._conns:
            conn.is_closing = True

    async def close_when_served(self, timeout_s: float) -> None:
        """Stops accepting, and closes connections once they are served.

        Args:
            timeout_s: Time after which the others are closed, too.
        """
        await asyncio.sleep(LAST_ACCEPT_S)
        self.stop_accepting()
        if self._opening:
            with contextlib.suppress(TimeoutError):
                async with InputTimeout(LAST_ACCEPT_S):
                    await asyncio.wait(self._opening)
        end_s = time.monotonic() + timeout_s
        while self._tasks and time.monotonic() < end_s:
            wait_s = max(end_s - time.monotonic(), 0.0)
            await asyncio.wait(self._tasks, timeout=wait_s)
        self.close()

    def close(self) -> None:
        """Stops accepting and closes all connections."""
        self.stop_accepting()
        for task in [*self._opening, *self._tasks]:
            task.cancel()

    def _open(self, sock: socket.socket) -> None:
        """Serves a connection that was accepted, if there may be one more."""
        if not self._limit.begin():
            sock.close()
            return
        opening = OpeningConnection(sock)
        self._limit.add(opening)
        task = asyncio.get_running_loop().create_task(
            self._open_channel(sock, opening)
        )
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)

    async def _open_channel(
        self, sock: socket.socket, opening: OpeningConnection
    ) -> None:
        loop = asyncio.get_running_loop()
        timeout_s = self._get_limits().head_timeout_s if self._tls else None
        channel: Channel | None = None
        try:
            with contextlib.suppress(OSError):
                _, channel = await loop.connect_accepted_socket(
                    Channel,
                    sock,
                    ssl=self._tls,
                    ssl_handshake_timeout=timeout_s,
                )
        finally:
            if channel is None:
                self._limit.remove(opening)
                sock.close()
        if channel is None:
            return
        limit_buffers(channel.transport)
        conn = ServerConnection(channel, self._get_limits, self._admission)
        self._limit.replace(opening, conn)
        self._conns.add(conn)
        task = loop.create_task(self._serve_connection(conn))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve_connection(self, conn: ServerConnection) -> None:
        try:
            await self._serve(conn)
        except Exception:
            _log.exception("connection_failed", peer=conn.channel.peer)
            conn.channel.abort()
        finally:
            self._conns.discard(conn)
            conn.release_all()
            self._close(conn)

    def _close(self, conn: ServerConnection) -> None:
        """Closes a connection, which counts until its descriptor is free."""
        closing = ClosingConnection(conn.channel, conn.address)
        self._limit.replace(conn, closing)
        closing.call_when_lost(lambda: self._limit.remove(closing))


def connection_handler(
    handle_request: Callable[[Request], Awaitable[Response]],
) -> Callable[[ServerConnection], Awaitable[None]]:
    """Returns a connection handler for requests that need no streaming.

    Args:
        handle_request: Returns the complete response to a request.
    """

    async def serve(conn: ServerConnection) -> None:
        while True:
            req = await conn.next_request()
            if isinstance(req, CloseReason):
                return
            if isinstance(req, BadRequest):
                conn.is_closing = True
                headers: Headers = ()
                if req.retry_after_s is not None:
                    headers = (("retry-after", f"{req.retry_after_s:g}"),)
                conn.respond(req.status, headers, req.message.encode())
                await conn.channel.close_gracefully()
                return
            response = await handle_request(req)
            # An idle connection must not keep it.
            del req
            conn.respond(response.status, response.headers, response.body)
            await conn.flush()
            if not conn.prepare_next_request():
                return

    return serve
