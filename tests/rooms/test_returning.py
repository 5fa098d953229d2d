"""Tests of refused requests that come again."""

import random

import freezegun
import pytest

from savorylift.fleet.room_messages import RoomOutcome, RoomReply, RoomRequest
from savorylift.placement.memory_release_rate import MIN_RELEASES
from savorylift.placement.turn_order import Ticket
from savorylift.rooms.book import PlaceKey
from savorylift.rooms.engines import Engines
from savorylift.rooms.returning import (
    MAX_REMEMBERED,
    RETURN_GRACE_S,
    ReturningRequests,
)
from savorylift.rooms.service_room import ServiceRoom
from tests.rooms.factories import ip_of, make_engines, make_request

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
            assert first == (TICKET.number, TICKET.enqueued_s)
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


@pytest.mark.parametrize("in_time", [True, False])
def test_refused_one_that_returns_in_time_goes_before_those_since(
    *, in_time: bool
) -> None:
    """Each time it would else stand behind all that came meanwhile."""
    with freezegun.freeze_time("2026-01-01") as clock:
        full = FullRoom()
        large = make_request(tokens=9000)._replace(
            repeat_id="r", leave_in_s=0.5, lease_s=60.0
        )
        refused = full.ask(1, large)
        assert refused is not None
        assert refused.outcome == RoomOutcome.REFUSED
        clock.tick(refused.return_in_s - (0.0 if in_time else 0.5))
        other = large._replace(repeat_id="s", leave_in_s=60.0, start_in_s=60.0)
        assert full.ask(2, other) is None
        returned = other._replace(repeat_id="r")
        assert full.ask(3, returned) is None
        assert full.grant_one() == (3 if in_time else 2)
