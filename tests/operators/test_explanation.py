"""Tests of selecting the log entries that explain a request."""

import json

from savorylift.operators.explanation import explain_request


def log_line(time: int, event: str, vm: str = "a", **fields: object) -> str:
    common_fields = {"timestamp": f"2026-01-01T00:00:{time:02}Z", "vm": vm}
    return json.dumps({**common_fields, "event": event, **fields})


LOG_LINES = [
    log_line(9, "stream_broken", request="r1", reason="answer_lost"),
    log_line(1, "start", process=7),
    log_line(5, "sent", request="r1", server="i-1", ending="Started"),
    "prefix " + log_line(6, "server_changed", server="i-1", is_leaving=True),
    log_line(6, "server_changed", server="i-2", is_leaving=True),
    log_line(6, "server_changed", vm="b", server="i-1", is_leaving=True),
    log_line(7, "copied", request="r1", source="i-1", destination="i-3"),
    log_line(8, "server_removed", server="i-3"),
    log_line(8, "sent", request="r2", server="i-1"),
    log_line(10, "server_removed", server="i-1"),
    "no log line",
    "{}",
]


def test_explanation_includes_used_servers_and_nodes() -> None:
    events = [text.split()[2] for text in explain_request(LOG_LINES, "r1")]
    assert events == [
        "start",
        "sent",
        "server_changed",
        "copied",
        "server_removed",
        "stream_broken",
    ]


def test_explanation_of_a_refusal_includes_the_servers_in_its_way() -> None:
    lines = [
        log_line(1, "server_hold", server="i-1", asked_s=5.0),
        log_line(1, "server_leaves", server="i-2"),
        log_line(1, "server_hold", server="i-3", asked_s=5.0),
        log_line(2, "servers_blocked", request="r1", servers={"i-1": "hold"}),
        log_line(3, "answer", request="r1", status=503),
    ]
    events = [text.split()[2] for text in explain_request(lines, "r1")]
    assert events == ["server_hold", "servers_blocked", "answer"]


def test_unknown_request_has_no_explanation() -> None:
    assert explain_request(LOG_LINES, "r9") == []
