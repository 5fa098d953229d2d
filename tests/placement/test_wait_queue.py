"""Tests of the order in which waiting generations get an engine."""

import asyncio
import time

import pytest

from savorylift.backends.registry import BackendServer
from savorylift.placement.fair_share import FairShare
from savorylift.placement.unmet_needs import Need
from savorylift.placement.wait_queue import (
    BYPASS_LIMIT_S,
    MAX_LOOKED_AT,
    MAX_TRIED_IN_VAIN,
    SchedulingParameters,
    WaitQueue,
)
from tests.exchange.factories import make_server
from tests.wire.loopback import run_with_timeout


class EngineMemory:
    """Free memory of a single engine, in tokens."""

    def __init__(self, tokens: int = 0) -> None:
        """Starts with `tokens` free."""
        self.free_tokens = tokens
        self.order: list[str] = []

    def allocate(self, name: str, tokens: int) -> BackendServer | None:
        """Returns the engine if the tokens fit, and allocates them."""
        if tokens > self.free_tokens:
            return None
        self.free_tokens -= tokens
        self.order.append(name)
        return make_server()


def wait(
    queue: WaitQueue,
    memory: EngineMemory,
    name: str,
    priority: int,
    tokens: int,
    latest_start_in_s: float = 9.0,
    team: str = "",
    weight: int = 1,
) -> "asyncio.Task[BackendServer]":
    return asyncio.ensure_future(
        queue.wait(
            SchedulingParameters(priority, team, tokens / weight),
            time.monotonic() + latest_start_in_s,
            lambda: memory.allocate(name, tokens),
        )
    )


def test_urgent_generations_go_first_then_by_arrival() -> None:
    async def scenario() -> None:
        queue, memory = WaitQueue(), EngineMemory()
        tasks = [
            wait(queue, memory, name, priority, 1)
            for name, priority in [("c", 1), ("a", 0), ("d", 1), ("b", 0)]
        ]
        await asyncio.sleep(0)
        memory.free_tokens = 4
        queue.dispatch()
        await asyncio.gather(*tasks)
        assert memory.order == ["a", "b", "c", "d"]
        assert len(queue) == 0

    run_with_timeout(scenario())


def test_large_generation_is_not_starved_by_smaller_ones() -> None:
    async def scenario() -> None:
        queue, memory = WaitQueue(), EngineMemory()
        large = wait(queue, memory, "large", 1, 10)
        small = wait(queue, memory, "small", 1, 1)
        await asyncio.sleep(0)
        memory.free_tokens = 1
        queue.dispatch()
        await small
        late = wait(queue, memory, "late", 1, 1)
        await asyncio.sleep(BYPASS_LIMIT_S + 0.05)
        memory.free_tokens = 9
        queue.dispatch()
        assert not late.done()
        memory.free_tokens = 11
        queue.dispatch()
        await asyncio.gather(large, late)
        assert memory.order == ["small", "large", "late"]

    run_with_timeout(scenario())


def test_cancelled_generation_takes_no_room() -> None:
    async def scenario() -> None:
        queue, memory = WaitQueue(), EngineMemory()
        task = wait(queue, memory, "a", 1, 1)
        await asyncio.sleep(0)
        task.cancel()
        await asyncio.wait((task,))
        memory.free_tokens = 1
        queue.dispatch()
        assert (len(queue), memory.order) == (0, [])

    run_with_timeout(scenario())


def test_late_generations_go_after_those_that_can_be_on_time() -> None:
    async def scenario() -> None:
        queue, memory = WaitQueue(), EngineMemory()
        late = wait(queue, memory, "late", 0, 1, latest_start_in_s=-1.0)
        in_time = wait(queue, memory, "in time", 1, 1)
        await asyncio.sleep(0)
        memory.free_tokens = 2
        queue.dispatch()
        await asyncio.gather(late, in_time)
        assert memory.order == ["in time", "late"]

    run_with_timeout(scenario())


async def teams_served(weights: dict[str, int], *, rounds: int) -> list[str]:
    """Returns the teams in the order in which their generations get room.

    All generations of the first team arrive before those of the next one.
    """
    queue, memory = WaitQueue(), EngineMemory()
    tasks = []
    for team, weight in weights.items():
        for _ in range(rounds):
            task = wait(queue, memory, team, 1, 1, team=team, weight=weight)
            tasks.append(task)
            await asyncio.sleep(0)
    for _ in range(rounds):
        memory.free_tokens = 1
        queue.dispatch()
        await asyncio.sleep(0)
    for task in tasks:
        task.cancel()
    return memory.order


