"""Tests of what a node makes of the replies of a keeper of engines' room."""

import time
from collections.abc import Callable

import pytest

from savorylift.backends.registry import BackendServer
from savorylift.exchange.engine_queue import EngineQueue
from savorylift.exchange.room_placement import RoomPlacement
from savorylift.exchange.run import Run
from savorylift.exchange.server_pool import ServerPool
from savorylift.fleet.room_messages import RoomOutcome, RoomReply, RoomRequest
from savorylift.rooms.client import RoomAnswer
from savorylift.rooms.engine_groups import EngineGroups
from tests.exchange.factories import (
    ENGINE,
    make_admitted_request,
    make_generation_request,
    make_pool,
    make_store_view,
)
from tests.wire.loopback import run_with_timeout

QUEUED = RoomReply(1, RoomOutcome.QUEUED)
REFUSED = RoomReply(1, RoomOutcome.REFUSED, None, 3.0)


class FakeClient:
    """Gives the same reply to each request for a place."""

    def __init__(self, reply: RoomReply | None) -> None:
        """Creates a client with its reply."""
        self.reply = reply
        self.requests: list[RoomRequest] = []
        self.ended: list[str] = []

    def find_keeper(self, _service: str) -> str:
        """Returns a keeper."""
        return "10.0.0.9"

    async def ask(
        self,
        _ip: str,
        _attempt_id: str,
        make_request: Callable[[], RoomRequest],
        find_other_place: Callable[[], BackendServer | None],
        _leave_s: float,
    ) -> RoomAnswer[BackendServer]:
        """Replies; one that is queued looks for other places."""
        self.requests.append(make_request())
        other_place = find_other_place() if self.reply is QUEUED else None
        return RoomAnswer(self.reply, other_place)

    def end(self, attempt_id: str) -> None:
        """Notes the end of a place."""
        self.ended.append(attempt_id)


class GroupClient(FakeClient):
    """Stands for the keepers of two groups of engines."""

    def __init__(self, *replies: RoomReply | None) -> None:
        """Creates a client with the replies to come."""
        super().__init__(None)
        self._replies = iter(replies)

    async def ask(
        self,
        ip: str,
        attempt_id: str,
        make_request: Callable[[], RoomRequest],
        find_other_place: Callable[[], BackendServer | None],
        leave_s: float,
    ) -> RoomAnswer[BackendServer]:
        """Gives the next reply."""
        self.reply = next(self._replies)
        return await super().ask(
            ip, attempt_id, make_request, find_other_place, leave_s
        )


@pytest.mark.parametrize(
    ("engines", "replies", "server_id", "return_in_s"),
    [
        # One keeper of all engines is asked once.
        (47, (REFUSED,), None, 3.0),
        (48, (RoomReply(1, RoomOutcome.GRANTED, "a"),), "a", None),
        (48, (REFUSED, RoomReply(1, RoomOutcome.GRANTED, "a")), "a", None),
        (48, (REFUSED, REFUSED._replace(return_in_s=2.0)), None, 2.0),
        (48, (REFUSED, REFUSED._replace(return_in_s=4.0)), None, 3.0),
        (48, (REFUSED, None), None, 3.0),
        (48, (REFUSED, QUEUED), None, None),
    ],
)
def test_second_keeper_is_asked_before_a_generation_is_refused(
    engines: int,
    replies: tuple[RoomReply | None, ...],
    server_id: str | None,
    return_in_s: float | None,
) -> None:
    async def scenario() -> None:
        pool, client = make_pool(make_store_view(a=9)), GroupClient(*replies)
        groups = EngineGroups(lambda _: engines)
        rooms = RoomPlacement(pool, client, groups)  # type: ignore[arg-type]
        run = Run(
            make_admitted_request(make_generation_request(), engine=ENGINE), 100
        )
        server = await EngineQueue(pool, rooms).acquire(run, set())
        assert (server and server.entry.server_id) == server_id
        assert run.return_in_s == return_in_s
        assert len(client.requests) == len(replies)
        asked = {req.group for req in client.requests}
        assert len(asked) == len(client.requests)

    run_with_timeout(scenario())


def make_pool_with_cold_engine() -> ServerPool:
    """Returns a pool with a warm engine, `a`, and a cold one, `b`."""
    store_view = make_store_view(a=9, b=9)
    entry = store_view.registry.servers["b"].entry
    cold = entry._replace(sequence=2, cold_s=60.0, max_cold_requests=2)
    store_view.registry.put(cold, time.monotonic())
    return make_pool(store_view)


