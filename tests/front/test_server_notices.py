"""Tests of what servers say in their answers: that they leave, or want less."""

import asyncio
import time

import pytest

from savorylift.front.status import STATUS_PATH
from tests.front.environment import (
    NodeEnvironment,
    decode_body,
    run_in_environment,
)
from tests.front.node_fleet import NodeFleet
from tests.standins.platform_server import PlatformServer

TOKEN_COUNTS = (("x-savorylift-token-counts", "100,50"),)
PATHS = ["/safe/x", "/once/x", "/stream/x", "/resumable/x"]
PER_S = 30.0
# Requests may still reach a server for this long after it said that it leaves.
DRAIN_S = 2.0
JUDGED_S = 2.0
HOLD_S = 3.0
# From this time on after a rejection, at most so many requests may come.
HOLD_REACTION_S = 0.5
MAX_IN_HOLD = 2
AT_ONCE_S = 0.3
FIRST_RUN_TIMEOUT_S = 10.0


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("nodes", [2, 6])
def test_server_that_says_it_leaves_gets_no_more_requests(
    nodes: int, path: str
) -> None:
    async def scenario() -> None:
        fleet = NodeFleet(nodes, 3)
        async with fleet.running():
            leaving = fleet.service(path)[0]
            # Nodes may learn of the notice by a check, before a request does.
            await call_until_run(fleet, leaving, path)
            leaving.says_leaving = True
            began_s = time.monotonic()
            await fleet.call_for(path, DRAIN_S + JUDGED_S, PER_S)
            # Its entry goes on to say that it is ready.
            service = "app" if leaving in fleet.app else "pool"
            fleet.publish_entry(leaving, service)
            await fleet.call_for(path, 1.0, PER_S)
            await asyncio.sleep(0.5)
        late = [t for t in leaving.arrivals if t > began_s + DRAIN_S]
        assert late == []
        assert leaving.runs
        for endings in (fleet.endings, fleet.endings_since(began_s)):
            served = sum(e.status == 200 for e in endings)
            assert served >= 0.95 * len(endings)

    asyncio.run(scenario())


async def call_until_run(
    fleet: NodeFleet, server: PlatformServer, path: str
) -> None:
    """Sends requests until a server has got one of them."""
    async with asyncio.timeout(FIRST_RUN_TIMEOUT_S):
        while not server.runs:
            await fleet.call_for(path, 1 / PER_S, PER_S)


def test_server_that_starts_again_counts_as_new() -> None:
    async def scenario(env: NodeEnvironment) -> None:
        for server in env.app:
            server.says_leaving = True
        for number in range(6):
            await env.call("/safe/x", f"a{number}")
        refused = await env.call("/safe/x", "b1")
        assert refused.status == 503
        assert refused.header("retry-after")
        env.app[0].says_leaving = False
        env.app[0].born = 2
        env.publish_entry(env.app[0], "app")
        await asyncio.sleep(0.4)
        assert (await env.call("/safe/x", "b2")).status == 200

    run_in_environment(scenario)


def test_run_is_moved_off_an_engine_that_says_it_leaves() -> None:
    async def scenario(env: NodeEnvironment) -> None:
        for server in env.pool:
            server.events_per_stream = 100
        call = await env.open_call("/stream/x", "s1", TOKEN_COUNTS)
        await call.read_head()
        (leaving,) = [s for s in env.pool if "s1" in s.runs]
        leaving.says_leaving = True
        # Another answer says so while the stream goes on.
        await asyncio.gather(
            *(env.call("/stream/x", f"s{n}", TOKEN_COUNTS) for n in range(2, 8))
        )
        assert "s1" in leaving.stopped
        call.close()

    run_in_environment(scenario)


@pytest.mark.parametrize("path", ["/safe/x", "/once/x", "/stream/x"])
@pytest.mark.parametrize("nodes", [2, 6])
def test_server_on_hold_gets_hardly_any_request(nodes: int, path: str) -> None:
    async def scenario() -> None:
        fleet = NodeFleet(nodes, 3)
        async with fleet.running():
            holding = fleet.service(path)[0]
            holding.rejects_all = True
            holding.hold = str(HOLD_S)
            began_s = time.monotonic()
            await fleet.call_for(path, 0.9 * HOLD_S, PER_S)
            await asyncio.sleep(0.5)
        within = [
            t
            for t in holding.arrivals
            if began_s + HOLD_REACTION_S < t < began_s + HOLD_S
        ]
        assert len(within) <= MAX_IN_HOLD * nodes
        served = sum(e.status == 200 for e in fleet.endings)
        assert served >= 0.9 * len(fleet.endings)

    asyncio.run(scenario())


@pytest.mark.parametrize("path", PATHS)
def test_request_is_refused_at_once_when_all_servers_are_on_hold(
    path: str,
) -> None:
    async def scenario(env: NodeEnvironment) -> None:
        for server in (*env.app, *env.pool):
            server.rejects_all = True
            server.hold = str(HOLD_S)
        headers = TOKEN_COUNTS if path in PATHS[2:] else ()
        await env.call(path, "a1", headers)
        reached = sum(len(s.arrivals) for s in (*env.app, *env.pool))
        began_s = time.monotonic()
        refused = await env.call(path, "a2", headers)
        assert refused.status == 503
        assert time.monotonic() - began_s < AT_ONCE_S
        retry_after_s = float(refused.header("retry-after") or 0)
        assert HOLD_S / 2 < retry_after_s <= 1.5 * HOLD_S
        now_reached = sum(len(s.arrivals) for s in (*env.app, *env.pool))
        assert now_reached == reached

    run_in_environment(scenario)


def test_status_names_servers_on_hold_and_brittle_services() -> None:
    async def scenario(env: NodeEnvironment) -> None:
        for server in env.app:
            server.rejects_all = True
            server.hold = str(HOLD_S)
            server.brittle_at = 2
        await env.call("/once/x")
        status = decode_body(await env.get(9, STATUS_PATH))
        assert status["held_servers"] == ["app-0", "app-1"]
        assert status["brittle_services"] == ["app"]
        assert status["unreached_services"] == []

    run_in_environment(scenario)
