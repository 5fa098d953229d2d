"""Tests of servers whose removal the store has forgotten."""

import asyncio
import time

import pytest

from tests.front.node_fleet import NodeFleet

# Servers whose entries have lapsed write again within this time.
BACK_S = 2.0
LEARNT_S = 0.5
AWAY_S = 1.2


@pytest.mark.parametrize("nodes", [1, 6, 24])
def test_removed_server_that_a_copy_of_the_store_has_gets_nothing(
    nodes: int,
) -> None:
    async def scenario() -> None:
        fleet = NodeFleet(nodes, 3)
        async with fleet.running():
            removed = fleet.app[0]
            # Only the store's readers hear of a heartbeat.
            fleet.publish_entry(removed, "app")
            await asyncio.sleep(LEARNT_S)
            topics = fleet.copy_store()
            fleet.remove_entry(removed)
            await asyncio.sleep(LEARNT_S)
            fleet.restore_store(topics)
            await asyncio.sleep(2 * LEARNT_S)
            removed.arrivals.clear()
            await fleet.call_for("/safe/x", 2.0)
            assert removed.arrivals == []
            fleet.publish_entry(removed, "app")
            written_s = time.monotonic()
            while not removed.arrivals:
                await fleet.call(fleet.ips[-1], "/safe/x", "a1")
            assert time.monotonic() - written_s < BACK_S
        assert all(ending.status == 200 for ending in fleet.endings)

    asyncio.run(scenario())


@pytest.mark.parametrize("nodes", [2, 6, 24])
def test_server_that_lapsed_is_back_at_all_nodes(nodes: int) -> None:
    async def scenario() -> None:
        fleet = NodeFleet(nodes, 2)
        async with fleet.running():
            lapsed, draining = fleet.app
            fleet.set_store_status(503)
            await asyncio.sleep(AWAY_S)
            fleet.remove_entry(lapsed)
            fleet.publish_entry(draining, "app", "draining")
            fleet.set_store_status(None)
            await asyncio.sleep(LEARNT_S)
            fleet.publish_entry(lapsed, "app")
            await asyncio.sleep(BACK_S)
            for ip in fleet.ips:
                await fleet.call(ip, "/safe/x", f"a-{ip}")
        assert [ending.status for ending in fleet.endings] == [200] * nodes

    asyncio.run(scenario())
