"""Tests of the requests that are open while a node drains."""

import asyncio
import contextlib

from savorylift.front.lifecycle import Lifecycle

OPEN_REQUESTS = 1000


async def wait_for_end(
    lifecycle: Lifecycle, other: "asyncio.Future[None]"
) -> bool:
    """Waits as an open request does; returns whether the node ended it."""
    with lifecycle.watch_end() as ended:
        await asyncio.wait((ended, other), return_when=asyncio.FIRST_COMPLETED)
        return ended.done()


def test_end_reaches_requests_that_are_open_and_later_ones() -> None:
    async def scenario() -> None:
        lifecycle = Lifecycle(8.0)
        lifecycle.leave()
        never: asyncio.Future[None] = asyncio.Future()
        task = asyncio.ensure_future(wait_for_end(lifecycle, never))
        await asyncio.sleep(0)
        assert not task.done()
        assert lifecycle.may_begin(0.0)
        lifecycle.end()
        lifecycle.end()
        assert not lifecycle.may_begin(0.0)
        async with asyncio.timeout(1.0):
            assert await task
            assert await wait_for_end(lifecycle, never)

    asyncio.run(scenario())


def test_no_future_is_shared_by_open_requests() -> None:
    """To stop waiting for a shared one takes as long as there are requests."""

    async def scenario() -> None:
        lifecycle = Lifecycle(8.0)
        with contextlib.ExitStack() as stack:
            watched = {
                stack.enter_context(lifecycle.watch_end())
                for _ in range(OPEN_REQUESTS)
            }
            assert len(watched) == OPEN_REQUESTS
            assert lifecycle._end_watches == watched
        assert not lifecycle._end_watches

    asyncio.run(scenario())
