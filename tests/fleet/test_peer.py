"""Tests of what a node knows of another one."""

import pytest

from savorylift.fleet.peer import (
    LIVENESS_TIMEOUT_INTERVALS,
    LIVENESS_TIMEOUT_S,
    Peer,
)
from tests.fleet.test_membership import state

NOW_S = 100.0
RUNNING_S = 7.0
LATER_S = 101.0
RUNNING_LATER_S = 8.0


@pytest.mark.parametrize(
    ("interval_s", "timeout_s"),
    [
        (0.2, LIVENESS_TIMEOUT_S),
        (LIVENESS_TIMEOUT_S / LIVENESS_TIMEOUT_INTERVALS, LIVENESS_TIMEOUT_S),
        (2.0, 2.0 * LIVENESS_TIMEOUT_INTERVALS),
    ],
)
def test_node_is_live_for_some_of_its_intervals(
    interval_s: float, timeout_s: float
) -> None:
    told = state()._replace(interval_s=interval_s)
    peer = Peer.from_whole(told, NOW_S, RUNNING_S)
    assert peer.live_until_s == RUNNING_S + timeout_s


def test_whole_state_is_what_patches_are_for() -> None:
    told = state()._replace(sequence=5)
    peer = Peer.from_whole(told, NOW_S, RUNNING_S)
    assert (peer.state, peer.base) == (told, told)
    assert (peer.sequence, peer.base_s) == (5, NOW_S)
    assert (peer.received_s, peer.heard_s) == (NOW_S, NOW_S)


def test_patch_changes_the_state_but_not_its_base() -> None:
    first = state()
    peer = Peer.from_whole(first, NOW_S, RUNNING_S)
    second = first._replace(sequence=2, is_ready=False)
    patched = peer.with_patch(second, LATER_S, RUNNING_LATER_S)
    assert (patched.state, patched.base, patched.base_s) == (
        second,
        first,
        NOW_S,
    )
    assert (patched.received_s, patched.sequence) == (LATER_S, 2)


def test_base_that_was_overtaken_changes_nothing_else() -> None:
    peer = Peer.from_whole(state(), NOW_S, RUNNING_S)
    base = state()._replace(sequence=3)
    found = peer.with_base(base, LATER_S)
    assert (found.base, found.base_s) == (base, LATER_S)
    assert found._replace(base=peer.base, base_s=peer.base_s) == peer


def test_message_without_news_shows_that_the_node_lives() -> None:
    peer = Peer.from_whole(state(), NOW_S, RUNNING_S)
    silenced = peer._replace(is_silenced=True)
    touched = silenced.touched(9, LATER_S, RUNNING_LATER_S)
    assert not touched.is_silenced
    assert (touched.sequence, touched.heard_s) == (9, LATER_S)
    assert touched.live_until_s == RUNNING_LATER_S + LIVENESS_TIMEOUT_S
    # What was received is as old as before.
    assert (touched.state, touched.received_s) == (peer.state, NOW_S)
