"""Tests of calls that wait for a place at a server."""

import asyncio

from savorylift.exchange.place_queue import MAX_WAITING, PlaceQueue


def test_call_that_waits_longest_is_woken_first() -> None:
    async def scenario() -> None:
        places = PlaceQueue()
        first = asyncio.ensure_future(places.wait("s", 1.0))
        second = asyncio.ensure_future(places.wait("s", 0.05))
        await asyncio.sleep(0)
        places.wake("s")
        assert await first
        assert not await second
        places.wake("s")

    asyncio.run(scenario())


def test_call_that_left_is_passed_over() -> None:
    async def scenario() -> None:
        places = PlaceQueue()
        first = asyncio.ensure_future(places.wait("s", 1.0))
        second = asyncio.ensure_future(places.wait("s", 1.0))
        await asyncio.sleep(0)
        first.cancel()
        await asyncio.sleep(0)
        places.wake("s")
        assert await second

    asyncio.run(scenario())


def test_calls_beyond_the_bound_do_not_wait() -> None:
    async def scenario() -> None:
        places = PlaceQueue()
        waiting = [
            asyncio.ensure_future(places.wait("s", 0.2))
            for _ in range(MAX_WAITING)
        ]
        await asyncio.sleep(0)
        assert not await places.wait("s", 10.0)
        assert not any(await asyncio.gather(*waiting))
        assert not await places.wait("other", 0.0)

    asyncio.run(scenario())
