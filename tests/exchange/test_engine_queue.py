"""Tests of generations that wait for room on an engine."""

import asyncio
import time

import pytest

from savorylift.exchange.engine_queue import EngineQueue
from savorylift.exchange.room_placement import RoomPlacement, RoomResult
from savorylift.exchange.run import Run
from savorylift.exchange.wish import Wish
from tests.exchange.factories import (
    ENGINE,
    make_admitted_request,
    make_full_pool,
    make_generation_request,
    make_pool,
    make_store_view,
)

# Shorter than any wait in the queue, and than the callers' timeout.
WATCH_S = 0.2


@pytest.mark.parametrize(
    ("resume_after", "peer_requests", "waits"),
    [
        # The caller of a stream under way finds the room at another node.
        ("9", (0, 2), False),
        ("9", (2, 2), True),
        (None, (0, 2), True),
    ],
)
def test_stream_under_way_does_not_wait_while_another_node_has_room(
    resume_after: str | None, peer_requests: tuple[int, int], *, waits: bool
) -> None:
    async def scenario() -> None:
        req = make_generation_request()._replace(resume_after=resume_after)
        run = Run(make_admitted_request(req, engine=ENGINE), 100)
        queue = EngineQueue(make_full_pool(peer_requests))
        task = asyncio.ensure_future(queue.acquire(run, set()))
        done, _ = await asyncio.wait((task,), timeout=WATCH_S)
        assert bool(done) is not waits
        assert waits or task.result() is None
        task.cancel()

    asyncio.run(scenario())


@pytest.mark.parametrize(("last_event", "waits"), [(5, True), (None, False)])
def test_stream_that_lost_its_engine_late_still_waits_for_another(
    last_event: int | None, *, waits: bool
) -> None:
    """What its caller has would be lost if it ended at once."""

    async def scenario() -> None:
        req = make_generation_request()._replace(
            arrived_s=time.monotonic() - 9.0, time_left_s=30.0
        )
        run = Run(make_admitted_request(req, engine=ENGINE), 100)
        run.last_event = last_event
        queue = EngineQueue(make_full_pool((2, 2)))
        task = asyncio.ensure_future(queue.acquire(run, set()))
        done, _ = await asyncio.wait((task,), timeout=WATCH_S)
        assert bool(done) is not waits
        task.cancel()

    asyncio.run(scenario())


class SlowRooms:
    """Stands for a keeper of engines' room at which generations wait."""

    async def find(
        self, _run: Run, _wish: Wish, _tried: set[str]
    ) -> RoomResult | None:
        """Waits."""
        await asyncio.Event().wait()
        return None


@pytest.mark.parametrize("rooms", [None, SlowRooms()])
def test_generation_does_not_wait_on_when_all_engines_leave(
    rooms: RoomPlacement | None,
) -> None:
    """Wherever it waits: in the own queue, or at the keeper of the room."""

    async def scenario() -> None:
        req = make_generation_request()
        run = Run(make_admitted_request(req, engine=ENGINE), 100)
        store_view = make_store_view(a=9)
        entry = store_view.registry.servers["a"].entry._replace(
            sequence=2, cold_s=60.0, max_cold_requests=0
        )
        store_view.registry.put(entry, time.monotonic())
        queue = EngineQueue(make_pool(store_view), rooms)
        task = asyncio.ensure_future(queue.acquire(run, set()))
        await asyncio.sleep(WATCH_S)
        queue.dispatch_waiting()
        await asyncio.sleep(0)
        assert not task.done()
        store_view.registry.mark_leaving("a", entry.started_ms)
        queue.dispatch_waiting()
        async with asyncio.timeout(WATCH_S):
            assert await task is None

    asyncio.run(scenario())
