"""Tests of rate-limited, non-blocking log output."""

import json
import os

import freezegun
import structlog

from savorylift.front.log_output import (
    MAX_PENDING_BYTES,
    LineRateLimiter,
    LineWriter,
    configure_logging,
)


def test_each_event_has_its_own_limit_and_drops_are_counted() -> None:
    with freezegun.freeze_time("2026-01-01") as clock:
        rate_limiter = LineRateLimiter(2)
        assert [rate_limiter.allow("a") for _ in range(4)] == [
            True,
            True,
            False,
            False,
        ]
        assert rate_limiter.allow("b")
        clock.tick(1.1)
        assert rate_limiter.allow("a")
        assert rate_limiter.pop_dropped() == {"a": 2}
        assert rate_limiter.pop_dropped() == {}


def test_full_pipe_never_blocks() -> None:
    reader, writer = os.pipe()
    lines = LineWriter(writer)
    line = "x" * 999
    for _ in range(2 * MAX_PENDING_BYTES // 1000):
        lines.write(line)
    assert lines.lost_lines > 0
    os.set_blocking(reader, False)
    assert os.read(reader, 2000).startswith(b"xxx")
    os.close(reader)
    lines.write(line)
    os.close(writer)


def test_lines_are_json_and_name_the_vm() -> None:
    reader, writer = os.pipe()
    try:
        configure_logging("vm-7", 10, writer)
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
