"""HTTP listeners of a node on `cheroot`."""

import collections
import contextlib
import math
import queue
import socket
import ssl
import threading
import time
from collections.abc import Callable
from typing import Any, NamedTuple

import structlog
from cheroot.server import Gateway, HTTPServer
from cheroot.ssl import Adapter

from savorylift.entry.connection import Connection
from savorylift.entry.errors import raw_error
from savorylift.entry.exchange import Exchange
from savorylift.outcomes import Reason, not_run

LINGER_S = 1.0  # lets a caller read a refusal before its connection closes
BUSY_RETRY_S = 1.0
BUSY_WRITE_S = 0.2

log = structlog.get_logger()


class ServerOptions(NamedTuple):
    """Options of one listener.

    Attributes:
        name: Name in logs.
        address: `ip:port` to listen on.
        threads: Requests served at once.
        body_bytes: Largest request body.
        header_bytes: Largest request head.
        request_read_s: Longest time to receive one request.
        tls: Server context, or None for plain HTTP.
    """

    name: str
    address: str
    threads: int
    body_bytes: int
    header_bytes: int
    request_read_s: float
    tls: ssl.SSLContext | None = None


Handler = Callable[[Exchange], None]


class HttpListener:
    """A running listener that hands each request to one handler."""

    def __init__(self, options: ServerOptions, handler: Handler) -> None:
        """Prepares the listener; `start` opens it."""
        self._server = _Server(options, handler)
        self._thread = threading.Thread(
            target=self._server.serve, name=options.name
        )
        self._thread.daemon = True

    def start(self) -> str | None:
        """Opens the listener; returns the cause if it can't be opened."""
        try:
            self._server.prepare()
        except OSError as exc:
            return str(exc)
        self._thread.start()
        return None

    def stop(self) -> None:
        """Closes the listener and ends its threads."""
        self._server.stop()
        self._thread.join()


class _Server(HTTPServer):
    """`cheroot`'s server, answering at once when its threads are busy."""

    ConnectionClass = Connection

    def __init__(self, options: ServerOptions, handler: Handler) -> None:
        host, _, port = options.address.partition(":")
        super().__init__(
            (host, int(port)),
            _gateway_class(handler),
            minthreads=options.threads,
            maxthreads=options.threads,
            server_name="savorylift",
        )
        self.request_read_s = options.request_read_s
        self.max_request_header_size = options.header_bytes
        self.max_request_body_size = options.body_bytes
        self.request_queue_size = 128
        self.timeout = math.ceil(options.request_read_s)
        self.shutdown_timeout = 1
        if options.tls is not None:
            self.ssl_adapter = _LazyTls(options.tls)
        self._busy = _BusyAnswers()

    def prepare(self) -> None:
        super().prepare()
        self._busy.start()

    def stop(self) -> None:
        super().stop()
        self._busy.stop()

    def process_conn(self, conn: Any) -> None:  # noqa: ANN401
        """Queues a connection only if a thread is free to serve it."""
        waiting = self.requests.qsize
        if waiting < self.requests.idle:
            self.requests.put(conn)
        else:
            self._busy.put(conn)

    def error_log(
        self,
        msg: str = "",
        level: int = 20,
        traceback: bool = False,  # noqa: FBT001, FBT002
    ) -> None:
        log.warning("http server", detail=msg, level=level, exc_info=traceback)


class _BusyAnswers:
    """Answers connections for which there is no thread, on one of its own."""

    def __init__(self) -> None:
        self._queue: queue.Queue[Any] = queue.Queue()
        self._lingering: collections.deque[tuple[float, Any]] = (
            collections.deque()
        )
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        self._thread.start()

    def stop(self) -> None:
        self._queue.put(None)
        self._thread.join()

    def put(self, conn: Any) -> None:  # noqa: ANN401
        self._queue.put(conn)

    def _run(self) -> None:
        while True:
            try:
                conn = self._queue.get(timeout=LINGER_S)
            except queue.Empty:
                self._close_old(time.monotonic() - LINGER_S)
                continue
            if conn is None:
                self._close_old(time.monotonic())
                return
            self._answer(conn)
            self._close_old(time.monotonic() - LINGER_S)

    def _answer(self, conn: Any) -> None:  # noqa: ANN401
        refusal = not_run(
            Reason.NODE_BUSY, "every thread of the node is busy", BUSY_RETRY_S
        )
        with contextlib.suppress(OSError):
            conn.socket.settimeout(BUSY_WRITE_S)
            conn.socket.sendall(raw_error(refusal))
            conn.socket.shutdown(socket.SHUT_WR)
        self._lingering.append((time.monotonic(), conn))

    def _close_old(self, before_s: float) -> None:
        while self._lingering and self._lingering[0][0] <= before_s:
            _, conn = self._lingering.popleft()
            with contextlib.suppress(OSError):
                conn.close()


class _LazyTls(Adapter):
    """TLS whose handshake happens on the thread that reads the request.

    A handshake while accepting would let one slow caller hold up all others.
    """

    def __init__(self, context: ssl.SSLContext) -> None:
        super().__init__(None, None)
        self._context = context

    def bind(self, sock: socket.socket) -> socket.socket:
        return sock

    def wrap(self, sock: socket.socket) -> tuple[ssl.SSLSocket, dict[str, str]]:
        wrapped = self._context.wrap_socket(
            sock, server_side=True, do_handshake_on_connect=False
        )
        return wrapped, {}

    def get_environ(self) -> dict[str, str]:
        return {}

    def makefile(self, *_: Any) -> None:  # noqa: ANN401
        return None


def _gateway_class(handler: Handler) -> type[Gateway]:
    class HandlerGateway(Gateway):
        def respond(self) -> None:
            handler(Exchange(self.req))

    return HandlerGateway
