"""A multi-threaded HTTP server with a control path, based on cheroot."""

import http
import threading
import urllib.parse
from collections.abc import Mapping
from typing import Generic, NamedTuple, Protocol, TypeVar

import msgspec
from cheroot import server as cheroot_server

from tests.standins import control

WORKER_THREADS = 64  # a call occupies a thread until its response is sent
MAX_CONNECTIONS = 512
KEEP_ALIVE_TIMEOUT_S = 600

S = TypeVar("S", bound=control.Settings)


class Request(NamedTuple):
    """One request with its complete body; header names are lower case."""

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes

    def json(self) -> dict[str, object]:
        """Returns the body, a JSON object; an empty body is an empty object."""
        return msgspec.json.decode(self.body or b"{}", type=dict)


class Reply(NamedTuple):
    """A response whose body is sent as JSON."""

    status: int
    body: object
    headers: Mapping[str, str] = {}


class DropConnection(NamedTuple):
    """Result of a handler that closes the connection without a response."""


def error_reply(status: int, code: str, message: str = "") -> Reply:
    """Returns an error response in the same format as the model engine's."""
    error = {"code": code, "message": message or code.replace("_", " ")}
    return Reply(status, {"error": error})


class ControlledService(Protocol, Generic[S]):
    """A simulated service with settings that tests can change.

    Attributes:
        settings: Current settings.
        lock: Held during access to the settings on the control path.
    """

    settings: S
    lock: threading.Lock

    def handle(self, req: Request) -> Reply | DropConnection:
        """Handles any request except those for the control path."""

    def on_settings_changed(self) -> None:
        """Applies new settings; called with the lock held."""

    def snapshot(self, query: Mapping[str, str]) -> object:
        """Returns the state and record; called with the lock held."""


def serve(service: ControlledService[S], port: int) -> None:
    """Serves `service` on the loopback interface until the process ends."""

    class ServiceGateway(cheroot_server.Gateway):
        """Passes cheroot's requests to the service."""

        def respond(self) -> None:
            _respond(self.req, service)

    http_server = cheroot_server.HTTPServer(
        ("127.0.0.1", port),
        gateway=ServiceGateway,
        minthreads=WORKER_THREADS,
        maxthreads=WORKER_THREADS,
    )
    http_server.request_queue_size = MAX_CONNECTIONS
    http_server.timeout = KEEP_ALIVE_TIMEOUT_S
    http_server.keep_alive_conn_limit = MAX_CONNECTIONS
    http_server.prepare()
    control.print_ready_line(http_server.bind_addr[1])
    http_server.serve()


def _respond(
    cheroot_req: cheroot_server.HTTPRequest, service: ControlledService[S]
) -> None:
    req = _to_request(cheroot_req)
    reply = (
        _handle_control(service, req)
        if req.path == "/control"
        else service.handle(req)
    )
    if isinstance(reply, DropConnection):
        cheroot_req.ready = False
        cheroot_req.close_connection = True
        return
    body = msgspec.json.encode(reply.body)
    status = http.HTTPStatus(reply.status)
    status_line = f"{status.value} {status.phrase}".encode()
    cheroot_req.status = status_line  # type: ignore[assignment]  # wrong stub
    cheroot_req.outheaders = [
        (b"Content-Type", b"application/json"),
        (b"Content-Length", str(len(body)).encode()),
        *((k.encode(), v.encode()) for k, v in reply.headers.items()),
    ]
    cheroot_req.ensure_headers_sent()
    if req.method != "HEAD":
        cheroot_req.write(body)


def _to_request(cheroot_req: cheroot_server.HTTPRequest) -> Request:
    headers = {
        name.decode("latin-1").lower(): text.decode("latin-1")
        for name, text in cheroot_req.inheaders.items()
    }
    return Request(
        cheroot_req.method.decode(),
        cheroot_req.path.decode(),
        dict(urllib.parse.parse_qsl(cheroot_req.qs.decode())),
        headers,
        cheroot_req.rfile.read(),
    )


def _handle_control(service: ControlledService[S], req: Request) -> Reply:
    with service.lock:
        if req.method == "GET":
            return Reply(200, service.snapshot(req.query))
        try:
            service.settings = control.replace_fields(
                service.settings, req.json()
            )
        except (msgspec.ValidationError, msgspec.DecodeError) as exc:
            return error_reply(400, "bad_control", str(exc))
        service.on_settings_changed()
        return Reply(200, msgspec.to_builtins(service.settings))
