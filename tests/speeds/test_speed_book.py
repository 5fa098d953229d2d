"""Tests of how fast servers are taken to be, and of the choices from it.

The load is that of a service of four servers of six slots, one of which takes
four times as long, and of nodes that each send it a part of the calls.
"""

import random
from collections.abc import Callable

import freezegun
import pytest

from savorylift.backends.load import Load
from savorylift.backends.registry import BackendServer
from savorylift.backends.server import ServerEntry
from savorylift.placement.engines import EngineOptions, choose_engine
from savorylift.placement.plain_servers import choose_plain_server
from savorylift.speeds.speed_book import TOLD_S, SpeedBook
from savorylift.speeds.stream_pace import SAMPLE_EVENTS, count_event
from savorylift.speeds.usual_times import Work
from tests.exchange.factories import ENGINE, make_server

USUAL_S = 0.045
SLOWDOWN = 4.0
SLOW, QUICK = "i-0", ("i-1", "i-2", "i-3")
IDS = (SLOW, *QUICK)
IDLE = Work("s", "r", 0.0)
# Calls of the whole fleet: 20 s at a twentieth of what the servers can do.
CALLS = 400
# As with nothing known, of what the servers can do.
FAIR_SHARE = 0.077
CHOICES = 2000
HOUR_S = 3600.0


class Fleet:
    """Nodes that each have a book, and tell each other what is in it."""

    def __init__(self, nodes: int, tick: Callable[[float], object]) -> None:
        self.servers = {server_id: make_server(server_id) for server_id in IDS}
        self.books = [SpeedBook(self._find_entry) for _ in range(nodes)]
        self.rng = random.Random(5)
        self._tick = tick

    def _find_entry(self, server_id: str) -> ServerEntry | None:
        server = self.servers.get(server_id)
        return None if server is None else server.entry

    def call(self, count: int, slowdown: float = SLOWDOWN) -> None:
        """Lets all servers get the same number of calls, by any node each."""
        for number in range(count):
            server_id = IDS[number % len(IDS)]
            factor = slowdown if server_id == SLOW else 1.0
            took_s = factor * USUAL_S * self.rng.uniform(0.7, 1.4)
            book = self.rng.choice(self.books)
            book.record(self.servers[server_id].entry, IDLE, took_s)

    def talk(self) -> None:
        """Lets each node tell the others of all servers, several times."""
        self._tick(TOLD_S)
        for _ in range(3):
            for number, teller in enumerate(self.books):
                news = teller.news()
                for hearer in self.books:
                    if hearer is not teller:
                        hearer.merge(f"10.0.0.{number}", news)
        for book in self.books:
            book.update()

    def share(self, loads: dict[str, Load], book: SpeedBook) -> float:
        """Returns the slow server's share of the calls of one node."""
        chosen = [
            choose_plain_server(
                self.servers.values(), loads, 0.0, self.rng, book.slowdown
            )
            for _ in range(CHOICES)
        ]
        found = [c.entry.server_id for c in chosen if c is not None]
        return found.count(SLOW) / CHOICES


@pytest.mark.parametrize("nodes", [6, 40])
def test_idle_slow_server_gets_less_than_it_can_do_but_not_nothing(
    nodes: int,
) -> None:
    """It got twice its share, and these calls were late."""
    with freezegun.freeze_time() as clock:
        fleet = Fleet(nodes, clock.tick)
        fleet.call(CALLS)
        fleet.talk()
        for book in fleet.books:
            share = fleet.share({}, book)
            assert 0 < share < FAIR_SHARE / 2
            assert all(book.slowdown(s) == 1.0 for s in QUICK)


def test_slow_server_gets_calls_that_others_would_serve_later() -> None:
    with freezegun.freeze_time() as clock:
        fleet = Fleet(6, clock.tick)
        fleet.call(CALLS)
        fleet.talk()
        full = {s: Load(requests=5 * 6) for s in QUICK}
        assert fleet.share(full, fleet.books[0]) > 0.9


@pytest.mark.parametrize("nodes", [6, 40])
def test_server_that_is_quick_again_gets_its_calls_back(nodes: int) -> None:
    with freezegun.freeze_time() as clock:
        fleet = Fleet(nodes, clock.tick)
        fleet.call(CALLS)
        fleet.talk()
        for _ in range(10):
            fleet.call(40, slowdown=1.0)
            fleet.talk()
        assert [book.slowdown(SLOW) for book in fleet.books] == [1.0] * nodes


