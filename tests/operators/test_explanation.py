"""Tests of explaining a request from logs."""

import json

from savorylift.operators.explanation import explain


def line(time: int, event: str, vm: str = "a", **fields: object) -> str:
    known = {"timestamp": f"2026-01-01T00:00:{time:02}Z", "vm": vm}
    return json.dumps({**known, "event": event, **fields})


LINES = [
    line(9, "stream_broken", request="r1", reason="answer_lost"),
    line(1, "start", process=7),
    line(5, "sent", request="r1", server="i-1", ending="Started"),
    "prefix " + line(6, "server_changed", server="i-1", is_leaving=True),
    line(6, "server_changed", server="i-2", is_leaving=True),
    line(6, "server_changed", vm="b", server="i-1", is_leaving=True),
    line(7, "copied", request="r1", source="i-1", destination="i-3"),
    line(8, "server_removed", server="i-3"),
    line(8, "sent", request="r2", server="i-1"),
    line(10, "server_removed", server="i-1"),
    "no log line",
    "{}",
]


def test_tells_what_happened_to_a_request_and_what_it_met() -> None:
    told = [text.split()[2] for text in explain(LINES, "r1")]
    assert told == [
        "start",
        "sent",
        "server_changed",
        "copied",
        "server_removed",
        "stream_broken",
    ]


def test_unknown_request_has_no_explanation() -> None:
    assert explain(LINES, "r9") == []
