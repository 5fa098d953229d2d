"""Tests of servers that say in some answer that they leave."""

import asyncio
import time
from collections.abc import Awaitable, Callable

import pytest

from savorylift.backends.registry import BackendServer
from savorylift.front.status import STATUS_PATH
from savorylift.wire.connecting import connect
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
AT_ONCE_S = 0.3
# Other nodes must know within the time that a server goes on after a notice.
TOLD_S = 0.5
REPORT_TIMEOUT_S = 1.0


async def call(env: NodeEnvironment, path: str, attempt: str) -> int:
    """Sends a request; returns the status of its answer."""
    headers = TOKEN_COUNTS if path in PATHS[2:] else ()
    return (await env.call(path, attempt, headers)).status


def known(env: NodeEnvironment, server: PlatformServer) -> BackendServer:
    """Returns what the node knows of a server."""
    assert env.node is not None
    return env.node._shared.store_view.registry.servers[server.server_id]


async def hear_in_answer(env: NodeEnvironment, server: PlatformServer) -> None:
    while not server.runs:
        await call(env, "/safe/x", f"a{time.monotonic()}")


async def hear_in_failure(env: NodeEnvironment, server: PlatformServer) -> None:
    server.status = 500
    await hear_in_answer(env, server)


async def hear_in_refusal(env: NodeEnvironment, server: PlatformServer) -> None:
    server.rejects_all = True
    while not server.arrivals:
        await call(env, "/safe/x", f"a{time.monotonic()}")


async def hear_in_unproven_refusal(
    env: NodeEnvironment, server: PlatformServer
) -> None:
    server.omits_proof = True
    await hear_in_refusal(env, server)


async def hear_in_health_check(
    env: NodeEnvironment, server: PlatformServer
) -> None:
    assert env.node is not None
    await env.node._servers.reach._probe(known(env, server))


async def hear_in_report(env: NodeEnvironment, server: PlatformServer) -> None:
    assert env.node is not None
    address = known(env, server).entry.address
    await env.node._servers.life._read_start(address, REPORT_TIMEOUT_S)


async def hear_in_report_on_open_connection(
    env: NodeEnvironment, server: PlatformServer
) -> None:
    assert env.node is not None
    channel = await connect(*known(env, server).entry.address, 1.0)
    await env.node._servers.check._inquiry._read_start(
        channel, REPORT_TIMEOUT_S
    )


@pytest.mark.parametrize(
    "hear",
    [
        hear_in_answer,
        hear_in_failure,
        hear_in_refusal,
        hear_in_unproven_refusal,
        hear_in_health_check,
        hear_in_report,
        hear_in_report_on_open_connection,
    ],
)
def test_leaving_is_heard_in_any_answer(
    hear: Callable[[NodeEnvironment, PlatformServer], Awaitable[None]],
) -> None:
    async def scenario(env: NodeEnvironment) -> None:
        leaving = env.app[0]
        leaving.says_leaving = True
        await hear(env, leaving)
        assert known(env, leaving).entry.is_leaving
        leaving.arrivals.clear()
        for number in range(12):
            assert await call(env, "/once/x", f"b{number}") == 200
        assert leaving.arrivals == []

    run_in_environment(scenario)


@pytest.mark.parametrize("path", PATHS)
def test_server_that_leaves_gets_nothing_whatever_the_store_says(
    path: str,
) -> None:
    async def scenario(env: NodeEnvironment) -> None:
        servers = env.app if path in PATHS[:2] else env.pool
        leaving, service = servers[0], "app" if servers is env.app else "pool"
        leaving.says_leaving = True
        number = 0
        while not leaving.arrivals:
            number += 1
            await call(env, path, f"a{number}")
        leaving.arrivals.clear()
        # Its entry says that it is ready; then it lapses and comes back; then
        # the store is away.
        env.publish_entry(leaving, service)
        await asyncio.sleep(0.3)
        for number in range(6):
            assert await call(env, path, f"b{number}") == 200
        env.store.add("keyed.servers", leaving.server_id, None)
        await asyncio.sleep(0.3)
        env.publish_entry(leaving, service)
        await asyncio.sleep(0.3)
        for number in range(6):
            assert await call(env, path, f"c{number}") == 200
        env.store.is_silent = True
        await asyncio.sleep(2.0)
        for number in range(6):
            assert await call(env, path, f"d{number}") == 200
        assert leaving.arrivals == []

    run_in_environment(scenario)


