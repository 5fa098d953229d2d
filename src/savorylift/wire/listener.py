"""A TCP or TLS listener that serves each connection in a task."""

import asyncio
import contextlib
import socket
import time
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import structlog

from savorylift.wire.body_admission import UNBOUNDED, BodyAdmission
from savorylift.wire.channel import Channel
from savorylift.wire.input_timeout import InputTimeout
from savorylift.wire.message import Headers, Request, Response
from savorylift.wire.request_input import BadRequest, CloseReason, InputLimits
from savorylift.wire.server_connection import ServerConnection

if TYPE_CHECKING:
    import ssl

BACKLOG = 1024
# Connections that asyncio has accepted are open after this time.
ACCEPT_S = 0.05

_log = structlog.get_logger()


class Listener:
    """Accepts connections on one address and serves them."""

    def __init__(
        self,
        serve: Callable[[ServerConnection], Awaitable[None]],
        get_limits: Callable[[], InputLimits],
        admission: BodyAdmission = UNBOUNDED,
    ) -> None:
        """Runs `serve` in a task for each connection.

        Args:
            serve: Serves one connection until it ends.
            get_limits: Returns the current limits, for each request.
            admission: Decides when a body may be read.
        """
        self._admission = admission
        self._serve = serve
        self._get_limits = get_limits
        self._server: asyncio.Server | None = None
        self._socket: socket.socket | None = None
        self._tls: ssl.SSLContext | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._conns: set[ServerConnection] = set()

    async def start(
        self, host: str, port: int, tls: "ssl.SSLContext | None" = None
    ) -> None:
        """Starts to accept connections; uses TLS if a context is given."""
        loop = asyncio.get_running_loop()
        self._tls = tls
        self._socket = socket.create_server((host, port), backlog=BACKLOG)
        self._socket.setblocking(False)
        self._server = await loop.create_server(
            lambda: Channel(self._accept),
            sock=self._socket,
            backlog=BACKLOG,
            ssl=tls,
        )

    def stop_accepting(self) -> None:
        """Closes the listening socket; open connections stay open."""
        if self._server is not None:
            self._server.close()

    def close_after_response(self) -> None:
        """Makes each open connection close after its next response."""
        for conn in self._conns:
            conn.is_closing = True

    async def close_when_served(self, timeout_s: float) -> None:
        """Stops accepting, and closes connections once they are served.

        Args:
            timeout_s: Time after which the others are closed, too.
        """
        if self._socket is not None:
            # Connections that asyncio has accepted are lost if its server is
            # closed before they are open.
            asyncio.get_running_loop().remove_reader(self._socket)
            await asyncio.sleep(ACCEPT_S)
        pending = self._accept_pending()
        self.stop_accepting()
        await asyncio.gather(*map(self._open_channel, pending))
        end_s = time.monotonic() + timeout_s
        while self._tasks and time.monotonic() < end_s:
            wait_s = max(end_s - time.monotonic(), 0.0)
            await asyncio.wait(self._tasks, timeout=wait_s)
        self.close()

    def close(self) -> None:
        """Stops accepting and closes all connections."""
        self.stop_accepting()
        for task in list(self._tasks):
            task.cancel()

    def _accept_pending(self) -> list[socket.socket]:
        """Accepts connections that would be reset with the listening socket."""
        accepted: list[socket.socket] = []
        if self._socket is None:
            return accepted
        with contextlib.suppress(OSError):
            while len(accepted) < BACKLOG:
                conn, _ = self._socket.accept()
                accepted.append(conn)
        return accepted

    async def _open_channel(self, conn: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            async with InputTimeout(ACCEPT_S):
                await loop.connect_accepted_socket(
                    lambda: Channel(self._accept), conn, ssl=self._tls
                )

    def _accept(self, channel: Channel) -> None:
        conn = ServerConnection(channel, self._get_limits, self._admission)
        task = asyncio.get_running_loop().create_task(
            self._serve_connection(conn)
        )
        self._tasks.add(task)
        self._conns.add(conn)
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
            conn.channel.close()


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
