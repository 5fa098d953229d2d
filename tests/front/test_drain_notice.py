"""Tests of engines that are taken away with little notice."""

import asyncio
import time

import pytest

from tests.front.environment import NodeEnvironment, run_in_environment

TOKEN_COUNTS = (("x-savorylift-token-counts", "100,50"),)
# An engine stops this long after its notice. A copy takes up to 0.5 s of it.
NOTICE_S = 1.5
COPY_S = 0.5


@pytest.mark.parametrize("silent_before_s", [0.0, 0.5, 1.0])
def test_run_is_moved_in_time_when_notice_comes_early_in_an_outage(
    silent_before_s: float,
) -> None:
    async def scenario(env: NodeEnvironment) -> None:
        for server in env.pool:
            server.events_per_stream = 1000
        call = await env.open_call("/stream/x", "s1", TOKEN_COUNTS)
        await call.read_head()
        (draining,) = [s for s in env.pool if "s1" in s.runs]
        env.store.is_silent = True
        await asyncio.sleep(silent_before_s)
        noticed_s = time.monotonic()
        draining.is_leaving = True
        async with asyncio.timeout(2 * NOTICE_S):
            while "s1" not in draining.stopped:
                await asyncio.sleep(0.01)
        took_s = time.monotonic() - noticed_s
        for server in env.pool:
            server.events_per_stream = 1
        call.close()
        assert took_s < NOTICE_S - COPY_S

    run_in_environment(scenario)
