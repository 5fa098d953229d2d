"""A listener with a callers' face whose collaborators are fakes."""

import socket
import threading
from collections.abc import Callable
from typing import NamedTuple

from returns.result import Failure, Result, Success

from savorylift.calls.caller import CallService
from savorylift.calls.request import CallAnswer, CallRequest
from savorylift.entry.caller_face import CallerFace, CallerParts
from savorylift.entry.completions import Completions
from savorylift.entry.node_state import NodeState, Phase
from savorylift.entry.server import HttpListener, ServerOptions
from savorylift.outcomes import Reason, Refusal, not_run
from savorylift.peers.view import RosterSource
from savorylift.refusals.book import RefusedRequest
from savorylift.rules.view import RulesSource, RulesView, Team
from savorylift.trail import Trail
from tests.harness.ports import free_addresses
from tests.streams.fakes import MODEL, SOURCE, Bench

READ_S = 0.6
BODY_BYTES = 10_000


class Book:
    """Collects refusals."""

    def __init__(self) -> None:
        self.written: list[RefusedRequest] = []

    def write(self, refused: RefusedRequest) -> None:
        self.written.append(refused)


class Calls:
    """Answers calls after `gate` is set."""

    def __init__(self) -> None:
        self.paths: list[str] = []
        self.gate = threading.Event()
        self.gate.set()

    def call(self, req: CallRequest) -> Result[CallAnswer, Refusal]:
        if req.service != "crew":
            return Failure(not_run(Reason.UNKNOWN_SERVICE, "no such service"))
        self.paths.append(req.path)
        self.gate.wait(10.0)
        return Success(CallAnswer(200, (), b"done", "s1"))


class Reply(NamedTuple):
    """A raw answer."""

    status: int
    body: bytes


class Face:
    """The face on a listener with few threads."""

    def __init__(self, threads: int = 4, max_in_flight: int = 3) -> None:
        teams = {
            "desk": Team("desk", 1, frozenset({"*"}), 0, SOURCE),
            "small": Team("small", 1, frozenset({"other"}), 1, SOURCE),
        }
        self.book = Book()
        self.calls = Calls()
        self.state = NodeState()
        self.state.enter(Phase.SERVING)
        self.bench = Bench({})
        rules = RulesSource(RulesView(teams=teams, models={"m": MODEL}))
        parts = self.bench.parts._replace(rules=rules)
        face = CallerFace(
            CallerParts(
                state=self.state,
                rules=rules,
                roster=RosterSource(),
                completions=Completions(parts, 1 << 20),
                calls=_as_service(self.calls),
                refusals=self.book,
                own_address="",
                max_in_flight=max_in_flight,
                request_timeout_s=5.0,
                entry_ttl_s=1.0,
                trail=Trail(),
            )
        )
        (self.address,) = free_addresses(1)
        options = ServerOptions(
            "callers", self.address, threads, BODY_BYTES, 4096, READ_S
        )
        self._listener = HttpListener(options, face.handle)

    def __enter__(self) -> "Face":
        assert self._listener.start() is None
        self.bench.__enter__()
        return self

    def __exit__(self, *_: object) -> None:
        self.calls.gate.set()
        self._listener.stop()
        self.bench.__exit__()

    def connect(self) -> socket.socket:
        host, _, port = self.address.partition(":")
        return socket.create_connection((host, int(port)), 5.0)

    def send(self, raw: bytes) -> Reply:
        """Sends bytes as they are and reads until the connection ends."""
        with self.connect() as sock:
            sock.sendall(raw)
            return read_reply(sock)


def read_reply(sock: socket.socket) -> Reply:
    """Reads one answer from a connection that closes after it."""
    sock.settimeout(5.0)
    data = b""
    while part := sock.recv(65_536):
        data += part
    head, _, body = data.partition(b"\r\n\r\n")
    return Reply(int(head.split()[1]) if head else 0, body)


def request(
    line: str, body: bytes = b"", team: str | None = "desk", **headers: str
) -> bytes:
    """Returns the bytes of a request that closes its connection."""
    lines = [f"{line} HTTP/1.1", "Host: x", "Connection: close"]
    if team is not None:
        lines.append(f"X-Team: {team}")
    given = {name.replace("_", "-"): text for name, text in headers.items()}
    if "Transfer-Encoding" not in given:
        given.setdefault("Content-Length", str(len(body)))
    lines += [f"{name}: {text}" for name, text in given.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def _as_service(calls: Calls) -> CallService:
    service: Callable[[], object] = lambda: calls  # noqa: E731
    return service()  # type: ignore[return-value]