def test_other_server_at_the_address_of_one_that_left_counts_as_new() -> None:
    async def scenario(env: NodeEnvironment) -> None:
        for server in env.app:
            server.says_leaving = True
        while any(not known(env, s).entry.is_leaving for s in env.app):
            await call(env, "/safe/x", f"a{time.monotonic()}")
        assert await call(env, "/safe/x", "b1") == 503
        env.app[0].says_leaving = False
        env.store.add("keyed.servers", env.app[0].server_id, None)
        env.app[0].server_id = "app-9"
        env.publish_entry(env.app[0], "app")
        await asyncio.sleep(0.3)
        assert await call(env, "/safe/x", "b2") == 200

    run_in_environment(scenario)


@pytest.mark.parametrize("path", PATHS)
def test_request_is_refused_at_once_when_all_servers_leave(path: str) -> None:
    async def scenario(env: NodeEnvironment) -> None:
        servers = env.app if path in PATHS[:2] else env.pool
        for server in servers:
            server.says_leaving = True
        while any(not known(env, s).entry.is_leaving for s in servers):
            await call(env, path, f"a{time.monotonic()}")
        reached = sum(len(server.runs) for server in servers)
        headers = TOKEN_COUNTS if path in PATHS[2:] else ()
        began_s = time.monotonic()
        refused = await env.call(path, "b1", headers)
        assert time.monotonic() - began_s < AT_ONCE_S
        assert refused.status == 503
        assert 0.0 < float(refused.header("retry-after") or 0) <= 1.0
        assert sum(len(server.runs) for server in servers) == reached
        status = decode_body(await env.get(9, STATUS_PATH))
        for server in servers:
            assert status["blocked_servers"][server.server_id] == "leaving"

    run_in_environment(scenario)


@pytest.mark.parametrize("path", PATHS)
def test_no_connection_to_a_server_that_leaves_stays_open(path: str) -> None:
    async def scenario(env: NodeEnvironment) -> None:
        servers = env.app if path in PATHS[:2] else env.pool
        leaving = servers[0]
        leaving.says_leaving = True
        number = 0
        while not leaving.runs:
            number += 1
            await call(env, path, f"a{number}")
        await asyncio.sleep(0.1)
        assert leaving.open_connections == 0

    run_in_environment(scenario)


def test_answer_on_its_way_from_a_server_that_leaves_comes_whole() -> None:
    async def scenario(env: NodeEnvironment) -> None:
        leaving, other = env.app
        leaving.delay_s = 0.5
        other.rejects_all = True
        first = asyncio.ensure_future(call(env, "/once/x", "a1"))
        await asyncio.sleep(0.2)
        assert leaving.runs == ["a1"]
        leaving.says_leaving = True
        await hear_in_health_check(env, leaving)
        assert known(env, leaving).entry.is_leaving
        assert await first == 200

    run_in_environment(scenario)


def test_leaving_is_heard_as_a_run_is_resumed() -> None:
    async def scenario(env: NodeEnvironment) -> None:
        await env.call("/resumable/x", "r0", TOKEN_COUNTS)
        leaving = env.pool[0]
        leaving.says_leaving = True
        resumed = (*TOKEN_COUNTS, ("last-event-id", "4"), ("resumes", "r0"))
        number = 0
        while not known(env, leaving).entry.is_leaving:
            number += 1
            answer = await env.call("/resumable/x", f"r{number}", resumed)
            assert event_numbers(answer.body) == [*range(5, 11)]
        leaving.arrivals.clear()
        for more in range(6):
            answer = await env.call("/resumable/x", f"s{more}", resumed)
            assert event_numbers(answer.body) == [*range(5, 11)]
        assert leaving.arrivals == []

    run_in_environment(scenario)


def test_leaving_is_heard_in_the_answer_to_a_moved_run() -> None:
    async def scenario(env: NodeEnvironment) -> None:
        for server in env.pool:
            server.events_per_stream = 200
        moved = await env.open_call("/stream/x", "s1", TOKEN_COUNTS)
        await moved.read_head()
        source, destination = env.pool
        if "s1" not in source.runs:
            source, destination = destination, source
        destination.says_leaving = True
        source.is_leaving = True
        env.publish_entry(source, "pool", "draining")
        async with asyncio.timeout(2.0):
            while not known(env, destination).entry.is_leaving:
                await asyncio.sleep(0.02)
        moved.close()

    run_in_environment(scenario)


def test_leaving_is_heard_in_the_answer_to_a_copy_of_a_run() -> None:
    async def scenario(env: NodeEnvironment) -> None:
        for server in env.pool:
            server.events_per_stream = 200
        moved = await env.open_call("/stream/x", "s1", TOKEN_COUNTS)
        await moved.read_head()
        (source,) = [server for server in env.pool if "s1" in server.runs]
        source.says_leaving = True
        env.publish_entry(source, "pool", "draining")
        async with asyncio.timeout(2.0):
            while "s1" not in source.stopped:
                await asyncio.sleep(0.02)
        moved.close()
        for server in env.pool:
            server.events_per_stream = 1
        env.publish_entry(source, "pool")
        await asyncio.sleep(0.3)
        for number in range(6):
            assert await call(env, "/stream/x", f"b{number}") == 200
        assert source.runs == ["s1"]

    run_in_environment(scenario)


