"""Tests that a task gives way to others while its input never runs out."""

import asyncio

import pytest

from savorylift.wire.coop_budget import (
    BYTES_PER_STEP,
    STEPS_PER_TURN,
    CoopBudget,
)


@pytest.mark.parametrize(
    ("size", "steps"),
    [
        (0, STEPS_PER_TURN),
        (BYTES_PER_STEP - 1, STEPS_PER_TURN),
        (BYTES_PER_STEP, STEPS_PER_TURN // 2),
        (BYTES_PER_STEP * STEPS_PER_TURN, 1),
    ],
)
def test_gives_way_when_the_budget_is_used_up(size: int, steps: int) -> None:
    async def scenario() -> None:
        has_run = asyncio.Event()
        asyncio.get_running_loop().call_soon(has_run.set)
        budget = CoopBudget()
        for _ in range(steps - 1):
            await budget.spend(size)
        assert not has_run.is_set()
        await budget.spend(size)
        assert has_run.is_set()

    asyncio.run(scenario())
