"""Shares the event loop between connections whose input never runs out."""

import asyncio

# Steps between two turns of the other tasks.
STEPS_PER_TURN = 16
# Input that costs as much as a step of its own.
BYTES_PER_STEP = 1024


class CoopBudget:
    """Steps that a task may take before it gives way to the others.

    Reading from a connection doesn't wait while input is buffered, so that a
    peer that sends faster than its input is handled would keep the loop.
    """

    def __init__(self) -> None:
        """Creates a budget that is not used yet."""
        self._steps = 0

    async def spend(self, size: int = 0) -> None:
        """Takes one step, and gives way if the budget is used up.

        Args:
            size: Bytes of input that the step is about.
        """
        self._steps += 1 + size // BYTES_PER_STEP
        if self._steps >= STEPS_PER_TURN:
            self._steps = 0
            await asyncio.sleep(0)
