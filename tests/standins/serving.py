"""A thread-per-request HTTP server with a control path, on cheroot."""

import http
import threading
import urllib.parse
from collections.abc import Mapping
from typing import Generic, NamedTuple, Protocol, TypeVar

import msgspec
from cheroot import server as cheroot_server

from tests.standins import control

THREADS = 64  # long polls wait in a thread each
CONNECTIONS = 512
KEEP_ALIVE_S = 600

S = TypeVar("S", bound=control.Settings)


class Request(NamedTuple):
    """One request, read whole; header names are lower case."""

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes

    def json(self) -> dict[str, object]:
        """Returns the body as a JSON object; empty for no body."""
        return msgspec.json.decode(self.body or b"{}", type=dict)


class Reply(NamedTuple):
    """An answer whose body is sent as JSON."""

    status: int
    body: object
    headers: Mapping[str, str] = {}


class Dropped(NamedTuple):
    """Closes the connection without an answer."""


def error(status: int, code: str, message: str = "") -> Reply:
    """Returns an error in the body shape that all systems share."""
    fault = {"code": code, "message": message or code.replace("_", " ")}
    return Reply(status, {"error": fault})


class Program(Protocol, Generic[S]):
    """A stand-in behind the server."""

    settings: S
    lock: threading.Lock

    def handle(self, req: Request) -> Reply | Dropped:
        """Answers any request but one for the control path."""

    def on_change(self) -> None:
        """Reacts to new settings; called with the lock held."""

    def seen(self, query: Mapping[str, str]) -> object:
        """Returns this stand-in's own record; called with the lock held."""


def run(program: Program[S], port: int) -> None:
    """Serves `program` on loopback until the process ends."""

    class ProgramGateway(cheroot_server.Gateway):
        """Hands cheroot's request to the program."""

        def respond(self) -> None:
            _respond(self.req, program)

    http_server = cheroot_server.HTTPServer(
        ("127.0.0.1", port),
        gateway=ProgramGateway,
        minthreads=THREADS,
        maxthreads=THREADS,
    )
    http_server.request_queue_size = CONNECTIONS
    http_server.timeout = KEEP_ALIVE_S
    http_server.keep_alive_conn_limit = CONNECTIONS
    http_server.prepare()
    control.announce(http_server.bind_addr[1])
    http_server.serve()


def _respond(raw: cheroot_server.HTTPRequest, program: Program[S]) -> None:
    req = _read(raw)
    reply = (
        _control(program, req)
        if req.path == "/control"
        else program.handle(req)
    )
    if isinstance(reply, Dropped):
        raw.ready = False
        raw.close_connection = True
        return
    body = msgspec.json.encode(reply.body)
    status = http.HTTPStatus(reply.status)
    status_line = f"{status.value} {status.phrase}".encode()
    raw.status = status_line  # type: ignore[assignment]  # wrong stub
    raw.outheaders = [
        (b"Content-Type", b"application/json"),
        (b"Content-Length", str(len(body)).encode()),
        *((k.encode(), v.encode()) for k, v in reply.headers.items()),
    ]
    raw.ensure_headers_sent()
    if req.method != "HEAD":
        raw.write(body)


def _read(raw: cheroot_server.HTTPRequest) -> Request:
    headers = {
        name.decode("latin-1").lower(): text.decode("latin-1")
        for name, text in raw.inheaders.items()
    }
    return Request(
        raw.method.decode(),
        raw.path.decode(),
        dict(urllib.parse.parse_qsl(raw.qs.decode())),
        headers,
        raw.rfile.read(),
    )


def _control(program: Program[S], req: Request) -> Reply:
    with program.lock:
        if req.method == "GET":
            return Reply(200, program.seen(req.query))
        try:
            program.settings = control.changed(program.settings, req.json())
        except (msgspec.ValidationError, msgspec.DecodeError) as exc:
            return error(400, "bad_control", str(exc))
        program.on_change()
        return Reply(200, msgspec.to_builtins(program.settings))