def test_team_that_floods_the_queue_gets_only_its_share() -> None:
    async def scenario() -> None:
        order = await teams_served({"loud": 1, "calm": 1}, rounds=12)
        assert order.count("calm") == 6
        # First come, first served would leave nothing to the other team.
        assert order[:2] == ["loud", "calm"]

    run_with_timeout(scenario())


def test_contended_room_is_divided_by_weight() -> None:
    async def scenario() -> None:
        order = await teams_served({"small": 1, "large": 3}, rounds=16)
        assert order.count("large") == 12

    run_with_timeout(scenario())


def test_idle_team_accumulates_no_credit() -> None:
    share = FairShare()
    for _ in range(50):
        share.charge("busy", 1.0)
    share.charge("idle", 1.0)
    assert share.start_tag("idle") >= 49.0
    assert share.start_tag("idle") - share.start_tag("busy") <= 1.0


def test_finish_tags_in_the_past_are_dropped() -> None:
    share = FairShare()
    for number in range(1000):
        share.charge(f"team-{number}", 1.0)
        share.charge("busy", 2.0)
    assert len(share._finish_tags) < 10


class FullEngine:
    """An engine without room, which counts how often it is asked."""

    def __init__(self) -> None:
        """Starts without any question."""
        self.asked = 0

    def find(self) -> BackendServer | None:
        """Returns that there is no room."""
        self.asked += 1
        return None


async def count_questions(waiting: int, changes: int) -> tuple[int, int]:
    """Returns the questions while generations come, and at changes."""
    queue, engine = WaitQueue(is_fleet_large=lambda: False), FullEngine()
    leave_s = time.monotonic() + 60.0
    tasks = [
        asyncio.ensure_future(
            queue.wait(
                SchedulingParameters(2, "", 100.0, 100),
                leave_s,
                engine.find,
                leave_s,
                lambda: Need("alike", 100, 50, 1000.0),
            )
        )
        for _ in range(waiting)
    ]
    await asyncio.sleep(0.01)
    at_arrival, engine.asked = engine.asked, 0
    for _ in range(changes):
        queue.dispatch_soon()
        queue.dispatch_soon()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
    assert len(queue) == waiting
    for task in tasks:
        task.cancel()
    await asyncio.wait(tasks)
    return at_arrival, engine.asked


@pytest.mark.parametrize("waiting", [10, 100, 1000, 5000])
def test_engines_are_asked_once_a_change_however_many_wait(
    waiting: int,
) -> None:
    async def scenario() -> None:
        at_arrival, at_changes = await count_questions(waiting, changes=20)
        assert at_arrival <= 2
        assert at_changes <= 20

    run_with_timeout(scenario())


@pytest.mark.parametrize("waiting", [1000, 5000])
def test_generations_that_differ_are_tried_in_vain_up_to_a_bound(
    waiting: int,
) -> None:
    async def scenario() -> None:
        queue, engine = WaitQueue(is_fleet_large=lambda: False), FullEngine()
        leave_s = time.monotonic() + 60.0
        tasks = [
            asyncio.ensure_future(
                queue.wait(
                    SchedulingParameters(2, "", 100.0, 100),
                    leave_s,
                    engine.find,
                    leave_s,
                )
            )
            for _ in range(waiting)
        ]
        await asyncio.sleep(0.01)
        engine.asked = 0
        queue.dispatch()
        assert engine.asked == MAX_TRIED_IN_VAIN
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)

    run_with_timeout(scenario())


def test_smaller_generation_overtakes_one_that_needs_more_of_the_same() -> None:
    async def scenario() -> None:
        queue, memory = WaitQueue(), EngineMemory(5)
        tasks = [
            asyncio.ensure_future(
                queue.wait(
                    SchedulingParameters(2, "", tokens, tokens),
                    time.monotonic() + 9.0,
                    lambda name=f"{tokens}", tokens=tokens: (  # type: ignore[misc]
                        memory.allocate(name, tokens)
                    ),
                    find_need=lambda tokens=tokens: (  # type: ignore[misc]
                        Need("alike", tokens, 1, 100.0)
                    ),
                )
            )
            for tokens in (9, 7, 3, 2)
        ]
        await asyncio.sleep(0.05)
        assert memory.order == ["3", "2"]
        for task in tasks:
            task.cancel()

    run_with_timeout(scenario())


def test_more_than_one_look_goes_over_all_get_room_that_is_free() -> None:
    async def scenario() -> None:
        waiting = 3 * MAX_LOOKED_AT
        queue, memory = WaitQueue(), EngineMemory(waiting)
        tasks = [wait(queue, memory, "one", 1, 1) for _ in range(waiting)]
        await asyncio.gather(*tasks)
        assert memory.free_tokens == 0

    run_with_timeout(scenario())
