"""Faults of nodes that miss that engines of another version join."""

import asyncio

from tests.soak.fault_context import FaultAction, FaultContext
from tests.soak.node_faults import NODES
from tests.soak.shape import Fault

# From the moment at which nodes fall behind until an engine joins, and from
# then until they are back.
JOIN_AFTER_S = (0.0, 1.0)
BEHIND_S = (0.5, 5.0)
# By then a node has handled a signal.
SIGNAL_S = 0.1


class JoinFaults:
    """Lets engines join while nodes are out of step."""

    def __init__(self, context: FaultContext) -> None:
        """Brings nothing about yet."""
        self._context = context
        self._fleet = context.fleet
        self._rng = context.rng

    def actions(self) -> dict[Fault, FaultAction]:
        """Returns what brings each fault about and waits for its end."""
        return {Fault.JOIN: self._join}

    async def _join(self) -> None:
        if not self._context.take(NODES):
            return
        ips = self._rng.sample(
            self._fleet.ips, self._rng.randint(1, len(self._fleet.ips) - 1)
        )
        stops = self._rng.choice((True, False))
        version = self._rng.choice(self._context.shape.releases)
        how = "stand still" if stops else "are cut off"
        self._context.describe(f"{ips} {how}, an engine joins at {version}")
        await self._put_out_of_step(ips, stops=stops)
        await asyncio.sleep(self._rng.uniform(*JOIN_AFTER_S))
        engine = await self._fleet.add_engine(version)
        self._fleet.publish_entry(engine, self._fleet.engine_service)
        await asyncio.sleep(self._rng.uniform(*BEHIND_S))
        await self._bring_back(ips, stops=stops)
        self._context.release(NODES)

    async def _put_out_of_step(self, ips: list[str], *, stops: bool) -> None:
        """Cuts nodes off from others and the store, and may stop them."""
        self._fleet.cut_off_nodes(ips)
        for ip in ips:
            self._fleet.cut_off_store(ip)
        await asyncio.sleep(SIGNAL_S)
        if stops:
            for ip in ips:
                self._fleet.processes[ip].pause()

    async def _bring_back(self, ips: list[str], *, stops: bool) -> None:
        """Lets nodes go on; those that stood still hear nobody at first."""
        if stops:
            for ip in ips:
                self._fleet.processes[ip].resume()
            await asyncio.sleep(self._rng.uniform(*BEHIND_S))
        self._fleet.heal_nodes(ips)
