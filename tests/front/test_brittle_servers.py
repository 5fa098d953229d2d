"""Tests of servers that fall over if they have to reject much."""

import asyncio
import time

import pytest

from tests.front.node_fleet import NodeFleet

SERVERS = 3
PLACES = 6
BRITTLE_AT = 2
RUN_S = 0.2
RESTART_S = 3.0
# Requests a second that all servers together can take, and the load on them.
CAPACITY = SERVERS * PLACES / RUN_S
OVERLOAD = 1.6
# Falls are counted from this time on after the servers first said so.
REACTION_S = 3.0
JUDGED_S = 6.0
MAX_FALLS = 2 + SERVERS // 10
MIN_SERVED_SHARE = 0.5


@pytest.mark.parametrize("path", ["/safe/x", "/once/x"])
@pytest.mark.parametrize("nodes", [2, 6])
def test_brittle_servers_are_not_pushed_over(nodes: int, path: str) -> None:
    async def scenario() -> None:
        fleet = NodeFleet(nodes, SERVERS)
        async with fleet.running():
            for server in fleet.app:
                server.delay_s = RUN_S
                server.places = PLACES
                server.restart_s = RESTART_S
                server.brittle_at = BRITTLE_AT
                server.on_restart = lambda earlier_id, s=server: (  # type: ignore[misc]
                    fleet.replace_entry(earlier_id, s, "app")
                )
            # Few requests at first: the servers say that they are brittle.
            await fleet.call_for(path, REACTION_S, 0.3 * CAPACITY)
            since_s = time.monotonic()
            await fleet.call_for(path, JUDGED_S, OVERLOAD * CAPACITY)
            await asyncio.sleep(1.0)
        falls = [
            t for server in fleet.app for t in server.crashes_s if t >= since_s
        ]
        endings = fleet.endings_since(since_s)
        served = sum(e.status == 200 for e in endings)
        assert len(falls) <= MAX_FALLS
        # A busy machine may offer less than the servers can take.
        offered = min(len(endings), CAPACITY * JUDGED_S)
        assert served >= MIN_SERVED_SHARE * offered
        refused = [e for e in endings if e.status == 503]
        assert all(e.retry_after_s for e in refused)

    asyncio.run(scenario())
