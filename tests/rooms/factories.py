"""Requests, engines and nodes for tests of engines' room."""

import time

from savorylift.backends.registry import BackendServer
from savorylift.fleet.membership import Membership
from savorylift.fleet.room_messages import RoomRequest
from savorylift.fleet.state import ServerLoad
from savorylift.rooms.engines import Engines
from savorylift.routing.configuration import EngineTraits
from tests.exchange.factories import make_server
from tests.fleet.test_membership import state

SERVICE = "s"
NODES = 20
TRAITS = EngineTraits(
    slots=4,
    memory_tokens=10_000,
    token_bytes=1.0,
    link_bytes_per_s=1.0,
    can_move=True,
    tokens_per_event=4,
)


def make_request(number: int = 1, tokens: int = 1000) -> RoomRequest:
    """Returns a request that can wait for some seconds."""
    return RoomRequest(
        number=number,
        attempt_id=f"a{number}",
        service=SERVICE,
        priority=1,
        team="",
        weight=1,
        tokens=tokens,
        prompt_tokens=tokens // 2,
        max_prefill_tokens=1e9,
        start_in_s=2.0,
        leave_in_s=4.0,
        age_s=0.0,
        lease_s=30.0,
    )


def make_engines(*server_ids: str, traits: EngineTraits = TRAITS) -> Engines:
    """Returns idle engines."""
    servers: list[BackendServer] = [make_server(name) for name in server_ids]
    return Engines(servers, traits, {}, {"z1": "r"}, 10_000.0)


def make_load(
    server_id: str, requests: int = 1, tokens: int = 1000
) -> ServerLoad:
    """Returns what a node says of its load at an engine."""
    return ServerLoad(server_id, requests, tokens, 0, 0, 0)


def ip_of(number: int) -> str:
    """Returns the address of a node."""
    return f"10.0.0.{number}"


def make_membership(number: int, count: int = NODES) -> Membership:
    """Returns what a node knows of others, which stay live for long."""
    members = Membership(ip_of(number), ())
    for other in range(1, count + 1):
        peer = state(other)._replace(interval_s=100.0)
        members.update_peer(peer, time.monotonic())
    return members
