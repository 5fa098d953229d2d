"""Tests of when callers may return that limits of servers refused."""

import asyncio

import pytest

from savorylift.limits.return_times import MAX_RETURN_S, ReturnTimes
from tests.harness.virtual_time import run_in_virtual_time


def run(
    monkeypatch: pytest.MonkeyPatch,
    limits: dict[str, float],
    nodes: int,
    callers: int,
) -> list[float]:
    """Refuses callers at the same time; returns when each may return."""
    returns_s: list[float] = []

    async def scenario() -> None:
        times = ReturnTimes()
        returns_s.extend(times.assign_s(limits, nodes) for _ in range(callers))

    run_in_virtual_time(monkeypatch, scenario)
    return returns_s


@pytest.mark.parametrize(
    ("limits", "nodes", "expected_s"),
    [
        pytest.param({"a": 2.0}, 1, [0.5, 1.0, 1.5], id="one node"),
        pytest.param({"a": 2.0}, 4, [2.0, 4.0, 6.0], id="shared by four"),
        pytest.param(
            {"a": 2.0, "b": 2.0}, 1, [0.5, 0.5, 1.0], id="two servers in turns"
        ),
        pytest.param({"a": 0.0}, 1, [8.0, 8.0, 8.0], id="no requests at all"),
        pytest.param({"a": 0.2}, 1, [5.0, 8.0, 8.0], id="at most so long"),
    ],
)
def test_refused_callers_return_as_servers_take_them(
    monkeypatch: pytest.MonkeyPatch,
    limits: dict[str, float],
    nodes: int,
    expected_s: list[float],
) -> None:
    returns_s = run(monkeypatch, limits, nodes, len(expected_s))
    assert returns_s == pytest.approx(expected_s)
    assert max(returns_s) <= MAX_RETURN_S


def test_passed_times_delay_no_later_caller(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        times = ReturnTimes()
        for _ in range(3):
            times.assign_s({"a": 1.0}, 1)
        await asyncio.sleep(2.0)
        times.forget_passed()
        assert times.assign_s({"a": 1.0}, 1) == pytest.approx(2.0)
        await asyncio.sleep(2.5)
        times.forget_passed()
        assert times.assign_s({"a": 1.0}, 1) == pytest.approx(1.0)

    run_in_virtual_time(monkeypatch, scenario)
