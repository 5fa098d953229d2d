"""Tests of generations that wait for room on an engine."""

import asyncio
import gc
import time

import pytest

from savorylift.exchange.engine_queue import EngineQueue
from savorylift.exchange.room_placement import RoomPlacement, RoomResult
from savorylift.exchange.run import Run
from savorylift.exchange.wish import Wish
from savorylift.placement.memory_release_rate import MIN_RELEASES
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


class SilentRooms:
    """Stands for a fleet whose keeper of engines' room doesn't reply."""

    def __init__(self, *, is_fleet_large: bool) -> None:
        """Creates a fleet that has a keeper if it is large."""
        self._is_fleet_large = is_fleet_large

    def has_keeper(self, _service: str) -> bool:
        """Whether the fleet is large."""
        return self._is_fleet_large

    async def find(
        self, _run: Run, _wish: Wish, _tried: set[str]
    ) -> RoomResult | None:
        """Leaves the choice to the node."""
        return None

    def end(self, _run: Run) -> None:
        """Has no place to give back."""


@pytest.mark.parametrize(
    ("is_fleet_large", "refused"), [(False, False), (True, True), (None, False)]
)
def test_only_nodes_of_large_fleets_refuse_by_a_forecast(
    *, is_fleet_large: bool | None, refused: bool
) -> None:
    """In a small one others' engines may have room sooner than it knows."""

    async def scenario() -> None:
        rooms = None
        if is_fleet_large is not None:
            rooms = SilentRooms(is_fleet_large=is_fleet_large)
        queue = EngineQueue(make_full_pool((2, 2)), rooms)  # type: ignore[arg-type]
        req = make_generation_request()
        for _ in range(MIN_RELEASES):
            ended = Run(make_admitted_request(req, engine=ENGINE), 1)
            queue.record_release(ended)
        run = Run(make_admitted_request(req, engine=ENGINE), 10**9)
        task = asyncio.ensure_future(queue.acquire(run, set()))
        done, _ = await asyncio.wait((task,), timeout=WATCH_S)
        assert bool(done) is refused
        assert (run.return_in_s is not None) is refused
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


# Most that anything else waits while the loop is held (issue 62).
MAX_HELD_S = 0.1
# Generations that come within one turn of the loop.
BATCH = 100


async def watch_loop(holds_s: list[float]) -> None:
    """Notes how long each turn of the loop takes."""
    began_s = time.perf_counter()
    while True:
        await asyncio.sleep(0)
        now_s = time.perf_counter()
        holds_s.append(now_s - began_s)
        began_s = now_s


@pytest.mark.parametrize("waiting", [10, 100, 1000, 5000])
def test_loop_is_not_held_while_generations_come_wait_and_end(
    waiting: int,
) -> None:
    async def scenario() -> None:
        holds_s: list[float] = []
        watch = asyncio.ensure_future(watch_loop(holds_s))
        queue = EngineQueue(make_full_pool((2, 2)))
        req = make_generation_request()
        tasks: list[asyncio.Task[object]] = []
        for number in range(waiting):
            run = Run(make_admitted_request(req, engine=ENGINE), 100)
            tasks.append(asyncio.ensure_future(queue.acquire(run, set())))
            if number % BATCH == 0:
                await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert queue.has_waiting
        for number, task in enumerate(tasks):
            task.cancel()
            queue.dispatch_waiting()
            if number % BATCH == 0:
                await asyncio.sleep(0)
        watch.cancel()
        await asyncio.wait(tasks)
        assert max(holds_s) < MAX_HELD_S

    # Collections of garbage are left out: they grow with the test process.
    gc.disable()
    try:
        asyncio.run(scenario())
    finally:
        gc.enable()


@pytest.mark.parametrize("waiting", [10, 100, 1000, 5000])
def test_those_that_the_same_servers_may_continue_are_asked_for_once(
    waiting: int,
) -> None:
    async def scenario() -> None:
        queue = EngineQueue(make_full_pool((2, 2)))
        tasks = []
        for number in range(waiting):
            admitted = make_admitted_request(
                make_generation_request(), engine=ENGINE
            )
            run = Run(admitted, 100)
            if number % 2:
                run.bind_version("")
            tasks.append(asyncio.ensure_future(queue.acquire(run, set())))
        await asyncio.sleep(0)
        asked: list[Run] = []

        def is_gone(run: Run) -> bool:
            asked.append(run)
            return True

        assert len(queue.find_begun(is_gone)) == waiting // 2
        assert len(asked) == 1
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)
        assert not queue.find_begun(lambda _: True)

    asyncio.run(scenario())
