"""Tests of calls that are shared by all who ask in a turn of the loop."""

import asyncio
import itertools
import time

from savorylift.paced_call import MAX_PAUSE_S, PAUSE_PER_CALL, PacedCall

LONG_S = 0.005


def test_requests_of_one_turn_share_a_call() -> None:
    async def scenario() -> None:
        calls: list[None] = []
        call = PacedCall(lambda: calls.append(None))
        for _ in range(1000):
            call.request()
        assert not calls
        await asyncio.sleep(0)
        assert len(calls) == 1
        call.request()
        await asyncio.sleep(0)
        assert len(calls) == 2

    asyncio.run(scenario())


def test_long_calls_leave_most_of_the_loop_to_others() -> None:
    async def scenario() -> None:
        begun_s: list[float] = []

        def take_long() -> None:
            begun_s.append(time.monotonic())
            time.sleep(LONG_S)

        call = PacedCall(take_long)
        until_s = time.monotonic() + 0.5
        while time.monotonic() < until_s:
            call.request()
            await asyncio.sleep(0.001)
        gaps_s = [b - a for a, b in itertools.pairwise(begun_s)]
        assert min(gaps_s) >= (1 + PAUSE_PER_CALL) * LONG_S
        assert len(begun_s) >= 2

    asyncio.run(scenario())


def test_call_that_fails_is_called_again() -> None:
    async def scenario() -> None:
        calls: list[None] = []

        def fail() -> None:
            calls.append(None)
            raise ValueError

        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        call = PacedCall(fail)
        for _ in range(2):
            call.request()
            await asyncio.sleep(MAX_PAUSE_S)
        assert len(calls) == 2

    asyncio.run(scenario())
