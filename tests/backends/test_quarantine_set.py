"""Tests of finding the quarantines that a request falls under."""

import sys
from collections.abc import Callable
from types import FrameType

import freezegun
import hypothesis
import pytest
from hypothesis import strategies

from savorylift.backends.crash_log import MAX_CRASHES
from savorylift.backends.quarantine import Quarantine
from savorylift.backends.quarantine_set import QuarantineSet
from savorylift.backends.request_quarantine import (
    MAX_QUARANTINES,
    RequestQuarantine,
)
from savorylift.fleet.quarantine_news import QuarantinedParts, QuarantineNews

BYSTANDERS_PER_CRASH = 3
# A judgement of crashes may take some milliseconds, at half a microsecond and
# more a call.
MAX_CALLS_PER_UPDATE = 10_000

TRAITS = strategies.sampled_from("abcdefgh")


def count_calls(action: Callable[[], object]) -> int:
    """Returns the number of function calls that an action makes."""
    calls = 0

    def count(_frame: FrameType, event: str, _argument: object) -> None:
        nonlocal calls
        calls += event in ("call", "c_call")

    sys.setprofile(count)
    try:
        action()
    finally:
        sys.setprofile(None)
    return calls


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.booleans(),
            strategies.frozensets(TRAITS, min_size=1, max_size=4),
        )
    ),
    strategies.lists(TRAITS, max_size=6).map(tuple),
)
def test_finds_what_comparing_with_each_quarantine_finds(
    changes: list[tuple[bool, frozenset[str]]], request_traits: tuple[str, ...]
) -> None:
    quarantines = QuarantineSet()
    expected: dict[frozenset[str], Quarantine] = {}
    for is_added, traits in changes:
        if is_added:
            expected[traits] = Quarantine.begin(traits, 0.0)
            quarantines.put(expected[traits])
        elif traits in expected:
            del expected[traits]
            quarantines.remove(traits)
    assert list(quarantines) == list(expected.values())
    found = {item.traits for item in quarantines.matching(request_traits)}
    assert found == {t for t in expected if t.issubset(request_traits)}
    assert quarantines.has_any_trait(request_traits) is any(
        not traits.isdisjoint(request_traits) for traits in expected
    )


@pytest.mark.parametrize("shared", [(), ("system",)])
def test_crashes_are_judged_in_milliseconds_beside_many_quarantines(
    shared: tuple[str, ...],
) -> None:
    with freezegun.freeze_time() as clock:
        decision = RequestQuarantine("10.0.0.1")
        for number in range(MAX_QUARANTINES):
            parts = (*shared, f"dead-{number}")
            quarantined = QuarantinedParts(parts, 0.0, 60.0)
            decision.merge(QuarantineNews(quarantined=(quarantined,)))
        for number in range(MAX_CRASHES):
            for other in range(BYSTANDERS_PER_CRASH):
                desk = (*shared, f"desk-{other}")
                decision.record_crash(f"engine-{number}", desk)
            dead = (*shared, f"dead-{MAX_QUARANTINES - 1 - number}")
            decision.record_crash(f"engine-{number}", dead)
            clock.tick(0.5)
        assert count_calls(decision.update) < MAX_CALLS_PER_UPDATE
