"""Tests of refused requests that come again."""

import math
import random
import time

import freezegun
import pytest

from savorylift.fleet.room_messages import RoomOutcome, RoomReply, RoomRequest
from savorylift.placement.memory_release_rate import MIN_RELEASES
from savorylift.placement.ticket import Ticket
from savorylift.rooms.book import PlaceKey
from savorylift.rooms.engines import Engines
from savorylift.rooms.returning import (
    MAX_REMEMBERED,
    RETURN_GRACE_S,
    ReturningRequests,
)
from savorylift.rooms.service_room import ServiceRoom
from tests.rooms.factories import ip_of, make_engines, make_request
from tests.rooms.test_demand import ENGINES, RUN_S, STEP_S, TOKENS

# Engines complete some seven generations a second.
USUAL_PER_S, BURST_PER_S = 6.0, 18.0
WAIT_S = 4.0
BURST_BEGIN_S, BURST_END_S = 5.0, 12.0
LOAD_S = 30.0

RETURN_IN_S = 2.0
TICKET = Ticket(1, "", 1000.0, 1000, 0.0, 2.0, 4.0, 7)


@pytest.mark.parametrize(
    ("after_s", "keeps_place"),
    [
        (0.0, False),
        (RETURN_IN_S / 2, False),
        (RETURN_IN_S, True),
        (RETURN_IN_S + RETURN_GRACE_S, True),
        (RETURN_IN_S + RETURN_GRACE_S + 0.1, False),
    ],
)
def test_one_that_returns_in_time_keeps_its_place(
    after_s: float, *, keeps_place: bool
) -> None:
    with freezegun.freeze_time("2026-01-01") as clock:
        returning = ReturningRequests()
        returning.record("r", TICKET, RETURN_IN_S)
        assert returning.claim("other") is None
        clock.tick(after_s)
        first = returning.claim("r")
        assert (first is not None) is keeps_place
        if first is not None:
            assert first == (
                TICKET.number,
                TICKET.enqueued_s,
                TICKET.latest_start_s,
            )
            # One refusal gives one place.
            assert returning.claim("r") is None


def test_one_that_comes_early_leaves_the_place_to_one_in_time() -> None:
    with freezegun.freeze_time("2026-01-01") as clock:
        returning = ReturningRequests()
        returning.record("r", TICKET, RETURN_IN_S)
        assert returning.claim("r") is None
        later = TICKET._replace(number=99)
        returning.record("r", later, RETURN_IN_S)
        clock.tick(RETURN_IN_S)
        first = returning.claim("r")
        assert first is not None
        assert first.number == TICKET.number


def test_memory_of_refusals_is_bounded() -> None:
    returning = ReturningRequests()
    for number in range(3 * MAX_REMEMBERED):
        returning.record(f"r{number}", TICKET, RETURN_IN_S)
    returning.record("", TICKET, RETURN_IN_S)
    assert len(returning) == MAX_REMEMBERED


class FullRoom:
    """Engines that are full, and whose memory becomes free slowly."""

    def __init__(self) -> None:
        """Fills the engine."""
        self.room = ServiceRoom(random.Random(1))
        self.engines: Engines = make_engines("a")
        for number in range(MIN_RELEASES):
            place = PlaceKey(ip_of(2), number)
            self.room.add(place, make_request(number, 100))
            list(self.room.dispatch(self.engines))
            self.room.end(place)
        self.place = PlaceKey(ip_of(2), 100)
        self.room.add(self.place, make_request(100, 9500))
        list(self.room.dispatch(self.engines))

    def ask(self, number: int, req: RoomRequest) -> RoomReply | None:
        """Returns the reply to a request, if there is one now."""
        key = PlaceKey(ip_of(1), number)
        self.room.add(key, req._replace(number=number))
        for decision in self.room.dispatch(self.engines):
            if decision.key == key:
                return decision.reply
        return None

    def grant_one(self) -> int:
        """Frees the engine for one; returns the number of who got it."""
        self.room.end(self.place)
        (decision, *_) = self.room.dispatch(self.engines)
        assert decision.reply.outcome == RoomOutcome.GRANTED
        return decision.key.number


