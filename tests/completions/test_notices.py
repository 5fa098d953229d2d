"""Tests of servers of the completion interface that leave or want a pause."""

import asyncio
from collections.abc import Callable

import msgspec
import pytest

from savorylift.wire.message import Response
from tests.completions.environment import NodeEnvironment, run_in_environment

LEAVING = (("savorylift-draining", "1"),)
HOLD = (("retry-after", "5"),)
CALLS = 12
AT_ONCE_S = 0.3


async def call_service(env: NodeEnvironment, number: int) -> Response:
    return await env.call_node(
        "GET", "/v1/services/crew/x", headers={"x-request-id": f"c{number}"}
    )


async def generate(env: NodeEnvironment, number: int) -> Response:
    headers = {"x-request-id": f"g{number}"}
    return await env.complete("report len=3", headers)


def leave_service(env: NodeEnvironment) -> None:
    env.services[0].headers = LEAVING


def hold_service(env: NodeEnvironment) -> None:
    env.services[0].status = 503
    env.services[0].headers = HOLD


def leave_engine(env: NodeEnvironment) -> None:
    state = env.engines[0]
    state.cfg = msgspec.structs.replace(state.cfg, says_leaving=True)


def hold_engine(env: NodeEnvironment) -> None:
    # It has no room for any that waits.
    state = env.engines[0]
    state.cfg = msgspec.structs.replace(
        state.cfg, max_waiting=0, retry_after="5"
    )


def service_calls(env: NodeEnvironment) -> int:
    return len(env.services[0].requests)


def engine_calls(env: NodeEnvironment) -> int:
    return len(env.engines[0].record.dispatches)


@pytest.mark.parametrize(
    ("change", "call", "count"),
    [
        (leave_service, call_service, service_calls),
        (hold_service, call_service, service_calls),
        (leave_engine, generate, engine_calls),
        (hold_engine, generate, engine_calls),
    ],
)
def test_server_gets_nothing_more_once_it_has_said_so(
    change: Callable[[NodeEnvironment], None],
    call: Callable[[NodeEnvironment, int], asyncio.Future[Response]],
    count: Callable[[NodeEnvironment], int],
) -> None:
    async def scenario(env: NodeEnvironment) -> None:
        change(env)
        number = 0
        while not count(env):
            # Two at a time: one after another may all go to the other server.
            number += 2
            await asyncio.gather(call(env, number - 1), call(env, number))
        reached = count(env)
        for more in range(CALLS):
            answer = await call(env, number + more + 1)
            assert answer.status == 200
        assert count(env) == reached

    run_in_environment(scenario)
