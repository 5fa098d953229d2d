"""Tests of a node that has no memory left for the bodies of requests."""

import time

import pytest

from savorylift.front.node import FrontNode
from savorylift.front.relay_headers import RELAY_REFUSED, RELAYED
from savorylift.wire.body_budget import SMALL_BODY_BYTES
from savorylift.wire.body_lease import BodyLease
from savorylift.wire.client_call import ClientCall
from savorylift.wire.connecting import connect
from savorylift.wire.message import Headers, Response
from tests.front.environment import HOST, NodeEnvironment, run_in_environment

CALLER_PORT, PEER_PORT, METRICS_PORT = 5, 8, 9
TIME_LEFT_S = 3.0
# A request that isn't read must be refused while its caller can try again.
MAX_WAIT_S = TIME_LEFT_S / 3
HEADERS: Headers = (
    ("host", "h.example"),
    ("x-savorylift-attempt-id", "full"),
    ("x-savorylift-deadline-remaining", f"{TIME_LEFT_S * 1000:.0f}"),
    ("x-api-key", "key"),
)


def fill(node: FrontNode) -> BodyLease:
    """Takes all memory for bodies."""
    lease = BodyLease()
    budget = node._admission.budget
    while budget.take_now(lease, SMALL_BODY_BYTES):
        pass
    return lease


async def call(
    env: NodeEnvironment, port: int, marks: Headers, body: bytes
) -> Response:
    call = ClientCall(await connect(HOST, env.ports[port], 1.0))
    call.send("POST", "/once/x", HEADERS + marks, body)
    response = await call.read_response()
    call.close()
    return response


@pytest.mark.parametrize(
    ("port", "marks", "relayed"),
    [
        pytest.param(CALLER_PORT, (), None, id="caller"),
        pytest.param(PEER_PORT, RELAYED, RELAY_REFUSED[0][1], id="node"),
    ],
)
def test_full_node_refuses_bodies_as_not_run(
    port: int, marks: Headers, relayed: str | None
) -> None:
    """Without an answer, a request handed over would count as run."""

    async def scenario(env: NodeEnvironment) -> None:
        assert env.node is not None
        lease = fill(env.node)
        began_s = time.monotonic()
        refused = await call(env, port, marks, bytes(SMALL_BODY_BYTES))
        assert time.monotonic() - began_s < MAX_WAIT_S
        assert refused.status == 503
        assert refused.header("retry-after") is not None
        assert refused.header("savorylift-relay") == relayed
        assert not any(server.runs for server in env.app)
        metrics = (await env.get(METRICS_PORT, "/metrics")).body.decode()
        assert 'refusals_total{reason="node_full"}' in metrics
        assert "savorylift_front_bodies_held_total" in metrics
        env.node._admission.budget.release(lease)
        served = await call(env, port, marks, bytes(SMALL_BODY_BYTES))
        assert served.status == 200

    run_in_environment(scenario)


def test_full_node_serves_requests_without_a_body() -> None:
    async def scenario(env: NodeEnvironment) -> None:
        assert env.node is not None
        fill(env.node)
        assert (await env.get(7, "/readiness")).status == 200

    run_in_environment(scenario)