@pytest.mark.parametrize("reply", [QUEUED, REFUSED])
def test_place_at_a_cold_engine_is_taken_whatever_the_keeper_says(
    reply: RoomReply,
) -> None:
    """The keeper knows nothing of the room of cold engines."""

    async def scenario() -> None:
        pool = make_pool_with_cold_engine()
        queue = EngineQueue(pool, RoomPlacement(pool, FakeClient(reply)))  # type: ignore[arg-type]
        run = Run(
            make_admitted_request(make_generation_request(), engine=ENGINE), 100
        )
        server = await queue.acquire(run, set())
        assert server is not None
        assert server.entry.server_id == "b"
        assert run.server is server
        assert run.return_in_s is None

    run_with_timeout(scenario())


@pytest.mark.parametrize("reason", ["leaving", "evacuated", "held", "tried"])
def test_grant_of_an_engine_that_may_get_nothing_is_given_back(
    reason: str,
) -> None:
    async def scenario() -> None:
        store_view = make_store_view(a=9, b=9)
        pool = make_pool(store_view)
        tried = set()
        if reason == "leaving":
            store_view.registry.mark_leaving("b", 1)
        elif reason == "evacuated":
            store_view.evacuated = frozenset({"b"})
        elif reason == "held":
            pool.holds.record("b", 5.0)
        else:
            tried.add("b")
        client = FakeClient(RoomReply(1, RoomOutcome.GRANTED, "b"))
        queue = EngineQueue(pool, RoomPlacement(pool, client))  # type: ignore[arg-type]
        run = Run(
            make_admitted_request(make_generation_request(), engine=ENGINE), 100
        )
        server = await queue.acquire(run, tried)
        assert client.requests
        assert client.ended == [run.attempt_id]
        assert server is not None
        assert server.entry.server_id == "a"

    run_with_timeout(scenario())


def test_keeper_is_told_which_engines_want_nothing_from_this_node() -> None:
    """It knows only of those that want nothing from itself."""

    async def scenario() -> None:
        pool = make_pool(make_store_view(a=9, b=9, c=9))
        pool.holds.record("b", 5.0)
        client = FakeClient(RoomReply(1, RoomOutcome.GRANTED, "a"))
        queue = EngineQueue(pool, RoomPlacement(pool, client))  # type: ignore[arg-type]
        run = Run(
            make_admitted_request(make_generation_request(), engine=ENGINE), 100
        )
        server = await queue.acquire(run, {"c"})
        assert server is not None
        assert client.requests[0].excluded == ("b", "c")

    run_with_timeout(scenario())


def test_keeper_hears_of_no_more_tokens_than_an_engine_holds() -> None:
    """Callers may state any number; rates and lines of all rest on them."""

    async def scenario() -> None:
        pool = make_pool(make_store_view(a=9))
        client = FakeClient(RoomReply(1, RoomOutcome.GRANTED, "a"))
        queue = EngineQueue(pool, RoomPlacement(pool, client))  # type: ignore[arg-type]
        req = make_generation_request(prompt_tokens=10**11 - 1)
        run = Run(make_admitted_request(req, engine=ENGINE), 10**11)
        assert await queue.acquire(run, set()) is not None
        (asked,) = client.requests
        assert asked.tokens == ENGINE.memory_tokens
        assert asked.prompt_tokens == ENGINE.memory_tokens

    run_with_timeout(scenario())


@pytest.mark.parametrize(
    "reply",
    [
        RoomReply(1, "split"),
        RoomReply(1, "split", "b"),
        RoomReply(1, RoomOutcome.GRANTED),
        RoomReply(1, RoomOutcome.GRANTED, "gone"),
    ],
)
def test_node_places_by_itself_after_a_reply_that_says_nothing_to_it(
    reply: RoomReply,
) -> None:
    async def scenario() -> None:
        pool = make_pool(make_store_view(a=9))
        queue = EngineQueue(pool, RoomPlacement(pool, FakeClient(reply)))  # type: ignore[arg-type]
        run = Run(
            make_admitted_request(make_generation_request(), engine=ENGINE), 100
        )
        server = await queue.acquire(run, set())
        assert server is not None
        assert server.entry.server_id == "a"

    run_with_timeout(scenario())
