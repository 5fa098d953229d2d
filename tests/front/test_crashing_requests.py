"""Tests of a whole node with requests that crash engines."""

import asyncio

from savorylift.wire.message import Headers, Response
from tests.front.environment import NodeEnvironment, run_in_environment
from tests.standins.platform_server import RESTART_S

# Crashes after which no more than a few requests may reach engines.
MAX_CRASHES = 5
REQUESTS = 12


def generation_headers(prefix: str) -> Headers:
    return (
        ("x-savorylift-token-counts", "100,50"),
        ("x-savorylift-prompt-prefix", prefix),
    )


def crash_on(env: NodeEnvironment, part: str) -> None:
    """Makes the engines crash on a part, and come back under other IDs."""
    for server in env.pool:
        server.deadly_part = part
        env.republish_on_restart(server, "pool")


async def call_deadly(env: NodeEnvironment, number: int) -> Response:
    prefix = f"system:50,dead:20,own{number}:30"
    headers = generation_headers(prefix)
    return await env.call("/stream/x", f"d{number}", headers)


async def call_sound(env: NodeEnvironment, number: int) -> Response:
    headers = generation_headers(f"system:50,own{number}:50")
    return await env.call("/stream/x", f"s{number}", headers)


def test_requests_that_crash_engines_no_longer_reach_them() -> None:
    async def scenario(env: NodeEnvironment) -> None:
        crash_on(env, "dead")
        assert (await call_sound(env, 0)).status == 200
        statuses = []
        for number in range(1, REQUESTS):
            deadly = await call_deadly(env, number)
            statuses.append(deadly.status)
            await asyncio.sleep(2 * RESTART_S)
        crashes = sum(server.crashes for server in env.pool)
        assert crashes <= MAX_CRASHES
        assert statuses[-3:] == [503, 503, 503]
        assert deadly.header("retry-after") is not None
        assert (await call_sound(env, REQUESTS)).status == 200

    run_in_environment(scenario)


def test_request_at_an_engine_is_stopped_before_it_crashes_it() -> None:
    async def scenario(env: NodeEnvironment) -> None:
        crash_on(env, "dead")
        for number in range(2):
            await call_deadly(env, number)
            await asyncio.sleep(2 * RESTART_S)
        env.pool[0].delay_s = 1.0
        first, second = await asyncio.gather(
            call_deadly(env, 2), call_deadly(env, 3)
        )
        assert {first.status, second.status} == {502}
        await asyncio.sleep(1.0)
        assert sum(server.crashes for server in env.pool) == 3

    run_in_environment(scenario)
