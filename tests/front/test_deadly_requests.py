"""Tests of fleets in which one request crashes each server that runs it."""

import asyncio
from typing import NamedTuple

import pytest

from savorylift.wire.message import Headers, Response
from tests.front.environment import NodeEnvironment, run_in_environment
from tests.front.node_fleet import NodeFleet
from tests.harness.virtual_time import run_in_virtual_time
from tests.standins.platform_server import PlatformServer

DEADLY_BODY = b"deadly question"
DEADLY_INTERVAL_S = 0.4
SOUND_PER_S = 20.0
LASTS_S = 18.0
# A server crashes this long after it began, and is back after this time.
CRASH_DELAY_S = 0.04
RESTART_S = 2.5
# The request may reach servers for this long after it has crashed the third,
# and this often later.
REACTION_S = 3.0
MAX_LATE_REQUESTS = 3
# Time in which a server of a single node's test is back, and known.
PAUSE_S = 0.6
# Slower than what the nodes wait for before they fail over.
SLOW_S = 0.3
# Share of the calls that must be served while slow servers crash.
SERVED_SHARE = 0.95
SOUND_PREFIX: Headers = (
    ("x-savorylift-prompt-prefix", "system:50,desk:20,own:30"),
)
DEADLY_PREFIX: Headers = (
    ("x-savorylift-prompt-prefix", "system:50,desk:20,dead:30"),
)


class Shape(NamedTuple):
    """What a fleet looks like, and how its servers crash.

    Attributes:
        nodes: Number of nodes.
        servers: Number of servers of the service.
        path: Path of all requests.
        is_before_head: Whether servers crash before the head of the answer.
    """

    nodes: int
    servers: int
    path: str
    is_before_head: bool


SHAPES = [
    Shape(6, 6, "/safe/x", is_before_head=True),
    Shape(6, 6, "/once/x", is_before_head=True),
    Shape(9, 9, "/safe/x", is_before_head=False),
    Shape(24, 12, "/safe/x", is_before_head=True),
    Shape(6, 6, "/stream/x", is_before_head=True),
    Shape(6, 6, "/stream/x", is_before_head=False),
    Shape(6, 12, "/stream/x", is_before_head=True),
    Shape(6, 9, "/resumable/x", is_before_head=False),
]


def name_shape(shape: Shape) -> str:
    kind = shape.path.split("/")[1]
    moment = "before" if shape.is_before_head else "after"
    return f"{kind}-{shape.nodes}-{shape.servers}-{moment}"


def make_deadly(fleet: NodeFleet, shape: Shape) -> None:
    """Lets all servers of a service crash on the deadly body."""
    service = "pool" if fleet.service(shape.path) is fleet.pool else "app"

    def make_on_restart(server: PlatformServer) -> None:
        def on_restart(earlier_id: str) -> None:
            fleet.replace_entry(earlier_id, server, service)

        server.on_restart = on_restart

    for server in fleet.service(shape.path):
        server.deadly_body = DEADLY_BODY
        server.crash_delay_s = CRASH_DELAY_S
        server.crashes_before_head = shape.is_before_head
        server.restart_s = RESTART_S
        make_on_restart(server)


async def call_deadly(
    fleet: NodeFleet, path: str, patience_s: float | None = None
) -> None:
    """Sends the deadly request to each node in turn.

    Args:
        fleet: The fleet.
        path: Path of the request.
        patience_s: Time after which callers leave; None if they don't.
    """
    for number in range(int(LASTS_S / DEADLY_INTERVAL_S)):
        ip = fleet.ips[number % len(fleet.ips)]
        headers = DEADLY_PREFIX if fleet.service(path) is fleet.pool else ()
        fleet.start_call(ip, path, headers, DEADLY_BODY, patience_s)
        await asyncio.sleep(DEADLY_INTERVAL_S)


def late_requests(servers: list[PlatformServer]) -> int:
    """Returns how many deadly requests came too long after the third crash."""
    late_s = third_crash_s(servers) + REACTION_S
    return sum(s > late_s for server in servers for s in server.deadly_arrivals)


def third_crash_s(servers: list[PlatformServer]) -> float:
    """Returns the monotonic time of the third crash."""
    return sorted(s for server in servers for s in server.crashes_s)[2]


