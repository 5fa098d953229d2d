"""Load reports over HTTP from a server that misbehaves on demand."""

import json
import threading
from collections.abc import Iterator
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import pytest

from savorylift.permits.evidence import LoadReport
from savorylift.permits.load import LoadOptions, LoadPoller
from savorylift.rules.view import RulesSource
from tests.permits.fakes import rules_of, server

GOOD = {"incarnation": "3", "cold": True, "leaving": False, "running": 2}


class Handler(BaseHTTPRequestHandler):
    """Answers with `status` and `body`."""

    body = b""
    status = 200

    def do_GET(self) -> None:
        self.send_response(self.status)
        self.send_header("Content-Length", str(len(self.body)))
        self.end_headers()
        self.wfile.write(self.body)

    def log_message(self, format: str, *args: object) -> None:  # noqa: A002
        """Stays silent."""


@pytest.fixture
def address() -> Iterator[str]:
    http = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    threading.Thread(target=http.serve_forever, daemon=True).start()
    yield f"127.0.0.1:{http.server_address[1]}"
    http.shutdown()
    http.server_close()


PREEMPTED: list[tuple[str, int]] = []


def poll(address: str) -> tuple[list[LoadReport], list[tuple[str, str]]]:
    rules = rules_of(server()._replace(address=address))
    reports: list[LoadReport] = []
    leaving: list[tuple[str, str]] = []
    poller = LoadPoller(
        RulesSource(rules),
        lambda: ("runner-1", "unknown"),
        lambda _, report: reports.append(report),
        lambda vm, incarnation: leaving.append((vm, incarnation)),
        lambda name, count: PREEMPTED.append((name, count)),
        LoadOptions(timeout_s=0.2),
    )
    assert poller.poll_due() > 0
    return reports, leaving


def test_preemptions_since_the_last_report_are_told(address: str) -> None:
    PREEMPTED.clear()
    Handler.status = 200
    poller = LoadPoller(
        RulesSource(rules_of(server()._replace(address=address))),
        lambda: ("runner-1",),
        lambda *_: None,
        lambda *_: None,
        lambda name, count: PREEMPTED.append((name, count)),
        LoadOptions(interval_s=0.0, timeout_s=0.2),
    )
    for incarnation, count in (("3", 5), ("3", 7), ("4", 9), ("4", 9)):
        load = {**GOOD, "incarnation": incarnation, "preemptions": count}
        Handler.body = json.dumps(load).encode()
        poller.poll_due()
    assert PREEMPTED == [("runner-1", 2)]


def test_reads_reports_and_leaving(address: str) -> None:
    Handler.status = 200
    Handler.body = json.dumps({**GOOD, "waiting": 1, "leaving": True}).encode()
    reports, leaving = poll(address)
    assert [r.active for r in reports] == [3]
    assert reports[0].cold
    assert leaving == [("runner-1", "3")]


@pytest.mark.parametrize(
    ("status", "body"),
    [
        (200, b"{"),
        (200, b"[]"),
        (200, b'{"incarnation": 3}'),
        (500, json.dumps(GOOD).encode()),
        (200, b" " * 70_000),
    ],
)
def test_unusable_reports_change_nothing(
    address: str, status: int, body: bytes
) -> None:
    Handler.status, Handler.body = status, body
    assert poll(address) == ([], [])


def test_no_server_changes_nothing() -> None:
    assert poll("127.0.0.1:9") == ([], [])
