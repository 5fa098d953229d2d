"""Tests of fleets in which one request crashes each server that runs it."""

import asyncio
from typing import NamedTuple

import pytest

from savorylift.wire.message import Headers
from tests.front.limited_fleet import LimitedFleet
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


def make_deadly(fleet: LimitedFleet, shape: Shape) -> None:
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


async def call_deadly(fleet: LimitedFleet, path: str) -> None:
    """Sends the deadly request to each node in turn."""
    for number in range(int(LASTS_S / DEADLY_INTERVAL_S)):
        ip = fleet.ips[number % len(fleet.ips)]
        headers = DEADLY_PREFIX if fleet.service(path) is fleet.pool else ()
        fleet.start_call(ip, path, headers, DEADLY_BODY)
        await asyncio.sleep(DEADLY_INTERVAL_S)


def third_crash_s(servers: list[PlatformServer]) -> float:
    """Returns the monotonic time of the third crash."""
    return sorted(s for server in servers for s in server.crashes_s)[2]


@pytest.mark.parametrize("shape", SHAPES, ids=name_shape)
def test_request_that_crashed_three_servers_reaches_few_more(
    shape: Shape, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        fleet = LimitedFleet(shape.nodes, shape.servers)
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
            late = [
                s
                for server in servers
                for s in server.deadly_arrivals
                if s > late_s
            ]
            assert len(late) <= MAX_LATE_REQUESTS
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