@pytest.mark.parametrize("shape", SHAPES, ids=name_shape)
def test_request_that_crashed_three_servers_reaches_few_more(
    shape: Shape, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        fleet = NodeFleet(shape.nodes, shape.servers)
        servers = fleet.service(shape.path)
        make_deadly(fleet, shape)
        is_stream = servers is fleet.pool
        async with fleet.running():
            deadly = asyncio.ensure_future(call_deadly(fleet, shape.path))
            await fleet.call_for(
                shape.path,
                LASTS_S,
                SOUND_PER_S,
                SOUND_PREFIX if is_stream else (),
            )
            await deadly
            late_s = third_crash_s(servers) + REACTION_S
            assert late_requests(servers) <= MAX_LATE_REQUESTS
            sound = [
                ending.status
                for ending in fleet.endings_since(late_s + RESTART_S)
                if ending.body != DEADLY_BODY
            ]
            assert len(sound) > SOUND_PER_S
            assert set(sound) == {200}
            refused = [
                ending
                for ending in fleet.endings_since(late_s)
                if ending.body == DEADLY_BODY
            ]
            assert {ending.status for ending in refused} <= {503, 502}
            assert all(
                ending.retry_after_s
                for ending in refused
                if ending.status == 503
            )

    run_in_virtual_time(monkeypatch, scenario)


class Abandonment(NamedTuple):
    """How requests are given up before they crash their servers.

    Attributes:
        path: Path of all requests.
        crash_delay_s: How long after it began a server crashes.
        patience_s: Time after which callers leave; None if they don't.
    """

    path: str
    crash_delay_s: float
    patience_s: float | None


ABANDONMENTS = {
    "failover": Abandonment("/safe/x", 0.3, None),
    "deadline": Abandonment("/once/x", 2.3, None),
    "caller left": Abandonment("/once/x", 0.3, 0.2),
    "failover of a stream": Abandonment("/resumable/x", 1.3, None),
    "deadline of a stream": Abandonment("/stream/x", 2.3, None),
    "caller of a stream left": Abandonment("/stream/x", 0.3, 0.2),
}


@pytest.mark.parametrize("case", ABANDONMENTS.values(), ids=ABANDONMENTS)
def test_request_that_crashes_servers_after_it_was_given_up_is_stopped(
    case: Abandonment, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        fleet = NodeFleet(6, 12)
        servers = fleet.service(case.path)
        make_deadly(fleet, Shape(6, 12, case.path, is_before_head=True))
        for server in servers:
            server.crash_delay_s = case.crash_delay_s
            server.crashes_without_caller = True
        async with fleet.running():
            await call_deadly(fleet, case.path, case.patience_s)
            assert late_requests(servers) <= MAX_LATE_REQUESTS

    run_in_virtual_time(monkeypatch, scenario)


async def crash_in_turn(servers: list[PlatformServer]) -> None:
    """Lets servers crash one after another, whatever they run."""
    for number in range(int(LASTS_S)):
        await servers[number % len(servers)].crash()


def test_popular_request_given_up_at_slow_servers_that_crash_is_served(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        fleet = NodeFleet(6, 12)
        make_deadly(fleet, Shape(6, 12, "/safe/x", is_before_head=True))
        slow = fleet.app[:4]
        for server in fleet.app:
            server.deadly_body = None
            server.restart_s = 1.0
        async with fleet.running():
            for server in slow:
                server.delay_s = SLOW_S
            crashing = asyncio.ensure_future(crash_in_turn(slow))
            while not crashing.done():
                for ip in fleet.ips:
                    fleet.start_call(ip, "/safe/x", (), b"popular question")
                await asyncio.sleep(0.1)
            assert sum(server.crashes for server in slow) == int(LASTS_S)
            assert {ending.status for ending in fleet.endings} <= {200, 502}
            served = [e for e in fleet.endings if e.status == 200]
            assert len(served) >= SERVED_SHARE * len(fleet.endings)

    run_in_virtual_time(monkeypatch, scenario)


@pytest.mark.parametrize("path", ["/safe/x", "/once/x"])
def test_node_that_hears_no_other_stops_the_request_by_itself(
    path: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        fleet = NodeFleet(4, 6)
        servers = fleet.service(path)
        make_deadly(fleet, Shape(4, 6, path, is_before_head=True))
        async with fleet.running():
            fleet.cut_off(0)
            await call_deadly(fleet, path)
            assert late_requests(servers) <= MAX_LATE_REQUESTS

    run_in_virtual_time(monkeypatch, scenario)


def make_app_deadly(env: NodeEnvironment) -> None:
    """Lets the plain servers crash on the deadly body."""
    for server in env.app:
        server.deadly_body = DEADLY_BODY
        env.republish_on_restart(server, "app")


async def call_node(
    env: NodeEnvironment, attempt: str, body: bytes
) -> Response:
    """Sends a plain call with a body to the node of an environment."""
    call = await env.open_call("/once/x", attempt, body=body)
    return await call.read_response()


def test_call_at_a_server_is_stopped_before_it_crashes_it() -> None:
    async def scenario(env: NodeEnvironment) -> None:
        make_app_deadly(env)
        for number in range(2):
            await call_node(env, f"a{number}", DEADLY_BODY)
            await asyncio.sleep(PAUSE_S)
        calls = []
        for delay_s in (1.0, 0.0):
            for server in env.app:
                server.crash_delay_s = delay_s
            call = call_node(env, f"b{delay_s}", DEADLY_BODY)
            calls.append(asyncio.ensure_future(call))
            await asyncio.sleep(0.05)
        responses = await asyncio.gather(*calls)
        assert [response.status for response in responses] == [502, 502]
        await asyncio.sleep(1.0)
        assert sum(server.crashes for server in env.app) == 3
        refused = await call_node(env, "c", DEADLY_BODY)
        assert refused.status == 503
        assert refused.header("retry-after")
        assert (await call_node(env, "d", b"")).status == 200

    run_in_environment(scenario)
