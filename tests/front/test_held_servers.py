"""Tests of servers that want nothing for a while, as a 503 says."""

import asyncio
import datetime as dt
import email.utils
import time

import pytest

from savorylift.backends.registry import BackendServer
from savorylift.exchange.server_holds import MAX_HOLD_S, MAX_SPREAD
from savorylift.front.status import STATUS_PATH
from tests.front.environment import (
    NodeEnvironment,
    decode_body,
    event_numbers,
    run_in_environment,
)
from tests.front.node_fleet import NodeFleet
from tests.standins.platform_server import PlatformServer

TOKEN_COUNTS = (("x-savorylift-token-counts", "100,50"),)
PATHS = ["/safe/x", "/once/x", "/stream/x", "/resumable/x"]
HOLD_S = 1.0
CALLERS = 60
BURST_S = 0.1


def known(env: NodeEnvironment, server: PlatformServer) -> BackendServer:
    """Returns what the node knows of a server."""
    assert env.node is not None
    return env.node._shared.store_view.registry.servers[server.server_id]


def hold_left_s(env: NodeEnvironment, server: PlatformServer) -> float | None:
    """Returns for how much longer the node holds a server."""
    assert env.node is not None
    return env.node._servers.pool.holds.shortest_s([server.server_id])


async def reach(
    env: NodeEnvironment, path: str, server: PlatformServer
) -> None:
    """Sends requests until one reaches a server; reports don't count."""
    headers = TOKEN_COUNTS if path in PATHS[2:] else ()
    number, before = 0, server.calls_arrived
    while server.calls_arrived == before:
        number += 1
        await env.call(path, f"a{number}", headers)


@pytest.mark.parametrize("omits_proof", [False, True])
@pytest.mark.parametrize("path", PATHS)
def test_server_on_hold_gets_nothing_with_or_without_proof(
    path: str, *, omits_proof: bool
) -> None:
    async def scenario(env: NodeEnvironment) -> None:
        servers = env.app if path in PATHS[:2] else env.pool
        holding = servers[0]
        holding.rejects_all, holding.omits_proof = True, omits_proof
        holding.hold = str(HOLD_S)
        await reach(env, path, holding)
        held_s = time.monotonic()
        holding.arrivals.clear()
        headers = TOKEN_COUNTS if path in PATHS[2:] else ()
        number = 0
        while time.monotonic() < held_s + 0.8 * HOLD_S:
            number += 1
            answer = await env.call(path, f"b{number}", headers)
            assert answer.status == 200
        assert holding.arrivals == []
        holding.rejects_all = False
        await asyncio.sleep(0.2 * HOLD_S + MAX_SPREAD * HOLD_S)
        await reach(env, path, holding)

    run_in_environment(scenario)


def http_date(offset_s: float) -> str:
    """Returns a date that many seconds from now."""
    now = dt.datetime.now(dt.UTC)
    date = now + dt.timedelta(seconds=offset_s)
    return email.utils.format_datetime(date, usegmt=True)


@pytest.mark.parametrize(
    ("values", "least_s"),
    [
        (("2",), 2.0),
        (("0.75",), 0.75),
        (("1", "3", "soon"), 3.0),
        (("86400",), MAX_HOLD_S),
        (("-3",), None),
        (("0",), None),
        (("nan",), None),
        (("9" * 400,), None),
        (("1e9",), None),
    ],
)
def test_hold_is_as_long_as_its_header_says(
    values: tuple[str, ...], least_s: float | None
) -> None:
    async def scenario(env: NodeEnvironment) -> None:
        holding = env.app[0]
        holding.rejects_all = True
        holding.hold, holding.more_holds = values[0], values[1:]
        await reach(env, "/once/x", holding)
        left_s = hold_left_s(env, holding)
        if least_s is None:
            assert left_s is None
        else:
            assert left_s is not None
            assert least_s - 0.3 < left_s <= least_s * (1 + MAX_SPREAD)

    run_in_environment(scenario)


@pytest.mark.parametrize(
    ("offset_s", "is_held"), [(30.0, True), (-30.0, False)]
)
def test_date_counts_from_the_date_of_the_answer(
    offset_s: float, *, is_held: bool
) -> None:
    async def scenario(env: NodeEnvironment) -> None:
        holding = env.app[0]
        holding.rejects_all, holding.hold = True, http_date(offset_s)
        holding.date = http_date(0.0)
        await reach(env, "/once/x", holding)
        assert (hold_left_s(env, holding) is not None) is is_held

    run_in_environment(scenario)


def test_shorter_hold_does_not_end_a_longer_one_at_a_node() -> None:
    async def scenario(env: NodeEnvironment) -> None:
        holding = env.app[0]
        holding.rejects_all, holding.hold = True, "5"
        holding.delay_s = 0.0
        await reach(env, "/once/x", holding)
        holding.hold = "0.1"
        await env.node._servers.reach._probe(known(env, holding))  # type: ignore[union-attr]
        left_s = hold_left_s(env, holding)
        assert left_s is not None
        assert left_s > 4.0

    run_in_environment(scenario)


