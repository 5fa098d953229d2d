"""Tests of servers that want nothing for a while."""

import random

import pytest
from structlog.testing import capture_logs

from savorylift.exchange.server_holds import (
    MAX_HOLD_S,
    MAX_RETURN_SPREAD,
    MAX_SPREAD,
    ServerHolds,
)


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> list[float]:
    now_s = [100.0]
    monkeypatch.setattr("time.monotonic", lambda: now_s[0])
    return now_s


def make_holds(seed: int = 1) -> ServerHolds:
    return ServerHolds(random.Random(seed))


def test_server_is_held_for_its_time_and_not_much_longer(
    clock: list[float],
) -> None:
    holds = make_holds()
    holds.record("i-1", 5.0)
    assert not holds.is_held("i-2")
    clock[0] += 4.99
    assert holds.is_held("i-1")
    clock[0] += 5.0 * MAX_SPREAD + 0.02
    assert not holds.is_held("i-1")


def test_shorter_hold_does_not_end_a_longer_one(clock: list[float]) -> None:
    holds = make_holds()
    holds.record("i-1", 5.0)
    holds.record("i-1", 0.1)
    clock[0] += 4.9
    assert holds.is_held("i-1")


def test_absurd_hold_is_capped(clock: list[float]) -> None:
    holds = make_holds()
    holds.record("i-1", 86_400.0)
    clock[0] += MAX_HOLD_S * (1 + MAX_SPREAD) + 0.1
    assert not holds.is_held("i-1")
    holds.forget_ended()
    assert holds.shortest_s(["i-1"]) is None


def test_shortest_hold_counts_if_all_servers_are_held(
    clock: list[float],
) -> None:
    holds = make_holds()
    holds.record("i-1", 5.0)
    assert holds.shortest_s(["i-1", "i-2"]) is None
    holds.record("i-2", 1.0)
    shortest_s = holds.shortest_s(["i-1", "i-2"])
    assert shortest_s is not None
    assert 1.0 <= shortest_s <= 1.0 + MAX_SPREAD
    assert holds.shortest_s([]) is None


def test_begin_and_end_of_a_hold_are_logged(clock: list[float]) -> None:
    with capture_logs() as logged:
        holds = make_holds()
        holds.record("i-1", 86_400.0)
        holds.record("i-1", 5.0)
        clock[0] += MAX_HOLD_S * (1 + MAX_SPREAD) + 0.1
        holds.forget_ended()
        holds.forget_ended()
    begin, end = logged
    assert begin["event"] == "server_hold"
    assert begin["asked_s"] == 86_400.0
    assert begin["kept_s"] <= MAX_HOLD_S * (1 + MAX_SPREAD)
    assert (end["event"], end["server"]) == ("server_hold_ended", "i-1")


def test_callers_may_return_at_different_times_after_the_hold(
    clock: list[float],
) -> None:
    holds = make_holds()
    holds.record("i-1", 5.0)
    left_s = holds.shortest_s(["i-1"])
    assert left_s is not None
    returns = [holds.assign_return_s(["i-1"]) for _ in range(20)]
    assert len(set(returns)) == 20
    for return_s in returns:
        assert return_s is not None
        assert left_s <= return_s <= left_s * (1 + MAX_RETURN_SPREAD)
    assert holds.assign_return_s(["i-1", "i-2"]) is None


def test_holds_of_several_nodes_end_at_different_times(
    clock: list[float],
) -> None:
    ends = set()
    for seed in range(10):
        holds = make_holds(seed)
        holds.record("i-1", 5.0)
        ends.add(holds.shortest_s(["i-1"]))
    assert len(ends) == 10
