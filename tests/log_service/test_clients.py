"""HTTP clients against a scripted server on loopback."""

import http.server
import threading
from collections import deque
from collections.abc import Iterator
from typing import NamedTuple

import prometheus_client
import pytest
from returns.result import Failure, Success

from savorylift.log_service.counters import PlatformCounters
from savorylift.log_service.json_client import ClientConfig
from savorylift.log_service.log import LogEntry, LogPage, LogRecord
from savorylift.log_service.log_client import HttpLog
from savorylift.log_service.vm_client import HttpVmList
from savorylift.log_service.vms import VmEntry

CLOSED_URL = "http://127.0.0.1:1"  # nothing listens there
STALL = -1
HANG_UP = -2
PAGE = (
    b'{"first_offset": 3, "next_offset": 5, "records": [{"offset": 4,'
    b' "id": "a", "kind": "k", "body": "b", "time_ms": 9}]}'
)


class Reply(NamedTuple):
    """Status and body; a negative status is a fault of the connection."""

    status: int
    body: bytes


class Server(http.server.ThreadingHTTPServer):
    """Answers with scripted replies; the last one stays."""

    daemon_threads = True

    def __init__(self) -> None:
        super().__init__(("127.0.0.1", 0), _Handler)
        self.replies: deque[Reply] = deque()
        self.seen: list[str] = []
        self.connections: list[object] = []
        self.released = threading.Event()
        self.url = f"http://127.0.0.1:{self.server_address[1]}"


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    server: Server

    def _answer(self) -> None:
        length = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(length).decode()
        self.server.seen.append(f"{self.command} {self.path} {body}".strip())
        self.server.connections.append(self.client_address)
        replies = self.server.replies
        reply = replies.popleft() if len(replies) > 1 else replies[0]
        if reply.status == STALL:
            self.server.released.wait(30)
        if reply.status < 0:
            self.close_connection = True
            return
        self.send_response(reply.status)
        self.send_header("Content-Length", str(len(reply.body)))
        self.end_headers()
        self.wfile.write(reply.body)

    do_GET = do_POST = _answer  # noqa: N815

    def log_message(self, format: str, *args: object) -> None:  # noqa: A002
        pass


@pytest.fixture
def server() -> Iterator[Server]:
    server = Server()
    thread = threading.Thread(target=server.serve_forever, daemon=True)
    thread.start()
    yield server
    server.released.set()
    server.shutdown()
    server.server_close()
    thread.join()


@pytest.fixture
def registry() -> prometheus_client.CollectorRegistry:
    return prometheus_client.CollectorRegistry()


def _config(*urls: str) -> ClientConfig:
    return ClientConfig(urls, read_timeout_s=0.2)


def _log(registry: prometheus_client.CollectorRegistry, *urls: str) -> HttpLog:
    return HttpLog(_config(*urls), PlatformCounters(registry))


APPEND_BODY = (
    '{"records":[{"id":"a","kind":"k","body":"b"},'
    '{"id":"c","kind":"k","body":"d"}]}'
)
ENTRIES = (LogEntry("a", "k", "b"), LogEntry("c", "k", "d"))


@pytest.mark.parametrize(
    ("reply", "may_have_applied", "reason"),
    [
        (Reply(429, b'{"error": {"code": "rate"}}'), False, "refused"),
        (Reply(503, b'{"error": {"code": "outage"}}'), False, "refused"),
        (Reply(503, b"bad gateway"), True, "bad_answer"),
        (Reply(500, b"{}"), True, "bad_answer"),
        (Reply(200, b"{}"), True, "bad_answer"),
        (Reply(STALL, b""), True, "timeout"),
        (Reply(HANG_UP, b""), True, "broken"),
    ],
)
def test_append_fault_says_whether_it_may_have_applied(
    server: Server,
    registry: prometheus_client.CollectorRegistry,
    reply: Reply,
    may_have_applied: bool,  # noqa: FBT001
    reason: str,
) -> None:
    server.replies.append(reply)
    result = _log(registry, server.url).append("rules", ENTRIES)
    assert isinstance(result, Failure)
    assert result.failure().may_have_applied is may_have_applied
    assert len(server.seen) == 1  # an append isn't repeated by itself
    assert _faults(registry, reason) == 1


def _faults(
    registry: prometheus_client.CollectorRegistry, reason: str
) -> float | None:
    return registry.get_sample_value(
        "savorylift_platform_faults_total", {"service": "log", "reason": reason}
    )


def test_append_without_connection_did_not_apply(
    registry: prometheus_client.CollectorRegistry,
) -> None:
    result = _log(registry, CLOSED_URL, CLOSED_URL).append("rules", ENTRIES)
    assert result.failure().may_have_applied is False
    assert _faults(registry, "connect") == 2


def test_append_and_read(
    server: Server, registry: prometheus_client.CollectorRegistry
) -> None:
    log = _log(registry, CLOSED_URL, server.url)
    server.replies.append(Reply(200, b'{"first_offset": 17}'))
    assert log.append("rules", ENTRIES) == Success(17)
    server.replies[0] = Reply(200, PAGE)
    record = LogRecord(4, "a", "k", "b", 9)
    assert log.read("rules", 2, 0.5) == Success(LogPage(3, 5, (record,)))
    assert server.seen == [
        f"POST /v1/streams/rules/records {APPEND_BODY}",
        "GET /v1/streams/rules/records?from=2&wait_ms=500&limit=500",
    ]
    assert server.connections[0] == server.connections[1]
    assert _faults(registry, "connect") == 1  # the working URL is kept


@pytest.mark.parametrize(
    "page",
    [
        PAGE.replace(b'"next_offset": 5', b'"next_offset": 4'),
        PAGE.replace(b'"first_offset": 3', b'"first_offset": 5'),
        PAGE.replace(b'"offset": 4', b'"offset": "4"'),
        PAGE[:-1],
    ],
)
def test_page_that_contradicts_itself_is_a_fault(
    server: Server,
    registry: prometheus_client.CollectorRegistry,
    page: bytes,
) -> None:
    server.replies.append(Reply(200, page))
    assert isinstance(_log(registry, server.url).read("rules", 0), Failure)


def test_connection_that_timed_out_is_not_used_again(
    server: Server, registry: prometheus_client.CollectorRegistry
) -> None:
    log = _log(registry, server.url)
    server.replies.extend([Reply(200, PAGE), Reply(STALL, b"")])
    server.replies.append(Reply(200, PAGE))
    assert isinstance(log.read("rules", 0), Success)
    assert isinstance(log.read("rules", 0), Failure)
    assert isinstance(log.read("rules", 0), Success)
    assert server.connections[1] == server.connections[0]
    assert server.connections[2] != server.connections[0]


def test_vm_list(
    server: Server, registry: prometheus_client.CollectorRegistry
) -> None:
    vms = HttpVmList(_config(server.url), PlatformCounters(registry))
    server.replies.append(
        Reply(
            200,
            b'{"vms": [{"vm": "runner-1", "incarnation": "3",'
            b' "leaving": true}]}',
        )
    )
    entry = VmEntry("runner-1", "3", leaving=True)
    assert vms.read() == Success((entry,))
    server.replies[0] = Reply(200, b'{"vms": [{}]}')
    assert isinstance(vms.read(), Failure)