def test_a_moment_of_noise_is_no_slow_server() -> None:
    with freezegun.freeze_time() as clock:
        fleet = Fleet(1, clock.tick)
        fleet.call(CALLS, slowdown=1.0)
        (book,) = fleet.books
        book.record(fleet.servers[SLOW].entry, IDLE, 20 * USUAL_S)
        book.update()
        assert book.slowdown(SLOW) == 1.0


@pytest.mark.parametrize("has_started_again", [True, False])
def test_what_is_known_ends_with_the_process_or_with_time(
    *, has_started_again: bool
) -> None:
    with freezegun.freeze_time() as clock:
        fleet = Fleet(2, clock.tick)
        fleet.call(CALLS)
        fleet.talk()
        assert fleet.books[0].slowdown(SLOW) > 2.0
        if has_started_again:
            again = fleet.servers[SLOW].entry._replace(started_ms=2)
            fleet.servers[SLOW] = BackendServer(again, 0.0)
            # What the other node saw was of the earlier process.
            fleet.books[0].merge("10.0.0.1", fleet.books[1].news())
            clock.tick(1.0)
        else:
            clock.tick(HOUR_S)
        fleet.books[0].update()
        assert fleet.books[0].slowdown(SLOW) == 1.0


def test_loads_are_not_taken_for_speeds() -> None:
    """A server that has more requests takes longer, as any would."""
    with freezegun.freeze_time() as clock:
        fleet = Fleet(1, clock.tick)
        (book,) = fleet.books
        for _ in range(50):
            for server_id in IDS:
                entry = fleet.servers[server_id].entry
                book.record(entry, IDLE, USUAL_S)
            for server_id in QUICK:
                entry = fleet.servers[server_id].entry
                book.record(entry, Work("s", "r", 2.0), 2 * USUAL_S)
            busy = fleet.servers[SLOW].entry
            book.record(busy, Work("s", "r", 2.0), 2 * USUAL_S)
            book.record(busy, Work("s", "r", 2.0), 2 * USUAL_S)
        book.update()
        assert [book.slowdown(server_id) for server_id in IDS] == [1.0] * 4


def test_engine_of_half_the_speed_is_chosen_when_others_are_fuller() -> None:
    servers = [make_server(server_id) for server_id in ("slow", "quick")]
    options = EngineOptions(
        ENGINE,
        1000,
        jitter=0.0,
        slowdown=lambda server_id: 2.0 if server_id == "slow" else 1.0,
    )

    def choose(slow_tokens: int, quick_tokens: int) -> str | None:
        loads = {
            "slow": Load(requests=1, tokens=slow_tokens),
            "quick": Load(requests=1, tokens=quick_tokens),
        }
        chosen = choose_engine(servers, loads, options, random.Random(1))
        return chosen and chosen.entry.server_id

    assert choose(0, 2000) == "quick"
    assert choose(0, 7000) == "slow"


def test_pace_of_a_stream_is_taken_at_one_engine() -> None:
    pace = count_event(None, "a", 0.0)
    for number in range(1, SAMPLE_EVENTS + 1):
        assert not pace.is_whole
        pace = count_event(pace, "a", 0.1 * number)
    assert pace.is_whole
    assert pace.began_s == 0.0
    moved = count_event(pace._replace(events=5), "b", 9.0)
    assert (moved.began_s, moved.events) == (9.0, 0)


def test_speeds_may_be_left_out_of_account() -> None:
    book = SpeedBook(lambda s: make_server(s).entry, is_used=False)
    for number in range(200):
        server_id = IDS[number % len(IDS)]
        factor = SLOWDOWN if server_id == SLOW else 1.0
        book.record(make_server(server_id).entry, IDLE, factor * USUAL_S)
    book.update()
    assert book.slowdown(SLOW) == 1.0


def test_speed_that_many_calls_show_is_told_to_others() -> None:
    """A node that had seen more than others take was not heard at all."""
    with freezegun.freeze_time() as clock:
        fleet = Fleet(2, clock.tick)
        seer, hearer = fleet.books
        for number in range(20 * CALLS):
            server_id = IDS[number % len(IDS)]
            factor = SLOWDOWN if server_id == SLOW else 1.0
            entry = fleet.servers[server_id].entry
            seer.record(entry, IDLE, factor * USUAL_S)
        hearer.merge("10.0.0.1", seer.news())
        hearer.update()
        assert hearer.slowdown(SLOW) > 2.0
