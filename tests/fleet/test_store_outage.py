"""Tests of when an outage of the store began and ended."""

import pytest

from savorylift.fleet.store_outage import (
    OTHERS_OUTAGE_S,
    OUTAGE_S,
    StoreOutage,
)

FAULT_S = 100.0
SHORT_S = 0.9 * OUTAGE_S
LONG_S = 1.1 * OTHERS_OUTAGE_S


class Others:
    """The newest reading of the other nodes; a test sets it."""

    def __init__(self, read_s: float | None) -> None:
        self.read_s = read_s
        self.outage = StoreOutage(lambda: self.read_s)

    def fail(self, now_s: float, own_s: float | None) -> None:
        """Has a call fail at once."""
        self.outage.begin_call(now_s, own_s)
        self.outage.note_failure(now_s)


@pytest.mark.parametrize(
    ("own_s", "others_s", "ended_s", "expected_s"),
    [
        pytest.param(None, None, FAULT_S + SHORT_S, None, id="short"),
        pytest.param(
            None, None, FAULT_S + LONG_S, FAULT_S + LONG_S, id="since fault"
        ),
        pytest.param(
            FAULT_S - LONG_S, None, FAULT_S, FAULT_S, id="since own reading"
        ),
        pytest.param(
            None, FAULT_S - LONG_S, FAULT_S, FAULT_S, id="since others' reading"
        ),
        pytest.param(
            FAULT_S - LONG_S,
            FAULT_S,
            FAULT_S + SHORT_S,
            None,
            id="others read until the fault",
        ),
    ],
)
def test_outage_counts_from_the_newest_reading_by_any_node(
    own_s: float | None,
    others_s: float | None,
    ended_s: float,
    expected_s: float | None,
) -> None:
    others = Others(others_s)
    others.fail(FAULT_S, own_s)
    assert others.outage.note_reading(ended_s) == expected_s


def test_outage_ends_once_when_the_first_node_reads() -> None:
    others = Others(FAULT_S)
    others.fail(FAULT_S, FAULT_S)
    assert others.outage.look() is None
    others.read_s = FAULT_S + LONG_S
    assert others.outage.look() == FAULT_S + LONG_S
    others.read_s += LONG_S
    assert others.outage.look() is None
    assert others.outage.note_reading(FAULT_S + 5 * LONG_S) is None


def test_own_reading_ends_an_outage_when_others_read_first() -> None:
    others = Others(FAULT_S)
    others.fail(FAULT_S, FAULT_S)
    others.read_s = FAULT_S + LONG_S
    assert others.outage.note_reading(FAULT_S + 2 * LONG_S) == FAULT_S + LONG_S


def test_node_that_alone_has_no_store_sees_no_outage() -> None:
    others = Others(FAULT_S)
    others.fail(FAULT_S, FAULT_S)
    for step in range(10):
        others.read_s = FAULT_S + step * SHORT_S
        assert others.outage.look() is None
        others.fail(FAULT_S + step * SHORT_S, FAULT_S)
    assert others.outage.note_reading(FAULT_S + 10 * SHORT_S) is None


def test_second_outage_counts_from_the_end_of_the_first() -> None:
    others = Others(FAULT_S)
    others.fail(FAULT_S, FAULT_S)
    others.read_s = FAULT_S + LONG_S
    assert others.outage.look() == others.read_s
    others.fail(FAULT_S + 2 * LONG_S, FAULT_S)
    others.read_s = FAULT_S + LONG_S + SHORT_S
    assert others.outage.look() is None
    others.read_s += LONG_S
    assert others.outage.look() == others.read_s


def test_fault_that_others_did_not_meet_makes_no_outage_of_their_end() -> None:
    others = Others(FAULT_S)
    others.fail(FAULT_S, FAULT_S)
    for step in range(3):
        others.read_s = FAULT_S + step * SHORT_S
        assert others.outage.look() is None
    # The readers end, and others take over.
    others.read_s = FAULT_S + 2 * SHORT_S + 2 * LONG_S
    assert others.outage.look() is None


def test_call_that_fails_after_the_store_is_back_hides_no_outage() -> None:
    others = Others(FAULT_S)
    others.outage.begin_call(FAULT_S, FAULT_S)
    others.read_s = FAULT_S + LONG_S
    others.outage.note_failure(FAULT_S + LONG_S + SHORT_S)
    assert others.outage.look() == FAULT_S + LONG_S


def test_outage_that_ended_during_a_call_begins_no_second_time() -> None:
    others = Others(FAULT_S)
    others.fail(FAULT_S, FAULT_S)
    returned_s = FAULT_S + 5 * LONG_S
    # Hangs on a connection from before.
    others.outage.begin_call(returned_s - SHORT_S, FAULT_S)
    others.read_s = returned_s
    assert others.outage.look() == returned_s
    others.outage.note_failure(returned_s + SHORT_S)
    others.read_s = returned_s + SHORT_S
    assert others.outage.look() is None
    assert others.outage.note_reading(returned_s + 1.5 * SHORT_S) is None


@pytest.mark.parametrize("calls", [1, 3])
def test_call_that_hangs_while_others_read_is_no_outage(calls: int) -> None:
    others = Others(FAULT_S)
    now_s = FAULT_S
    for _ in range(calls):
        others.outage.begin_call(now_s, FAULT_S)
        for _ in range(10):
            now_s += SHORT_S / 2
            others.read_s = now_s
            others.outage.follow()
            assert others.outage.look() is None
        others.outage.note_failure(now_s)
        now_s += SHORT_S / 2
        others.read_s = now_s
        assert others.outage.look() is None


def test_outage_within_a_call_that_hangs_is_seen_as_it_fails() -> None:
    others = Others(FAULT_S)
    others.outage.begin_call(FAULT_S, FAULT_S)
    for delay_s in (SHORT_S, SHORT_S + LONG_S, 2 * SHORT_S + LONG_S):
        others.read_s = FAULT_S + delay_s
        others.outage.follow()
    others.outage.note_failure(others.read_s or 0.0)
    assert others.outage.look() == others.read_s
