"""Tests of when planners look at the runs that wait for their turns."""

import asyncio
import itertools
import time

import pytest

from savorylift.moves.plan_timers import (
    MAX_LATE_S,
    MAX_PAUSE_S,
    PAUSE_PER_PLAN,
    SHARE_DELAY_S,
    PlanTimers,
)
from tests.harness.virtual_time import run_in_virtual_time, stand_still

# Engines leave with at least so much notice.
LEAST_NOTICE_S = 1.5


class Planner:
    """Makes plans that take a time, and for which there is always a reason."""

    def __init__(
        self, plan_s: float = 0.0, *, is_restless: bool = False
    ) -> None:
        """Creates a planner without plans.

        Args:
            plan_s: Time that a plan takes.
            is_restless: Whether something new comes during each plan.
        """
        self.plan_s = plan_s
        self.timers = PlanTimers(self.plan)
        self._is_restless = is_restless
        self.begun: list[tuple[str, float]] = []

    def plan(self, service: str) -> None:
        """Makes a plan."""
        self.begun.append((service, time.monotonic()))
        stand_still(self.plan_s)
        if self._is_restless:
            self.timers.set(service, 0.0)


def test_what_comes_at_once_shares_a_plan(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        planner = Planner(0.005)
        begun_s = time.monotonic()
        for _ in range(5):
            planner.timers.set("s")
            await asyncio.sleep(SHARE_DELAY_S / 8)
        await asyncio.sleep(1.0)
        ((_, plan_s),) = planner.begun
        assert plan_s - begun_s == pytest.approx(SHARE_DELAY_S)

    run_in_virtual_time(monkeypatch, scenario)


def test_news_after_a_pause_is_planned_with_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        planner = Planner(0.005)
        planner.timers.set("s")
        await asyncio.sleep(SHARE_DELAY_S + 0.005 * (1 + PAUSE_PER_PLAN))
        news_s = time.monotonic()
        planner.timers.set("s")
        # A link is free: that goes before the wait for more requests.
        planner.timers.set("s", 0.0)
        await asyncio.sleep(1.0)
        assert [t for _, t in planner.begun[1:]] == [pytest.approx(news_s)]

    run_in_virtual_time(monkeypatch, scenario)


@pytest.mark.parametrize("plan_s", [0.0005, 0.002, 0.0064])
@pytest.mark.parametrize("services", [1, 3])
def test_plans_take_a_tenth_of_the_time_at_most(
    monkeypatch: pytest.MonkeyPatch, plan_s: float, services: int
) -> None:
    async def scenario() -> None:
        planner = Planner(plan_s, is_restless=True)
        for number in range(services):
            planner.timers.set(f"s{number}")
        begun_s = time.monotonic()
        await asyncio.sleep(2.0)
        took_s = time.monotonic() - begun_s
        share = len(planner.begun) * plan_s / took_s
        assert 0.08 < share <= 1 / (1 + PAUSE_PER_PLAN) + 0.005
        # Services take turns.
        names = [name for name, _ in planner.begun]
        counts = [names.count(name) for name in set(names)]
        assert len(counts) == services
        assert max(counts) - min(counts) <= 1

    run_in_virtual_time(monkeypatch, scenario)


def test_engines_of_many_services_leave_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The last service's plan came after 1.5 s, as its engines stopped."""

    async def scenario() -> None:
        planner = Planner(0.011, is_restless=True)
        services = [f"s{number}" for number in range(15)]
        begun_s = time.monotonic()
        for service in services:
            planner.timers.set(service)
        await asyncio.sleep(4.0)
        first = planner.begun[: len(services)]
        assert {service for service, _ in first} == set(services)
        assert first[-1][1] - begun_s < SHARE_DELAY_S + 0.011 * len(services)
        for service in services:
            times_s = [t for name, t in planner.begun if name == service]
            waits_s = [b - a for a, b in itertools.pairwise(times_s)]
            assert max(waits_s) < LEAST_NOTICE_S

    run_in_virtual_time(monkeypatch, scenario)


def test_pause_after_a_long_plan_is_bounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        planner = Planner(0.05, is_restless=True)
        planner.timers.set("s")
        await asyncio.sleep(2.0)
        times = [t for _, t in planner.begun]
        assert all(
            b - a == pytest.approx(0.05 + MAX_PAUSE_S)
            for a, b in itertools.pairwise(times)
        )

    run_in_virtual_time(monkeypatch, scenario)


def test_plan_after_a_standstill_waits_for_what_came_meanwhile(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        planner = Planner()
        planner.timers.set("s")
        stand_still(MAX_LATE_S + SHARE_DELAY_S + 0.001)
        woke_s = time.monotonic()
        await asyncio.sleep(1.0)
        ((_, plan_s),) = planner.begun
        assert plan_s - woke_s == pytest.approx(SHARE_DELAY_S)

    run_in_virtual_time(monkeypatch, scenario)


def test_loop_that_calls_all_timers_late_makes_plans(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        planner = Planner()
        planner.timers.set("s")
        for _ in range(5):
            stand_still(2 * MAX_LATE_S)
            await asyncio.sleep(0)
        assert len(planner.begun) == 1

    run_in_virtual_time(monkeypatch, scenario)


def test_plan_that_fails_keeps_no_service_from_its_turn(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    planned: list[str] = []

    def plan(service: str) -> None:
        planned.append(service)
        if service == "bad":
            raise ValueError

    async def scenario() -> None:
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        timers = PlanTimers(plan)
        timers.set("bad")
        timers.set("good")
        await asyncio.sleep(1.0)

    run_in_virtual_time(monkeypatch, scenario)
    assert planned == ["bad", "good"]
