"""Tests of nodes that see the store's return later than the others."""

import asyncio
import time

import pytest

from tests.front.node_fleet import NodeFleet
from tests.harness.ports import free_addresses

HEARTBEAT_S = 0.4
BEFORE_S = 1.0
AWAY_S = 2.0
# From the store's return until the node that was cut off is back.
LATE_S = 3.0
# After a removal, a server gets requests for this long at most.
DRAIN_S = 2.0
# Without a grace period, all nodes know of a removal after this time.
LEARNT_S = 0.9
WRITTEN_AGAIN_S = 1.5


class LateNode:
    """A fleet of which one node is cut off from the store and the others."""

    def __init__(self, index: int) -> None:
        self.fleet = NodeFleet(3, 3)
        self.index = index
        self.removed: set[str] = set()

    async def beat(self) -> None:
        """Writes the servers' entries again and again."""
        while True:
            for service, servers in (
                ("app", self.fleet.app),
                ("pool", self.fleet.pool),
            ):
                for server in servers:
                    if server.server_id not in self.removed:
                        self.fleet.publish_entry(server, service)
            await asyncio.sleep(HEARTBEAT_S)

    async def cut_through_an_outage(self, lapsed: str | None = None) -> None:
        """Returns as the store has come back and the node still is cut off."""
        (nowhere,) = free_addresses(1)
        store = self.fleet.nodes[self.index]._shared.store
        address = store._address
        self.fleet.cut_off(self.index)
        store._address = ("127.0.0.1", int(nowhere.partition(":")[2]))
        await asyncio.sleep(BEFORE_S)
        self.fleet.set_store_status(503)
        if lapsed is not None:
            self.removed.add(lapsed)
        await asyncio.sleep(AWAY_S)
        self._address = address

    def rejoin(self) -> None:
        """Brings the node back."""
        self.fleet.nodes[self.index]._shared.store._address = self._address
        self.fleet.rejoin(self.index)

    def knows(self, server_id: str) -> list[bool]:
        """Returns which nodes know a server."""
        return [
            node._shared.store_view.registry.is_registered(server_id)
            for node in self.fleet.nodes
        ]


@pytest.mark.parametrize("index", [0, 1, 2])
@pytest.mark.parametrize(
    ("after_s", "bound_s"),
    [
        pytest.param(0.1, DRAIN_S, id="just back"),
        (1.0, LEARNT_S),
        (2.0, LEARNT_S),
        (4.0, LEARNT_S),
        (8.0, LEARNT_S),
    ],
)
def test_removed_server_is_not_waited_for_by_a_node_that_is_back_late(
    index: int, after_s: float, bound_s: float
) -> None:
    async def scenario() -> None:
        late = LateNode(index)
        fleet = late.fleet
        async with fleet.running():
            beating = asyncio.ensure_future(late.beat())
            removed = fleet.app[0]
            await late.cut_through_an_outage()
            fleet.set_store_status(None)
            await asyncio.sleep(LATE_S)
            late.rejoin()
            await asyncio.sleep(after_s)
            late.removed.add(removed.server_id)
            fleet.remove_entry(removed)
            await asyncio.sleep(bound_s)
            assert late.knows(removed.server_id) == [False] * 3
            removed.arrivals.clear()
            await fleet.call_for("/safe/x", DRAIN_S)
            assert removed.arrivals == []
            beating.cancel()

    asyncio.run(scenario())


@pytest.mark.parametrize("index", [0, 1, 2])
@pytest.mark.parametrize("late_s", [0.2, 1.0])
def test_server_that_lapsed_is_kept_by_a_node_that_is_back_late(
    index: int, late_s: float
) -> None:
    async def scenario() -> None:
        late = LateNode(index)
        fleet = late.fleet
        async with fleet.running():
            beating = asyncio.ensure_future(late.beat())
            lapsed = fleet.app[0]
            await late.cut_through_an_outage(lapsed.server_id)
            fleet.remove_entry(lapsed)
            fleet.set_store_status(None)
            returned_s = time.monotonic()
            await asyncio.sleep(late_s)
            late.rejoin()
            while time.monotonic() < returned_s + 2 * WRITTEN_AGAIN_S:
                assert late.knows(lapsed.server_id) == [True] * 3
                await asyncio.sleep(0.02)
                is_due = time.monotonic() > returned_s + WRITTEN_AGAIN_S
                if is_due and lapsed.server_id in late.removed:
                    late.removed.discard(lapsed.server_id)
                    fleet.publish_entry(lapsed, "app")
            beating.cancel()

    asyncio.run(scenario())
