"""Tests of when refused callers are told to retry."""

import freezegun
import pytest

from savorylift.placement.memory_release_rate import (
    DEFAULT_WAIT_S,
    MAX_WAIT_S,
    MIN_WAIT_S,
    WINDOW_S,
    MemoryReleaseRate,
)


@pytest.mark.parametrize(
    ("released_per_s", "wanted", "expected_s"),
    [
        (4000, 8000, 2.0),
        (4000, 100, MIN_WAIT_S),
        (100, 8000, MAX_WAIT_S),
    ],
)
def test_wait_follows_the_release_rate_within_bounds(
    released_per_s: int, wanted: int, expected_s: float
) -> None:
    with freezegun.freeze_time("2026-01-01") as clock:
        rate = MemoryReleaseRate()
        for _ in range(int(WINDOW_S)):
            rate.record_release(released_per_s)
            clock.tick(1.0)
        assert rate.wait_s(wanted) == pytest.approx(expected_s, rel=0.1)


def test_default_wait_without_recent_releases() -> None:
    with freezegun.freeze_time("2026-01-01") as clock:
        rate = MemoryReleaseRate()
        assert rate.wait_s(1000) == DEFAULT_WAIT_S
        rate.record_release(10)
        assert rate.wait_s(1000) == MAX_WAIT_S
        clock.tick(WINDOW_S + 1)
        assert rate.wait_s(1000) == DEFAULT_WAIT_S


def test_callers_who_retry_when_told_find_room() -> None:
    """Guards against a retry time that is too short for the queue ahead.

    Callers that are refused together count as one queue, so each is told to
    come back after those ahead of it.
    """
    tokens, per_s = 4000, 2000
    with freezegun.freeze_time("2026-01-01") as clock:
        rate = MemoryReleaseRate()
        for _ in range(int(WINDOW_S)):
            rate.record_release(per_s)
            clock.tick(1.0)
        waits_s = [rate.wait_s(tokens * (ahead + 1)) for ahead in range(4)]
    released = [per_s * wait_s for wait_s in waits_s]
    assert all(
        released_then >= 0.99 * tokens * (ahead + 1)
        for ahead, released_then in enumerate(released)
    )
    # The fixed default wait would leave even the first without room.
    assert per_s * DEFAULT_WAIT_S < tokens
