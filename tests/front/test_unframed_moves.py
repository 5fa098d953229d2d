"""Tests of unframed streams whose run is moved, or whose node ends."""

import asyncio
import time
from collections.abc import Callable

import pytest

from tests.front.environment import (
    NodeEnvironment,
    event_numbers,
    run_in_environment,
)
from tests.front.unframed_server import (
    PROMPT_S,
    REGISTRY_S,
    STREAM_PATHS,
    CallerView,
    call,
)
from tests.standins.platform_server import PlatformServer

# Longer than the node waits for a copy.
FAILED_COPY_S = 3.0


@pytest.mark.parametrize("is_framed_after_move", [False, True])
def test_stream_that_its_move_closed_goes_on(
    is_framed_after_move: bool,  # noqa: FBT001
) -> None:
    async def scenario(env: NodeEnvironment) -> None:
        for engine in env.pool:
            engine.events_per_stream = 60
            engine.has_unframed_streams = True
        calling = asyncio.ensure_future(call(env, "/stream/"))
        await asyncio.sleep(REGISTRY_S)
        (source,) = [s for s in env.pool if s.runs]
        (other,) = [s for s in env.pool if not s.runs]
        other.has_unframed_streams = not is_framed_after_move
        env.publish_entry(source, "pool", "draining")
        _, body, view = await calling
        assert "a1" in source.stopped
        assert event_numbers(body) == list(range(1, 61))
        assert view is CallerView.UNFRAMED

    run_in_environment(scenario)


async def drain_source(
    env: NodeEnvironment, path: str, set_up: Callable[[PlatformServer], None]
) -> tuple[PlatformServer, bytes, CallerView]:
    """Lets the engine of an unframed stream drain, and ends the stream."""
    for engine in env.pool:
        engine.events_per_stream = 60
        engine.has_unframed_streams = True
    calling = asyncio.ensure_future(call(env, path))
    await asyncio.sleep(REGISTRY_S)
    (source,) = [s for s in env.pool if s.runs]
    set_up(source)
    env.publish_entry(source, "pool", "draining")
    _, body, view = await calling
    return source, body, view


def test_stream_whose_move_stopped_it_and_failed_does_not_look_whole() -> None:
    def set_up(source: PlatformServer) -> None:
        source.final_copy_delay_s = FAILED_COPY_S

    async def scenario(env: NodeEnvironment) -> None:
        source, body, view = await drain_source(env, "/stream/", set_up)
        assert "a1" in source.stopped
        assert len(event_numbers(body)) < 60
        assert view is CallerView.BROKEN

    run_in_environment(scenario)


def test_stream_whose_move_stopped_it_and_failed_goes_on_if_it_may() -> None:
    def set_up(source: PlatformServer) -> None:
        source.final_copy_delay_s = FAILED_COPY_S

    async def scenario(env: NodeEnvironment) -> None:
        source, body, view = await drain_source(env, "/resumable/", set_up)
        assert "a1" in source.stopped
        assert event_numbers(body) == list(range(1, 61))
        assert view is CallerView.UNFRAMED

    run_in_environment(scenario)


@pytest.mark.parametrize("path", STREAM_PATHS)
def test_stream_that_ended_before_its_move_could_stop_it_is_whole(
    path: str,
) -> None:
    def set_up(source: PlatformServer) -> None:
        source.ends_before_final_copy = True

    async def scenario(env: NodeEnvironment) -> None:
        source, body, view = await drain_source(env, path, set_up)
        assert "a1" not in source.stopped
        assert event_numbers(body) == list(range(1, 61))
        assert view is CallerView.UNFRAMED
        assert sum(len(engine.runs) for engine in env.pool) == 1

    run_in_environment(scenario)


@pytest.mark.parametrize("path", STREAM_PATHS)
def test_stream_whose_source_was_replaced_during_its_move_goes_on(
    path: str,
) -> None:
    def set_up(source: PlatformServer) -> None:
        source.is_replaced_at_final_copy = True

    async def scenario(env: NodeEnvironment) -> None:
        source, body, view = await drain_source(env, path, set_up)
        assert source.born == 2
        assert event_numbers(body) == list(range(1, 61))
        assert view is CallerView.UNFRAMED
        assert sum(len(engine.runs) for engine in env.pool) == 1

    run_in_environment(scenario)


def test_end_of_a_stream_that_its_move_missed_is_not_delayed() -> None:
    def set_up(source: PlatformServer) -> None:
        source.ends_before_final_copy = True

    async def scenario(env: NodeEnvironment) -> None:
        third = PlatformServer("pool-2")
        await third.start(env.ports[10])
        env.pool.append(third)
        for engine in env.pool:
            engine.peers = {other.port: other for other in env.pool}
        env.publish_entry(third, "pool")
        await asyncio.sleep(REGISTRY_S)
        began_s = time.monotonic()
        source, body, _ = await drain_source(env, "/stream/", set_up)
        took_s = time.monotonic() - began_s
        assert event_numbers(body) == list(range(1, 61))
        assert source.ended_s - began_s + PROMPT_S > took_s

    run_in_environment(scenario)


def test_framed_stream_that_ends_unframed_elsewhere_does_not_look_whole() -> (
    None
):
    async def scenario(env: NodeEnvironment) -> None:
        for engine in env.pool:
            engine.events_per_stream = 60
        calling = asyncio.ensure_future(call(env, "/stream/"))
        await asyncio.sleep(REGISTRY_S)
        (source,) = [s for s in env.pool if s.runs]
        (other,) = [s for s in env.pool if not s.runs]
        other.has_unframed_streams = True
        env.publish_entry(source, "pool", "draining")
        _, body, view = await calling
        assert event_numbers(body) == list(range(1, 61))
        assert view is CallerView.BROKEN

    run_in_environment(scenario)


def test_unframed_stream_at_the_end_of_a_node_does_not_look_whole() -> None:
    async def scenario(env: NodeEnvironment) -> None:
        for engine in env.pool:
            engine.events_per_stream = 1000
            engine.has_unframed_streams = True
        calling = asyncio.ensure_future(call(env, "/stream/"))
        await asyncio.sleep(REGISTRY_S)
        assert env.node is not None
        env.node.leave()
        _, body, view = await calling
        assert event_numbers(body)
        assert view is CallerView.BROKEN

    run_in_environment(scenario)