@pytest.mark.parametrize(
    ("in_time", "is_late", "is_other_late", "goes_first"),
    [
        # Each time it would else stand behind all that came meanwhile.
        (True, False, False, True),
        (False, False, False, False),
        # Its objective counts from its first visit, as for all that wait.
        (True, True, False, False),
        (True, True, True, True),
    ],
)
def test_refused_one_that_returns_in_time_goes_before_those_since(
    *, in_time: bool, is_late: bool, is_other_late: bool, goes_first: bool
) -> None:
    with freezegun.freeze_time("2026-01-01") as clock:
        full = FullRoom()
        large = make_request(tokens=9000)._replace(
            repeat_id="r",
            start_in_s=0.5 if is_late else 60.0,
            leave_in_s=0.5,
            lease_s=60.0,
        )
        refused = full.ask(1, large)
        assert refused is not None
        assert refused.outcome == RoomOutcome.REFUSED
        clock.tick(refused.return_in_s - (0.0 if in_time else 0.5))
        returned = large._replace(leave_in_s=60.0, start_in_s=60.0)
        other = returned._replace(
            repeat_id="s", start_in_s=-1.0 if is_other_late else 60.0
        )
        assert full.ask(2, other) is None
        assert full.ask(3, returned) is None
        assert full.grant_one() == (3 if goes_first else 2)


class Caller:
    """A caller that returns when it is told to, and waits for some time."""

    def __init__(self, number: int, first_s: float) -> None:
        """Creates one that comes first at a time."""
        self.number, self.first_s, self.comes_s = number, first_s, first_s
        self.refusals = 0
        self.served_s: float | None = None

    def make_request(self, number: int, at_s: float) -> RoomRequest:
        """Returns its request as of a time."""
        left_s = self.comes_s + WAIT_S - at_s
        return make_request(number, TOKENS)._replace(
            start_in_s=left_s, leave_in_s=left_s, repeat_id=f"r{self.number}"
        )


def play_burst(seed: int) -> list[Caller]:
    """Plays twice the load that engines bear for some seconds."""
    rng = random.Random(seed)
    room = ServiceRoom(random.Random(seed))
    callers: list[Caller] = []
    coming: list[Caller] = []
    waiting: dict[PlaceKey, Caller] = {}
    ends_s: dict[PlaceKey, float] = {}
    visits = 0
    with freezegun.freeze_time("2026-01-01") as clock:
        begun_s = time.monotonic()
        while (at_s := time.monotonic() - begun_s) < LOAD_S + 2 * RUN_S:
            is_burst = BURST_BEGIN_S <= at_s < BURST_END_S
            per_s = BURST_PER_S if is_burst else USUAL_PER_S
            if at_s < LOAD_S and rng.random() < per_s * STEP_S:
                callers.append(Caller(len(callers), at_s))
                coming.append(callers[-1])
            for caller in [c for c in coming if c.comes_s <= at_s]:
                coming.remove(caller)
                visits += 1
                waiting[PlaceKey(ip_of(visits % 80), visits)] = caller
            for key in [k for k, end_s in ends_s.items() if end_s <= at_s]:
                room.end(key)
                del ends_s[key]
            for key, caller in list(waiting.items()):
                if at_s > caller.comes_s + WAIT_S:
                    del waiting[key]
                    continue
                room.add(key, caller.make_request(key.number, at_s))
            for key, reply in room.dispatch(ENGINES):
                caller = waiting.pop(key)
                if reply.outcome == RoomOutcome.GRANTED:
                    caller.served_s = at_s
                    ends_s[key] = at_s + RUN_S * rng.uniform(0.5, 1.5)
                else:
                    caller.refusals += 1
                    caller.comes_s = at_s + reply.return_in_s
                    coming.append(caller)
            clock.tick(STEP_S)
    return callers


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_more_callers_of_a_burst_are_served_and_in_time(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Those that return count as new otherwise, and make others late."""
    callers = play_burst(seed)
    assert any(caller.refusals for caller in callers)
    monkeypatch.setattr(ReturningRequests, "claim", lambda _self, _id: None)
    naive = play_burst(seed)
    assert count_served(callers) >= count_served(naive)
    assert count_served(callers, WAIT_S) >= count_served(naive, WAIT_S)


def count_served(callers: list[Caller], within_s: float = math.inf) -> int:
    """Counts those served within a time from their first visit."""
    return sum(
        caller.served_s is not None
        and caller.served_s - caller.first_s <= within_s
        for caller in callers
    )
