"""Tests of whose turn it is, and of who is refused while room is short."""

import asyncio
import time

import freezegun
import hypothesis
import hypothesis.strategies as st
import pytest

from savorylift.placement.memory_release_rate import (
    MIN_RELEASES,
    WINDOW_S,
    MemoryReleaseRate,
)
from savorylift.placement.ticket import Ticket
from savorylift.placement.turn_away import (
    FORECAST_MARGIN,
    LAST_MOMENT_S,
    MAX_RETURN_S,
    MIN_RETURN_S,
    NoRoomInTimeError,
    Room,
    find_hopeless,
)
from savorylift.placement.turn_order import (
    OLDEST_WAIT_S,
    TURNS_PER_OLDEST,
    TurnOrder,
)
from savorylift.placement.wait_queue import SchedulingParameters, WaitQueue
from tests.exchange.factories import make_server
from tests.wire.loopback import run_with_timeout

TICKET = Ticket(1, "", 1000.0, 1000, 0.0, 2.0, 4.0, 1)


def ticket(number: int, **changes: float) -> Ticket:
    return TICKET._replace(number=number, **changes)  # type: ignore[arg-type]


def test_what_can_be_on_time_goes_first_then_priority() -> None:
    tickets = [
        ticket(1, latest_start_s=-1.0, priority=0),
        ticket(2, priority=2),
        ticket(3, priority=0),
    ]
    ordered = TurnOrder().sort(tickets, 0.0)
    assert [t.number for t in ordered] == [3, 2, 1]


def test_oldest_gets_a_turn_however_many_are_more_urgent() -> None:
    order = TurnOrder()
    old = ticket(1, priority=9, latest_start_s=-9.0)
    urgent = ticket(2, priority=0, enqueued_s=OLDEST_WAIT_S, latest_start_s=9.0)
    turns = 0
    while order.sort([old, urgent], OLDEST_WAIT_S + 0.1)[0] is urgent:
        order.record_turn(urgent)
        turns += 1
    assert turns < TURNS_PER_OLDEST


def test_small_fleets_give_late_ones_no_turns_before_others() -> None:
    """As long as one queue is as good as a keeper, urgency decides alone."""
    order = TurnOrder()
    old = ticket(1, priority=9, latest_start_s=-9.0)
    urgent = ticket(2, priority=0, enqueued_s=OLDEST_WAIT_S, latest_start_s=9.0)
    now_s = OLDEST_WAIT_S + 0.1
    for _ in range(2 * TURNS_PER_OLDEST):
        ordered = order.sort([old, urgent], now_s, serves_oldest=False)
        assert ordered[0] is urgent
        order.record_turn(urgent)


@pytest.mark.parametrize(
    ("room", "refused"),
    [
        # Without a rate nothing is known of the future.
        (Room(0, None), []),
        # Each has its turn within the time that it can wait.
        (Room(0, 1000.0), []),
        (Room(3000, 1.0), []),
        # The last of three give way, the most urgent never before them.
        (Room(1000, 50.0), [2, 3]),
        (Room(0, 1001 / (4.0 * FORECAST_MARGIN)), [2, 3]),
        (Room(0, 50.0), [1, 2, 3]),
    ],
)
def test_those_whose_turn_comes_too_late_are_refused_at_once(
    room: Room, refused: list[int]
) -> None:
    tickets = [ticket(n, priority=n) for n in (1, 2, 3)]
    found = list(find_hopeless(tickets, room, 0.0))
    assert [away.ticket.number for away in found] == refused
    returns_s = [away.return_in_s for away in found]
    assert returns_s == sorted(returns_s)


def test_refused_callers_return_when_there_should_be_room() -> None:
    """They come one after the other, as fast as memory becomes free."""
    tickets = [ticket(n, tokens=1000, leave_s=0.1) for n in range(4)]
    found = list(find_hopeless(tickets, Room(0, 1000.0), 0.0))
    assert [away.return_in_s for away in found] == [1.0, 2.0, 3.0, 4.0]
    late = list(find_hopeless(tickets, Room(0, 1.0), 0.0))
    assert {away.return_in_s for away in late} == {MAX_RETURN_S}


@pytest.mark.parametrize(
    ("left_s", "refused"),
    [(LAST_MOMENT_S + 0.1, False), (LAST_MOMENT_S, True), (-1.0, True)],
)
def test_one_that_waited_in_vain_is_told_when_to_return(
    left_s: float, *, refused: bool
) -> None:
    """It fits nowhere, though memory is free: in pieces, at many engines."""
    waiting = [ticket(1, leave_s=left_s)]
    found = list(find_hopeless(waiting, Room(9000, 1000.0), 0.0))
    assert bool(found) is refused
    assert all(away.return_in_s == MIN_RETURN_S for away in found)


@hypothesis.given(
    st.lists(
        st.tuples(st.integers(0, 9), st.integers(1, 9000), st.floats(0, 9)),
        max_size=30,
    ),
    st.integers(0, 20_000),
    st.floats(1.0, 50_000.0),
)
def test_less_urgent_ones_alike_give_way_first(
    waiting: list[tuple[int, int, float]], free_tokens: int, per_s: float
) -> None:
    """Of two that need and can wait the same, the more urgent one stays."""
    tickets = [
        ticket(n, priority=priority, tokens=tokens, leave_s=leave_s)
        for n, (priority, tokens, leave_s) in enumerate(waiting)
    ]
    ordered = TurnOrder().sort(tickets, 0.0)
    room = Room(free_tokens, per_s)
    refused = {t.number for t, _ in find_hopeless(ordered, room, 0.0)}
    for urgent in tickets:
        for other in tickets:
            is_alike = (other.tokens, other.leave_s) == (
                urgent.tokens,
                urgent.leave_s,
            )
            if is_alike and other.priority > urgent.priority:
                assert urgent.number not in refused or other.number in refused


def test_queue_refuses_at_once_what_would_only_wait() -> None:
    async def scenario() -> None:
        queue = WaitQueue(lambda: Room(0, 500.0))
        loop = asyncio.get_running_loop()
        waits = [
            loop.create_task(
                queue.wait(
                    SchedulingParameters(priority, "", 4000.0, 4000),
                    time.monotonic() + 4.0,
                    lambda: None,
                    time.monotonic() + 4.0,
                )
            )
            for priority in (2, 2, 0)
        ]
        done, pending = await asyncio.wait(waits, timeout=0.05)
        # The urgent one came last, and has the only turn in time.
        assert pending == {waits[2]}
        assert all(isinstance(t.exception(), NoRoomInTimeError) for t in done)
        waits[2].cancel()

    run_with_timeout(scenario())


def test_queue_is_served_as_before_while_no_rate_is_known() -> None:
    async def scenario() -> None:
        queue = WaitQueue()
        task = asyncio.ensure_future(
            queue.wait(
                SchedulingParameters(2, "", 1.0, 10**9),
                0.0,
                make_server,
                time.monotonic(),
            )
        )
        await task

    run_with_timeout(scenario())


def test_rate_is_unknown_with_few_releases() -> None:
    with freezegun.freeze_time("2026-01-01"):
        rate = MemoryReleaseRate()
        for _ in range(MIN_RELEASES - 1):
            rate.record_release(1000)
        assert rate.tokens_per_s is None
        rate.record_release(1000)
        assert rate.tokens_per_s == MIN_RELEASES * 1000 / WINDOW_S
