"""Tests of the order in which generations that wait are served."""

import asyncio
import time

from savorylift.backends.registry import Known
from savorylift.placement.fair_share import FairShare
from savorylift.placement.waiting import PASSED_BY_S, Claim, Waiting
from tests.exchange.fakes import known
from tests.wire.pair import run


class Room:
    """Memory that waiting generations take as they are chosen."""

    def __init__(self, tokens: int = 0) -> None:
        """Starts with `tokens` free."""
        self.tokens = tokens
        self.order: list[str] = []

    def take(self, name: str, tokens: int) -> Known | None:
        """Returns an engine if the tokens fit."""
        if tokens > self.tokens:
            return None
        self.tokens -= tokens
        self.order.append(name)
        return known()


def wait(
    waiting: Waiting,
    room: Room,
    name: str,
    priority: int,
    tokens: int,
    in_time_s: float = 9.0,
    team: str = "",
    weight: int = 1,
) -> "asyncio.Task[Known]":
    return asyncio.ensure_future(
        waiting.wait(
            Claim(priority, team, tokens / weight),
            time.monotonic() + in_time_s,
            lambda: room.take(name, tokens),
        )
    )


def test_urgent_first_then_by_arrival() -> None:
    async def scene() -> None:
        waiting, room = Waiting(), Room()
        tasks = [
            wait(waiting, room, name, priority, 1)
            for name, priority in [("c", 1), ("a", 0), ("d", 1), ("b", 0)]
        ]
        await asyncio.sleep(0)
        room.tokens = 4
        waiting.offer()
        await asyncio.gather(*tasks)
        assert room.order == ["a", "b", "c", "d"]
        assert len(waiting) == 0

    run(scene())


def test_small_ones_pass_a_large_one_for_a_while_only() -> None:
    async def scene() -> None:
        waiting, room = Waiting(), Room()
        large = wait(waiting, room, "large", 1, 10)
        small = wait(waiting, room, "small", 1, 1)
        await asyncio.sleep(0)
        room.tokens = 1
        waiting.offer()
        await small
        late = wait(waiting, room, "late", 1, 1)
        await asyncio.sleep(PASSED_BY_S + 0.05)
        room.tokens = 9
        waiting.offer()
        assert not late.done()
        room.tokens = 11
        waiting.offer()
        await asyncio.gather(large, late)
        assert room.order == ["small", "large", "late"]

    run(scene())


def test_one_that_gives_up_leaves_no_trace() -> None:
    async def scene() -> None:
        waiting, room = Waiting(), Room()
        task = wait(waiting, room, "a", 1, 1)
        await asyncio.sleep(0)
        task.cancel()
        await asyncio.wait((task,))
        room.tokens = 1
        waiting.offer()
        assert (len(waiting), room.order) == (0, [])

    run(scene())


def test_those_that_are_late_anyway_go_last() -> None:
    async def scene() -> None:
        waiting, room = Waiting(), Room()
        late = wait(waiting, room, "late", 0, 1, in_time_s=-1.0)
        in_time = wait(waiting, room, "in time", 1, 1)
        await asyncio.sleep(0)
        room.tokens = 2
        waiting.offer()
        await asyncio.gather(late, in_time)
        assert room.order == ["in time", "late"]

    run(scene())


async def flood(weights: dict[str, int], *, rounds: int) -> list[str]:
    """Returns whose generations go first when one team floods the others.

    The first team asks for all of its generations before the others ask.
    """
    waiting, room = Waiting(), Room()
    tasks = []
    for team, weight in weights.items():
        for _ in range(rounds):
            task = wait(waiting, room, team, 1, 1, team=team, weight=weight)
            tasks.append(task)
            await asyncio.sleep(0)
    for _ in range(rounds):
        room.tokens = 1
        waiting.offer()
        await asyncio.sleep(0)
    for task in tasks:
        task.cancel()
    return room.order


def test_team_that_floods_the_queue_gets_its_share_only() -> None:
    async def scene() -> None:
        order = await flood({"loud": 1, "calm": 1}, rounds=12)
        assert order.count("calm") == 6
        # First come, first served would leave nothing for the other team.
        assert order[:2] == ["loud", "calm"]

    run(scene())


def test_weights_divide_contended_room() -> None:
    async def scene() -> None:
        order = await flood({"small": 1, "large": 3}, rounds=16)
        assert order.count("large") == 12

    run(scene())


def test_team_that_was_idle_saves_nothing_up() -> None:
    share = FairShare()
    for _ in range(50):
        share.charge("busy", 1.0)
    share.charge("idle", 1.0)
    assert share.tag("idle") >= 49.0
    assert share.tag("idle") - share.tag("busy") <= 1.0


def test_forgets_teams_that_are_not_ahead() -> None:
    share = FairShare()
    for number in range(1000):
        share.charge(f"team-{number}", 1.0)
        share.charge("busy", 2.0)
    assert len(share._tags) < 10
