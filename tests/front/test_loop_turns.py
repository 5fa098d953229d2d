"""Tests of the time that the event loop is held by one turn."""

import asyncio
import time

from savorylift.front.loop_turns import make_measured_loop, take_longest_turn_s

HELD_S = 0.05
IDLE_S = 0.2


def test_longest_turn_counts_neither_waits_nor_what_was_told_before() -> None:
    async def scenario() -> None:
        take_longest_turn_s()
        await asyncio.sleep(IDLE_S)
        idle_s = take_longest_turn_s()
        assert idle_s is not None
        assert idle_s < IDLE_S
        time.sleep(HELD_S)
        for _ in range(3):
            await asyncio.sleep(0)
        held_s = take_longest_turn_s()
        assert held_s is not None
        assert held_s >= HELD_S
        await asyncio.sleep(0)
        later_s = take_longest_turn_s()
        assert later_s is not None
        assert later_s < HELD_S

    with asyncio.Runner(loop_factory=make_measured_loop) as runner:
        runner.run(scenario())
