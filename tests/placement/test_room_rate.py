"""Tests of when callers are told to come back."""

import freezegun
import pytest

from savorylift.placement.room_rate import (
    LEAST_S,
    MOST_S,
    UNKNOWN_S,
    WINDOW_S,
    RoomRate,
)


@pytest.mark.parametrize(
    ("freed_per_s", "wanted", "expected_s"),
    [
        (4000, 8000, 2.0),
        (4000, 100, LEAST_S),
        (100, 8000, MOST_S),
    ],
)
def test_wait_is_as_long_as_room_takes(
    freed_per_s: int, wanted: int, expected_s: float
) -> None:
    with freezegun.freeze_time("2026-01-01") as clock:
        rate = RoomRate()
        for _ in range(int(WINDOW_S)):
            rate.note_freed(freed_per_s)
            clock.tick(1.0)
        assert rate.wait_s(wanted) == pytest.approx(expected_s, rel=0.1)


def test_nothing_is_known_before_a_run_ends_and_long_after() -> None:
    with freezegun.freeze_time("2026-01-01") as clock:
        rate = RoomRate()
        assert rate.wait_s(1000) == UNKNOWN_S
        rate.note_freed(10)
        assert rate.wait_s(1000) == MOST_S
        clock.tick(WINDOW_S + 1)
        assert rate.wait_s(1000) == UNKNOWN_S


def test_callers_who_come_back_then_find_room() -> None:
    """Those who are refused together come back one after another."""
    tokens, per_s = 4000, 2000
    with freezegun.freeze_time("2026-01-01") as clock:
        rate = RoomRate()
        for _ in range(int(WINDOW_S)):
            rate.note_freed(per_s)
            clock.tick(1.0)
        back_s = [rate.wait_s(tokens * (ahead + 1)) for ahead in range(4)]
    room = [per_s * at_s for at_s in back_s]
    assert all(
        tokens_then >= 0.99 * tokens * (ahead + 1)
        for ahead, tokens_then in enumerate(room)
    )
    # A fixed second leaves even the first without room.
    assert per_s * UNKNOWN_S < tokens
