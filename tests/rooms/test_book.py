"""Tests of what the keeper of engines' room knows of their loads."""

import freezegun
import pytest

from savorylift.backends.load import Load
from savorylift.fleet.state import ServerLoad
from savorylift.rooms.book import SETTLE_S, PlaceKey, RoomBook
from tests.rooms.factories import make_load

A = PlaceKey("10.0.0.1", 1)
B = PlaceKey("10.0.0.2", 1)


def load(book: RoomBook, server_id: str = "e") -> Load:
    return book.load(server_id, {}, 10_000.0)


def granted(*keys: PlaceKey, lease_s: float = 30.0) -> RoomBook:
    book = RoomBook()
    for key in keys:
        book.grant(key, "e", 1000, lease_s, 0.1)
    return book


def test_grants_count_at_once_until_they_end() -> None:
    with freezegun.freeze_time("2026-01-01") as clock:
        book = granted(A, B)
        assert load(book)[:2] == (2, 2000)
        assert load(book).prefill_tokens == pytest.approx(2000, abs=1)
        clock.tick(0.15)
        assert load(book).prefill_tokens == pytest.approx(500, abs=1)
        assert book.end(A) == 1000
        assert book.end(A) == 0
        assert load(book).requests == 1
        assert book.has_ended(A)
        assert not book.has_ended(B)


def test_prompt_whose_generation_has_ended_awaits_no_prefill() -> None:
    with freezegun.freeze_time("2026-01-01"):
        book = granted(A)
        # Its caller stated a length that no engine takes.
        book.grant(B, "e", 1000, 30.0, 1e7)
        assert load(book).prefill_tokens > 1e10
        book.end(B)
        assert load(book).prefill_tokens == pytest.approx(1000, abs=10)


def test_end_after_its_prefill_shortens_the_line_for_no_other() -> None:
    with freezegun.freeze_time("2026-01-01") as clock:
        book = granted(A, B)
        clock.tick(0.12)
        book.end(A)
        assert load(book).prefill_tokens == pytest.approx(800, abs=10)


@pytest.mark.parametrize(
    ("after_s", "stated", "requests", "tokens"),
    [
        # A message sent before the grant doesn't show it yet.
        (0.01, (), 1, 1000),
        (0.01, (make_load("e"),), 2, 2000),
        # One that shows it adds nothing.
        (SETTLE_S + 0.1, (make_load("e"),), 1, 1000),
        # What the node has besides is added; a move counts where it is.
        (SETTLE_S + 0.1, (make_load("e", 3, 4000),), 3, 4000),
        # The message that told of the end was lost.
        (SETTLE_S + 0.1, (), 0, 0),
    ],
)
def test_messages_of_nodes_correct_what_is_known(
    after_s: float, stated: tuple[ServerLoad, ...], requests: int, tokens: int
) -> None:
    with freezegun.freeze_time("2026-01-01") as clock:
        book = granted(A)
        clock.tick(after_s)
        book.hear(A.ip, stated)
        found = load(book)
        assert (found.requests, found.tokens) == (requests, tokens)
        # Another node's message changes nothing of it.
        book.hear(B.ip, ())
        assert load(book).requests == requests


def test_places_end_with_their_node_or_their_time() -> None:
    with freezegun.freeze_time("2026-01-01") as clock:
        book = granted(A, B, lease_s=5.0)
        book.hear(A.ip, (make_load("f"),))
        assert book.forget_nodes({B.ip}) == 1000
        assert (load(book).requests, load(book, "f").requests) == (1, 0)
        clock.tick(5.1)
        assert book.drop_expired() == 1000
        assert load(book) == Load()
        assert len(book) == 0


def test_prompts_of_other_nodes_without_events_count() -> None:
    book = RoomBook()
    book.hear(A.ip, (ServerLoad("e", 1, 900, 700, 2, 1),))
    known = {"e": Load(succeeded=2, failed=1)}
    assert book.load("e", known, 1.0) == Load(1, 900, 700, 2, 1)
