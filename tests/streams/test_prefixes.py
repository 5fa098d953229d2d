"""Cached prefixes learned from late events with gaps."""

import hashlib

import freezegun
from hypothesis import given
from hypothesis import strategies as st

from savorylift.streams.prefixes import (
    MAX_AGE_S,
    MAX_ENTRIES,
    MAX_SERVERS,
    CacheEvent,
    Prefixes,
    prefix_hash,
)

EVENTS = st.lists(st.tuples(st.sampled_from("abc"), st.booleans()))


def test_hash_is_the_documented_one() -> None:
    words = [f"w{i}" for i in range(20)]
    data = b"m\0" + " ".join(words[:16]).encode()
    wanted = hashlib.blake2b(data, digest_size=8).hexdigest()
    assert prefix_hash("m", "\n ".join(words)) == wanted
    assert prefix_hash("m", " ".join(words[:16])) == wanted


@given(EVENTS)
def test_events_without_gaps_match_a_set(
    events: list[tuple[str, bool]],
) -> None:
    found = Prefixes()
    stored: set[str] = set()
    for seq, (hash_, is_stored) in enumerate(events):
        found.note_events("r", [CacheEvent(seq, is_stored, hash_)])
        (stored.add if is_stored else stored.discard)(hash_)
    assert {h for h in "abc" if found.is_cached("r", h)} == stored


def test_a_lost_eviction_is_outlived() -> None:
    with freezegun.freeze_time() as clock:
        found = Prefixes()
        found.note_dispatch("r", "a")
        assert found.is_cached("r", "a")
        clock.tick(MAX_AGE_S + 1)
        assert not found.is_cached("r", "a")


def test_a_restart_is_forgotten_and_size_is_bounded() -> None:
    found = Prefixes()
    for number in range(MAX_ENTRIES + 1):
        found.note_dispatch("r", str(number))
    assert not found.is_cached("r", "0")
    assert found.is_cached("r", "1")
    found.forget("r")
    assert not found.is_cached("r", "1")
    for number in range(MAX_SERVERS + 1):
        found.note_dispatch(f"r{number}", "a")
    assert not found.is_cached("r0", "a")
