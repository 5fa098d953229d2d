"""Tests of bounded logs that never wait."""

import json
import os

import freezegun
import structlog

from savorylift.front.log_output import (
    PENDING_BYTES,
    LineBudget,
    LineWriter,
    configure_logs,
)


def test_kinds_are_bounded_apart_and_what_is_dropped_is_told() -> None:
    with freezegun.freeze_time("2026-01-01") as clock:
        budget = LineBudget(2)
        assert [budget.allows("a") for _ in range(4)] == [
            True,
            True,
            False,
            False,
        ]
        assert budget.allows("b")
        clock.tick(1.1)
        assert budget.allows("a")
        assert budget.take_dropped() == {"a": 2}
        assert budget.take_dropped() == {}


def test_full_pipe_never_blocks() -> None:
    reader, writer = os.pipe()
    lines = LineWriter(writer)
    line = "x" * 999
    for _ in range(2 * PENDING_BYTES // 1000):
        lines.write(line)
    assert lines.lost_lines > 0
    os.set_blocking(reader, False)
    assert os.read(reader, 2000).startswith(b"xxx")
    os.close(reader)
    lines.write(line)
    os.close(writer)


def test_lines_are_json_with_the_vm() -> None:
    reader, writer = os.pipe()
    try:
        configure_logs("vm-7", 10, writer)
        structlog.get_logger().info("answer", request="a1", status=200)
        line = json.loads(os.read(reader, 4000))
    finally:
        structlog.reset_defaults()
        os.close(reader)
        os.close(writer)
    assert line["event"] == "answer"
    assert (line["vm"], line["request"], line["level"]) == (
        "vm-7",
        "a1",
        "info",
    )
