"""Tests of what a node makes of the planner's replies."""

import asyncio
from collections.abc import Callable

import pytest

from savorylift.exchange.run import Run
from savorylift.fleet.move_messages import MoveOutcome, MoveReply, MoveRequest
from savorylift.moves.turns import OTHER_REASON, MoveTurns
from tests.exchange.factories import (
    ENGINE,
    make_admitted_request,
    make_generation_request,
    make_pool,
    make_store_view,
)


class FakeClient:
    """Stands for a planner that gives the same reply to each request."""

    def __init__(self, reply: MoveReply | None) -> None:
        """Creates a client with its reply."""
        self.reply = reply
        self.ended: list[int] = []

    def find_planner(self, _service: str) -> str:
        """Returns a planner."""
        return "10.0.0.9"

    async def ask(
        self,
        _ip: str,
        make_request: Callable[[], MoveRequest],
        _leave_s: float,
    ) -> MoveReply | None:
        """Replies."""
        make_request()
        return self.reply

    def end(self, _ip: str, number: int, _moved_to: str | None) -> None:
        """Notes the end of a turn."""
        self.ended.append(number)


def make_run() -> Run:
    """Returns a run on an engine."""
    req = make_generation_request()
    return Run(make_admitted_request(req, engine=ENGINE), 1100)


@pytest.mark.parametrize(
    ("reason", "answers", "expected"),
    [
        ("time", (True, True), "time"),
        ("room", (True, True), "room"),
        ("a reason of a later build", (True, True), OTHER_REASON),
        # The retry budget has been used up, or it sent an unnumbered event.
        ("time", (True, False), ""),
        ("time", (False, False), ""),
    ],
)
def test_run_is_given_up_only_if_it_may_still_be_repeated(
    reason: str, answers: tuple[bool, ...], expected: str
) -> None:
    async def scenario() -> None:
        pool = make_pool(make_store_view(a=9))
        client = FakeClient(MoveReply(1, MoveOutcome.UNSAVED, reason=reason))
        told = iter(answers)
        turns = MoveTurns(pool, client, lambda _: next(told))  # type: ignore[arg-type]
        run = make_run()
        run.server = pool.find_server("a")
        async with turns.take(run, set()) as turn:
            assert turn.unsaved_reason == expected
            is_ordered_here = bool(pool.move_queue.planned)
            assert is_ordered_here == (expected == "")
        assert not pool.move_queue.planned
        assert not run.awaits_move

    asyncio.run(scenario())


def test_planned_turn_ends_with_the_engine_that_took_the_run() -> None:
    async def scenario() -> None:
        pool = make_pool(make_store_view(a=9))
        client = FakeClient(MoveReply(7, MoveOutcome.GO, "b"))
        turns = MoveTurns(pool, client)  # type: ignore[arg-type]
        run = make_run()
        run.server = pool.find_server("a")
        async with turns.take(run, set()) as turn:
            assert turn.destination_id == "b"
            assert client.ended == []
        assert client.ended == [7]
        assert not pool.move_queue.planned

    asyncio.run(scenario())
