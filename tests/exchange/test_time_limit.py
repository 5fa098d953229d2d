"""Tests of the end of a time limit before its time."""

import asyncio

import pytest

from savorylift.exchange.time_limit import end_now


def test_what_runs_within_a_limit_ends_once() -> None:
    async def run(ended: list[bool]) -> None:
        async with asyncio.timeout(None) as limit:
            ended.append(end_now(limit))
            try:
                await asyncio.Event().wait()
            finally:
                ended.append(end_now(limit))

    async def scenario() -> None:
        ended: list[bool] = []
        with pytest.raises(TimeoutError):
            await run(ended)
        assert ended == [True, False]

    asyncio.run(asyncio.wait_for(scenario(), 1.0))


def test_nothing_ends_without_a_limit() -> None:
    assert end_now(None) is False
