"""Tests of handing requests over to other nodes, which answer as scripted."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import pytest

from savorylift.exchange.results import Refused
from savorylift.exchange.server_reach import ServerReach
from savorylift.fleet.membership import Membership
from savorylift.front.node_relay import NodeRelay
from savorylift.front.relay_headers import (
    RELAY_HEADER,
    RELAY_REFUSED,
    RELAYED,
)
from savorylift.platform.codec import PlatformCodec
from savorylift.routing.configuration import RouteKind
from savorylift.wire.client_call import BrokenAnswerError, ClientCall
from savorylift.wire.connecting import connect
from savorylift.wire.listener import Listener
from savorylift.wire.message import Request, Response
from savorylift.wire.request_input import InputLimits
from savorylift.wire.server_connection import ServerConnection
from tests.exchange.factories import (
    make_admitted_request,
    make_caller_request,
    make_route,
    make_server,
)
from tests.fleet.test_membership import state
from tests.harness.ports import free_addresses

IPS = ["127.0.3.1", "127.0.3.2", "127.0.3.3"]
REQUEST = Request(
    "POST",
    "/a/x",
    (
        ("host", "h"),
        ("x-savorylift-attempt-id", "a1"),
        ("x-savorylift-deadline-remaining", "99000"),
        ("x-api-key", "key"),
    ),
    b"body",
    0.0,
)
Behaviour = Callable[[ServerConnection, Request], Awaitable[None]]


async def answers(conn: ServerConnection, req: Request) -> None:
    conn.respond(200, (("x-savorylift-response-seal", "s"), *RELAYED), b"ok")


async def refuses(conn: ServerConnection, req: Request) -> None:
    conn.respond(503, (("retry-after", "0.5"), *RELAY_REFUSED), b"busy")


async def knows_no_relay(conn: ServerConnection, req: Request) -> None:
    conn.respond(404, (), b"")


async def answers_with_no_status(conn: ServerConnection, req: Request) -> None:
    conn.respond(600, RELAYED, b"no answer")


async def refuses_with_no_status(conn: ServerConnection, req: Request) -> None:
    conn.respond(999, RELAY_REFUSED, b"no answer")


async def breaks_before_head(conn: ServerConnection, req: Request) -> None:
    conn.channel.abort()


async def breaks_within_body(conn: ServerConnection, req: Request) -> None:
    conn.start_response(200, RELAYED)
    conn.send_body(b"part")
    await conn.channel.drain()
    await asyncio.sleep(0.05)
    conn.channel.abort()


async def is_silent(conn: ServerConnection, req: Request) -> None:
    await conn.channel.peer_closed.wait()


class Fleet:
    """Other nodes, and one that hands its requests over to them.

    Attributes:
        requests: Requests that reached other nodes.
    """

    def __init__(self, *behaviours: Behaviour) -> None:
        self._behaviours = behaviours
        self.requests: list[Request] = []

    async def call(
        self, kind: RouteKind = RouteKind.ONCE, time_left_s: float = 2.0
    ) -> Response | Refused | None:
        """Returns what the caller got; None if it was incomplete."""
        hosts = ["127.0.0.1", *IPS]
        port, own_port = (
            int(a.rpartition(":")[2]) for a in free_addresses(2, hosts)
        )
        membership = Membership("127.0.0.1", ())
        now_s = asyncio.get_running_loop().time()
        for number, behaviour in enumerate(self._behaviours):
            ip = IPS[number]
            membership.update_peer(state(number + 2)._replace(ip=ip), now_s)
            await Listener(self._serve(behaviour), InputLimits).start(ip, port)
        servers = [make_server()]
        rng = random.Random(1)
        reach = ServerReach(
            lambda _: servers,
            _answers_nothing,
            lambda: None,
            lambda _server_id, _request: None,
            rng,
        )
        reach.record_failure(servers[0])
        await asyncio.sleep(0.01)
        relay = NodeRelay(port, membership, reach, PlatformCodec(), rng)
        req = make_caller_request()._replace(time_left_s=time_left_s)
        admitted = make_admitted_request(req, make_route()._replace(kind=kind))
        refusals: list[Refused] = []

        async def serve(conn: ServerConnection) -> None:
            await conn.next_request()
            refusal = await relay.serve(conn, REQUEST, admitted)
            if refusal is not None:
                refusals.append(refusal)
                conn.respond(refusal.status, (), b"")
            await conn.flush()
            conn.channel.close()

        await Listener(serve, InputLimits).start("127.0.0.1", own_port)
        call = ClientCall(await connect("127.0.0.1", own_port, 1.0))
        call.send("POST", "/a/x", (("host", "h"),), b"body")
        try:
            response = await call.read_response()
        except BrokenAnswerError:
            return None
        return refusals[0] if refusals else response

    def _serve(
        self, behaviour: Behaviour
    ) -> Callable[[ServerConnection], Awaitable[None]]:
        async def serve(conn: ServerConnection) -> None:
            req = await conn.next_request()
            if not isinstance(req, Request):
                return
            self.requests.append(req)
            await behaviour(conn, req)
            await conn.channel.drain()
            conn.channel.close()

        return serve


async def _answers_nothing(server: object) -> bool:
    return False


def test_request_arrives_as_it_was_with_the_time_that_is_left() -> None:
    fleet = Fleet(answers)
    response = asyncio.run(fleet.call())
    assert isinstance(response, Response)
    assert (response.status, response.body) == (200, b"ok")
    assert response.header("x-savorylift-response-seal") == "s"
    assert response.header(RELAY_HEADER) is None
    (req,) = fleet.requests
    assert (req.method, req.target, req.body) == ("POST", "/a/x", b"body")
    assert req.header_values("x-savorylift-attempt-id") == ["a1"]
    assert req.header_values("x-api-key") == ["key"]
    (time_left,) = req.header_values("x-savorylift-deadline-remaining")
    assert 1000 < int(time_left) <= 2000


@pytest.mark.parametrize("first", [refuses, knows_no_relay])
def test_node_that_does_not_take_a_request_leaves_it_to_another(
    first: Behaviour,
) -> None:
    fleet = Fleet(first, first, answers)
    response = asyncio.run(fleet.call())
    assert isinstance(response, Response)
    assert response.status == 200


def test_refusal_of_all_nodes_is_passed_on() -> None:
    response = asyncio.run(Fleet(refuses, refuses, refuses).call())
    assert isinstance(response, Response)
    assert response.status == 503
    assert response.header("retry-after") == "0.5"


@pytest.mark.parametrize(
    "loses",
    [breaks_before_head, answers_with_no_status, refuses_with_no_status],
)
def test_request_that_may_have_run_is_not_handed_on_again(
    loses: Behaviour,
) -> None:
    """A status that there is none of was passed on, or taken for a refusal."""
    fleet = Fleet(loses, loses)
    response = asyncio.run(fleet.call(RouteKind.ONCE))
    assert isinstance(response, Refused)
    assert response.status == 502
    assert len(fleet.requests) == 1


def test_request_that_may_run_twice_is_handed_on_once_more() -> None:
    fleet = Fleet(breaks_before_head, breaks_before_head, breaks_before_head)
    response = asyncio.run(fleet.call(RouteKind.IDEMPOTENT))
    assert isinstance(response, Refused)
    assert response.status == 502
    assert len(fleet.requests) == 2


@pytest.mark.parametrize("kind", [RouteKind.ONCE, RouteKind.STREAM])
def test_broken_answer_does_not_look_whole(kind: RouteKind) -> None:
    fleet = Fleet(breaks_within_body)
    assert asyncio.run(fleet.call(kind)) is None


def test_silent_node_is_waited_for_until_the_deadline() -> None:
    fleet = Fleet(is_silent)
    response = asyncio.run(fleet.call(time_left_s=0.5))
    assert isinstance(response, Refused)
    assert response.status == 504


def test_request_is_refused_truthfully_without_any_node() -> None:
    response = asyncio.run(Fleet().call())
    assert isinstance(response, Refused)
    assert response.status == 503
    assert response.retry_after_s
