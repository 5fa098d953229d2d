"""Tests of the order of moves."""

import pytest

from savorylift.moves.move_order import (
    PlannedMove,
    copy_time_s,
    is_next,
)
from tests.exchange.factories import ENGINE


def test_moves_off_one_engine_go_one_at_a_time_smallest_first() -> None:
    moves = [
        PlannedMove("e", 300, "a"),
        PlannedMove("e", 100, "b"),
        PlannedMove("e", 100, "c"),
        PlannedMove("f", 900, "d"),
    ]
    next_moves = [move.attempt_id for move in moves if is_next(move, moves)]
    assert next_moves == ["b", "d"]


def test_smaller_copy_does_not_overtake_one_that_has_begun() -> None:
    begun = PlannedMove("e", 300, "a", destination="f")
    small = PlannedMove("e", 100, "b")
    assert not is_next(small, [begun, small])
    assert is_next(small, [begun._replace(server_id="f"), small])


@pytest.mark.parametrize(
    ("tokens", "is_cross_domain", "expected_s"),
    [(0, False, 0.0), (4000, False, 0.2196), (4000, True, 0.4392)],
)
def test_copy_to_another_failure_domain_takes_twice_as_long(
    tokens: int, expected_s: float, *, is_cross_domain: bool
) -> None:
    took_s = copy_time_s(tokens, ENGINE, is_cross_domain=is_cross_domain)
    assert took_s == pytest.approx(expected_s, abs=0.001)
