"""Tests of when a node reads the store."""

import freezegun
import pytest

from savorylift.fleet.read_policy import (
    DECISION_S,
    FALLBACK_RETRY_S,
    NOTICE_AGE_S,
    POLL_PAUSE_S,
    READER_RETRY_S,
    STALE_INTERVALS,
    STALE_S,
    STANDBY_PAUSE_S,
    STARTING_RETRY_S,
    ReadPolicy,
)
from savorylift.fleet.size_scaling import SMALL_FLEET_NODES

INTERVAL_S = 0.2
STALE_AGE_S = STALE_S + STALE_INTERVALS * INTERVAL_S
NOTICE_LIMIT_S = NOTICE_AGE_S + INTERVAL_S


class Node:
    """What a node knows; a test sets it."""

    def __init__(self) -> None:
        self.is_reader = False
        self.is_standby = False
        self.is_starting = False
        self.peers_age_s: float | None = 0.1
        self.servers_age_s: float | None = 0.1
        self.nodes = 1
        self.policy = ReadPolicy(
            lambda: self.is_reader,
            lambda: self.peers_age_s,
            lambda: self.is_starting,
            lambda: INTERVAL_S,
            is_standby=lambda: self.is_standby,
            peers_servers_age_s=lambda: self.servers_age_s,
            count_nodes=lambda: self.nodes,
        )


@pytest.mark.parametrize(
    ("is_reader", "peers_age_s", "should_read"),
    [
        (True, 0.0, True),
        (False, 0.0, False),
        (False, STALE_AGE_S, False),
        (False, STALE_AGE_S + 0.01, True),
        (False, None, True),
    ],
)
def test_reader_reads_and_others_if_its_readings_are_stale(
    is_reader: bool,  # noqa: FBT001
    peers_age_s: float | None,
    should_read: bool,  # noqa: FBT001
) -> None:
    node = Node()
    node.is_reader, node.peers_age_s = is_reader, peers_age_s
    assert node.policy.should_read() is should_read


def test_both_topics_get_the_same_decision() -> None:
    with freezegun.freeze_time(tick=False) as clock:
        node = Node()
        assert not node.policy.should_read()
        node.peers_age_s = None
        assert not node.policy.should_read()
        clock.tick(DECISION_S * 1.5)
        assert node.policy.should_read()


@pytest.mark.parametrize(
    ("own_age_s", "peers_age_s", "is_stale"),
    [
        (0.0, None, False),
        (STALE_AGE_S + 1, 0.0, False),
        (0.0, STALE_AGE_S + 1, False),
        (STALE_AGE_S + 1, STALE_AGE_S + 1, True),
        (None, None, True),
    ],
)
def test_newest_reading_counts(
    own_age_s: float | None,
    peers_age_s: float | None,
    is_stale: bool,  # noqa: FBT001
) -> None:
    node = Node()
    node.peers_age_s = peers_age_s
    assert node.policy.is_stale(own_age_s) is is_stale


@pytest.mark.parametrize(
    ("is_starting", "is_reader", "nodes", "expected_s"),
    [
        (True, True, 1, STARTING_RETRY_S),
        (False, True, 350, READER_RETRY_S),
        (False, False, 1, FALLBACK_RETRY_S),
        (False, False, SMALL_FLEET_NODES, FALLBACK_RETRY_S),
        # The store in need gets no more calls of a larger fleet.
        (False, False, 2 * SMALL_FLEET_NODES, 2 * FALLBACK_RETRY_S),
    ],
)
def test_delay_after_a_failed_call(
    is_starting: bool,  # noqa: FBT001
    is_reader: bool,  # noqa: FBT001
    nodes: int,
    expected_s: float,
) -> None:
    node = Node()
    node.is_starting, node.is_reader = is_starting, is_reader
    node.nodes = nodes
    assert node.policy.retry_s == expected_s


@pytest.mark.parametrize(
    ("is_standby", "servers_age_s", "expected_s"),
    [
        (False, 0.0, POLL_PAUSE_S),
        (True, 0.0, STANDBY_PAUSE_S),
        (True, NOTICE_LIMIT_S, STANDBY_PAUSE_S),
        # The other reader is not heard to read.
        (True, NOTICE_LIMIT_S + 0.01, POLL_PAUSE_S),
        (True, None, POLL_PAUSE_S),
    ],
)
def test_reader_that_stands_by_pauses_longer(
    is_standby: bool,  # noqa: FBT001
    servers_age_s: float | None,
    expected_s: float,
) -> None:
    node = Node()
    node.is_standby, node.servers_age_s = is_standby, servers_age_s
    assert node.policy.pause_s == expected_s