@pytest.mark.parametrize("nodes", [2, 6])
def test_other_nodes_learn_which_server_leaves(nodes: int) -> None:
    async def scenario() -> None:
        fleet = NodeFleet(nodes, 3)
        async with fleet.running():
            leaving = fleet.app[0]
            leaving.says_leaving = True
            while not leaving.arrivals:
                await fleet.call(fleet.ips[0], "/safe/x", "a1")
            await asyncio.sleep(TOLD_S)
            leaving.arrivals.clear()
            for number in range(12 * nodes):
                ip = fleet.ips[number % nodes]
                await fleet.call(ip, "/safe/x", f"b{number}")
            assert leaving.arrivals == []
        assert all(ending.status == 200 for ending in fleet.endings)

    asyncio.run(scenario())


def calls_at(server: PlatformServer) -> int:
    """Returns how many requests reached a server, without reports."""
    return len(server.arrivals) - server.reports


@pytest.mark.parametrize("path", PATHS)
def test_notice_given_before_the_entry_of_its_process_is_kept_after_it(
    path: str,
) -> None:
    async def scenario(env: NodeEnvironment) -> None:
        servers = env.app if path in PATHS[:2] else env.pool
        leaving, service = servers[0], "app" if servers is env.app else "pool"
        leaving.born += 1
        leaving.says_leaving = True
        number = 0
        while not calls_at(leaving):
            number += 1
            await call(env, path, f"a{number}")
        await asyncio.sleep(0.2)
        heard = calls_at(leaving)
        env.publish_entry(leaving, service)
        await asyncio.sleep(0.2)
        for number in range(8):
            assert await call(env, path, f"b{number}") == 200
        assert calls_at(leaving) == heard

    run_in_environment(scenario)


async def hear_notice(env: NodeEnvironment, server: PlatformServer) -> None:
    """Lets a node hear a notice that its process isn't proven to have given."""
    server.says_leaving = True
    while not known(env, server).entry.is_leaving:
        await call(env, "/safe/x", f"n{time.monotonic()}")


@pytest.mark.parametrize("answers", ["born", "no born", "no report"])
def test_sound_successor_of_a_server_that_left_serves_at_once(
    answers: str,
) -> None:
    async def scenario(env: NodeEnvironment) -> None:
        server = env.app[0]
        server.says_born = answers == "born"
        server.has_report = answers != "no report"
        await hear_notice(env, server)
        server.says_leaving = False
        server.born += 1
        heard, reports = calls_at(server), server.reports
        env.publish_entry(server, "app")
        async with asyncio.timeout(AT_ONCE_S):
            while known(env, server).entry.is_leaving:
                await asyncio.sleep(0.002)
        for number in range(12):
            assert await call(env, "/once/x", f"b{number}") == 200
        assert calls_at(server) > heard
        assert server.reports - reports == 1

    run_in_environment(scenario)


@pytest.mark.parametrize("answers", ["born", "no born", "no report"])
def test_successor_that_leaves_itself_gets_one_question_and_no_request(
    answers: str,
) -> None:
    async def scenario(env: NodeEnvironment) -> None:
        server = env.app[0]
        server.says_born = answers == "born"
        server.has_report = answers != "no report"
        await hear_notice(env, server)
        server.born += 1
        heard, reports = calls_at(server), server.reports
        env.publish_entry(server, "app")
        await asyncio.sleep(AT_ONCE_S)
        for number in range(12):
            assert await call(env, "/once/x", f"b{number}") == 200
        assert calls_at(server) == heard
        assert server.reports - reports == 1

    run_in_environment(scenario)


def test_notice_that_comes_after_the_entry_of_its_process_is_kept() -> None:
    async def scenario(env: NodeEnvironment) -> None:
        server, other = env.app
        server.born += 1
        server.says_leaving = True
        server.delay_s = 0.4
        other.rejects_all = True
        first = asyncio.ensure_future(call(env, "/once/x", "a1"))
        while not server.runs:
            await asyncio.sleep(0.01)
        env.publish_entry(server, "app")
        assert await first == 200
        other.rejects_all = False
        await asyncio.sleep(AT_ONCE_S)
        heard = calls_at(server)
        for number in range(12):
            assert await call(env, "/once/x", f"b{number}") == 200
        assert calls_at(server) == heard

    run_in_environment(scenario)
