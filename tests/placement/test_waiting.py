"""Tests of the order in which generations that wait are served."""

import asyncio
import time

from savorylift.backends.registry import Known
from savorylift.placement.waiting import PASSED_BY_S, Waiting
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
) -> "asyncio.Task[Known]":
    return asyncio.ensure_future(
        waiting.wait(
            priority,
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