def test_held_server_gets_no_health_check_report_or_second_try() -> None:
    async def scenario(env: NodeEnvironment) -> None:
        holding, other = env.app
        holding.rejects_all, holding.hold = True, str(HOLD_S)
        await reach(env, "/safe/x", holding)
        holding.arrivals.clear()
        assert env.node is not None
        assert await env.node._servers.reach._probe(known(env, holding)) is None
        # The second try of each would go there.
        other.status = 500
        for number in range(3):
            await env.call("/safe/x", f"b{number}")
        assert holding.arrivals == []

    run_in_environment(scenario)


def test_health_check_that_is_turned_away_begins_a_hold() -> None:
    async def scenario(env: NodeEnvironment) -> None:
        holding = env.app[0]
        holding.rejects_all, holding.hold = True, str(HOLD_S)
        assert env.node is not None
        await env.node._servers.reach._probe(known(env, holding))
        assert hold_left_s(env, holding) is not None

    run_in_environment(scenario)


def test_stream_on_its_way_goes_on_while_its_engine_is_on_hold() -> None:
    async def scenario(env: NodeEnvironment) -> None:
        for server in env.pool:
            server.events_per_stream = 80
        stream = await env.open_call("/stream/x", "s1", TOKEN_COUNTS)
        head = await stream.read_head()
        (holding,) = [s for s in env.pool if "s1" in s.runs]
        holding.rejects_all, holding.hold = True, str(HOLD_S)
        assert env.node is not None
        await env.node._servers.reach._probe(known(env, holding))
        assert hold_left_s(env, holding) is not None
        body = (await stream.read_rest(head)).body
        assert event_numbers(body) == [*range(1, 81)]
        assert "s1" not in holding.stopped

    run_in_environment(scenario)


@pytest.mark.parametrize("path", PATHS)
def test_callers_refused_by_holds_return_at_different_times(path: str) -> None:
    async def scenario(env: NodeEnvironment) -> None:
        servers = env.app if path in PATHS[:2] else env.pool
        for server, hold_s in zip(servers, (5, 2), strict=True):
            server.rejects_all, server.hold = True, str(hold_s)
        headers = TOKEN_COUNTS if path in PATHS[2:] else ()
        for number in range(4):
            await env.call(path, f"a{number}", headers)
        returns = []
        for number in range(6):
            sent_s = time.monotonic()
            refused = await env.call(path, f"b{number}", headers)
            assert refused.status == 503
            assert time.monotonic() - sent_s < 0.3
            after_s = float(refused.header("retry-after") or 0)
            # From the shorter hold, and not before its end.
            left_s = min(hold_left_s(env, s) or 0 for s in servers)
            assert left_s <= after_s <= 1.3 * 2 * (1 + MAX_SPREAD)
            returns.append(sent_s + after_s)
        returns.sort()
        assert returns[-1] - returns[0] > 0.05

    run_in_environment(scenario)


def test_callers_of_all_nodes_do_not_come_back_at_once() -> None:
    async def scenario() -> None:
        fleet = NodeFleet(6, 1)
        async with fleet.running():
            (holding,) = fleet.app
            holding.rejects_all, holding.hold = True, str(2 * HOLD_S)
            for ip in fleet.ips:
                await fleet.call(ip, "/safe/x", "a1")
            holding.rejects_all = False
            arrived = len(holding.arrivals)
            await asyncio.gather(
                *(
                    call_again(fleet, fleet.ips[n % 6], f"b{n}")
                    for n in range(CALLERS)
                )
            )
        later = sorted(holding.arrivals[arrived:])
        assert len(later) == CALLERS
        most = max(
            sum(t <= other < t + BURST_S for other in later) for t in later
        )
        assert most <= CALLERS / 2

    asyncio.run(scenario())


async def call_again(fleet: NodeFleet, ip: str, attempt: str) -> None:
    """Sends a request until it is served, as often as it is told."""
    while True:
        ending = await fleet.call(ip, "/safe/x", attempt)
        if ending.status != 503:
            return
        assert ending.retry_after_s is not None
        await asyncio.sleep(ending.retry_after_s)


def test_status_and_metrics_say_why_servers_get_nothing() -> None:
    async def scenario(env: NodeEnvironment) -> None:
        for server in env.app:
            server.rejects_all, server.hold = True, "5"
        env.pool[0].says_leaving = True
        for number in range(6):
            await env.call("/safe/x", f"a{number}")
            await env.call("/stream/x", f"s{number}", TOKEN_COUNTS)
        status = decode_body(await env.get(9, STATUS_PATH))
        assert status["blocked_servers"] == {
            "app-0": "hold",
            "app-1": "hold",
            "pool-0": "leaving",
        }
        metrics = (await env.get(9, "/metrics")).body.decode()
        assert 'servers_blocked_total{reason="hold"}' in metrics
        assert "server_holds_total" in metrics
        assert 'leaving_notices_total{source="answer"}' in metrics

    run_in_environment(scenario)
