"""Faults of fleets whose engines change their software versions."""

import asyncio

from tests.soak.engine_faults import EngineFaults
from tests.soak.fault_context import FaultContext
from tests.soak.join_faults import JoinFaults
from tests.soak.node_faults import NodeFaults
from tests.soak.notice_faults import NoticeFaults
from tests.soak.store_faults import StoreFaults


class VersionFaults:
    """Brings about the faults of a shape, which may overlap."""

    def __init__(self, context: FaultContext) -> None:
        """Brings nothing about yet."""
        self._context = context
        self._actions = {
            **EngineFaults(context).actions(),
            **NodeFaults(context).actions(),
            **JoinFaults(context).actions(),
            **StoreFaults(context).actions(),
            **NoticeFaults(context).actions(),
        }

    async def run(self, duration_s: float) -> None:
        """Begins faults for a time, and waits for their ends."""
        loop = asyncio.get_running_loop()
        rng, shape = self._context.rng, self._context.shape
        until_s = loop.time() + duration_s
        running = []
        while loop.time() < until_s:
            await asyncio.sleep(rng.uniform(*shape.fault_interval_s))
            if shape.faults:
                action = self._actions[rng.choice(shape.faults)]
                running.append(asyncio.ensure_future(action()))
        await asyncio.gather(*running)
