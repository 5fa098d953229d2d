"""Tests of serving a run on its engine and on those that it is moved to."""

import asyncio
from types import SimpleNamespace
from typing import Any

import pytest

from savorylift.exchange.codec import CancelRequest
from savorylift.exchange.request import AnswerHead
from savorylift.exchange.results import Answered, Broken
from savorylift.exchange.run import ResumeTarget
from savorylift.outcomes import Reason
from savorylift.processes.server_check import ProcessEnd
from tests.exchange.scripted_engines import (
    CLOSE_DELIMITED,
    CUT,
    FAILED,
    FAILED_HEAD,
    HEAD,
    NOT_RUN,
    Chunk,
    ScriptedCall,
    ServedRun,
    begin,
    event,
)


def test_whole_stream_is_passed_on_and_ended() -> None:
    async def scenario() -> None:
        started = begin(event(1), event(2) + event(3))
        served = ServedRun(started)
        assert await served.serve() is None
        assert served.sink.received == event(1) + event(2) + event(3)
        assert served.sink.is_finished
        assert served.streams.begun == served.streams.complete == ["a1"]
        assert served.engines.cancelled == []
        assert served.run.call is None
        assert served.loads() == {"a": 1, "b": 0}
        served.runs.release(served.run)
        assert served.loads() == {"a": 0, "b": 0}

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("chunks", "head", "expected", "cancelled"),
    [
        ((), FAILED_HEAD, FAILED, []),
        (
            (event(1), CUT),
            HEAD,
            Broken(Reason.ANSWER_LOST, str(CUT)),
            [("a", CancelRequest("DELETE", "/r"))],
        ),
        (
            (event(1) + event(3),),
            HEAD,
            Broken(Reason.ANSWER_LOST, "event 3 followed event 1"),
            [("a", CancelRequest("DELETE", "/r"))],
        ),
    ],
)
def test_failure_of_an_engine_leaves_the_stream_of_the_caller_open(
    chunks: tuple[Chunk, ...],
    head: AnswerHead,
    expected: Answered | Broken,
    cancelled: list[tuple[str, CancelRequest]],
) -> None:
    async def scenario() -> None:
        served = ServedRun(begin(*chunks, head=head))
        assert await served.serve() == expected
        assert not served.sink.is_finished
        assert served.streams.complete == []
        assert served.engines.cancelled == cancelled

    asyncio.run(scenario())


def test_run_that_its_engine_rejects_has_not_begun() -> None:
    async def scenario() -> None:
        served = ServedRun(NOT_RUN)
        assert await served.serve() is NOT_RUN
        assert not served.sink.is_started
        assert served.streams.begun == []

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("end", "reason"),
    [
        (ProcessEnd.LIVES, None),
        (ProcessEnd.ENDED, Reason.ANSWER_LOST),
        (ProcessEnd.UNKNOWN, Reason.ANSWER_LOST),
        (ProcessEnd.LEFT, Reason.OUT_OF_SERVICE),
    ],
)
def test_stream_that_a_close_ends_is_whole_if_its_process_lives(
    end: ProcessEnd, reason: Reason | None
) -> None:
    async def scenario() -> None:
        started = begin(event(1), head=CLOSE_DELIMITED)
        served = ServedRun(started, end=end)
        result = await served.serve()
        if reason is None:
            assert result is None
        else:
            assert isinstance(result, Broken)
            assert result.reason is reason
        assert served.sink.is_finished is (reason is None)
        assert served.checks.ended == [started.call.channel]

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("is_copied", "head", "is_whole"),
    [
        (True, HEAD, True),
        (False, HEAD, False),
        # The caller's stream has a mark of its end, and this has none.
        (True, CLOSE_DELIMITED, False),
    ],
)
def test_moved_run_goes_on_at_its_new_engine(
    head: AnswerHead, *, is_copied: bool, is_whole: bool
) -> None:
    async def scenario() -> None:
        served = ServedRun(
            begin(event(1), event(2), CUT),
            begin(event(3), head=head, run_id="r2"),
        )
        if is_copied:
            served.set_target()
        served.drains_when_begun()
        result = await served.serve()
        assert (result is None) is is_whole
        assert served.sink.is_finished is is_whole
        assert served.mover.moved == 1
        assert served.run.moves == int(is_copied)
        expected = [("a", None), ("b", "copy")] if is_copied else [("a", None)]
        assert served.engines.sent == expected
        received = event(1) + event(2) + (event(3) if is_copied else b"")
        assert served.sink.received == received
        assert served.loads() == {"a": int(not is_copied), "b": int(is_copied)}

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("attributes", "is_moved"),
    [
        ({}, True),
        ({"first_event_s": None}, False),
        ({"server": None}, False),
        ({"call": None}, False),
        ({"has_unnumbered_events": True, "last_event": None}, False),
        ({"has_unnumbered_events": True, "last_event": 3}, True),
        ({"life_check": SimpleNamespace(done=lambda: False)}, False),
        ({"life_check": SimpleNamespace(done=lambda: True)}, True),
    ],
)
def test_only_a_run_whose_stream_can_go_on_is_moved(
    attributes: dict[str, Any], *, is_moved: bool
) -> None:
    async def scenario() -> None:
        served = ServedRun()
        run: Any = served.run
        run.server = served.server("a")
        run.call = ScriptedCall([])
        run.first_event_s = 1.0
        for name, value in attributes.items():
            setattr(run, name, value)
        served.runs.start_move_if_draining(run)
        assert run.move_task is None
        served.drain()
        served.runs.start_move_if_draining(run)
        assert (run.move_task is not None) is is_moved
        served.runs.start_move_if_draining(run)
        await asyncio.sleep(0)
        assert served.mover.moved == int(is_moved)

    asyncio.run(scenario())


@pytest.mark.parametrize("is_copied", [False, True])
def test_released_run_leaves_no_copy(*, is_copied: bool) -> None:
    async def scenario() -> None:
        served = ServedRun()
        run: Any = served.run
        run.server = served.server("a")
        served.set_target()
        move: asyncio.Task[ResumeTarget | None] = asyncio.ensure_future(
            served.mover.move(run)
        )
        run.move_task = move
        if is_copied:
            await move
        served.runs.release(run)
        await asyncio.wait((move,))
        assert move.cancelled() is not is_copied
        expected = [served.mover.target] if is_copied else []
        assert served.mover.discarded == expected
        assert run.move_task is None
        assert run.server is None

    asyncio.run(scenario())


def test_run_that_waits_for_the_planner_is_not_waited_for() -> None:
    """Nothing of it was copied, and its engine has ended its stream."""

    async def scenario() -> None:
        served = ServedRun(begin(event(1), CUT))
        served.mover.is_planner_silent = True
        served.drains_when_begun()
        result = await served.serve()
        run = served.run
        assert isinstance(result, Broken)
        assert run.move_task is None
        assert run.moves == 0

    asyncio.run(asyncio.wait_for(scenario(), 0.5))
