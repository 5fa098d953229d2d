"""Tests of what the other nodes have at servers."""

import heapq
import random

import pytest

from savorylift.backends.load import Load, add_loads
from savorylift.fleet.membership import FORGET_TIMEOUT_S, Membership
from savorylift.fleet.peer_loads import (
    MAX_ENDS_PER_NODE,
    MIN_SWEPT_ENDS,
    PeerLoads,
)
from savorylift.fleet.state import ServerLoad
from tests.fleet.test_membership import ME, state

NODES = 12
SERVERS = 5
STEPS = 3000


def random_loads(rng: random.Random) -> tuple[ServerLoad, ...]:
    """Returns the loads of a node, some of them empty or named twice."""
    return tuple(
        ServerLoad(
            f"i-{rng.randrange(SERVERS)}",
            *(rng.choice((0, 0, rng.randrange(100))) for _ in range(5)),
        )
        for _ in range(rng.randrange(4))
    )


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_sums_are_those_of_the_live_nodes_after_any_messages(seed: int) -> None:
    rng = random.Random(seed)
    members = Membership(ME, ())
    now_s = 0.0
    for sequence in range(STEPS):
        now_s += rng.choice((0.0, 0.01, 0.1, 0.1, 1.5, 20.0))
        if rng.random() < 0.5:
            members.note_running(now_s)
        if rng.random() < 0.1:
            members.forget_silent(now_s)
        message = state(rng.randrange(2, NODES))._replace(
            sequence=sequence,
            incarnation=rng.choice((1, 1, 1, sequence)),
            interval_s=rng.choice((0.2, 0.2, 4.4, 2 * FORGET_TIMEOUT_S)),
            loads=random_loads(rng),
        )
        members.update_peer(message, now_s)
        now_s += rng.choice((0.0, 0.9, 1.1))
        parts = [
            part
            for peer in members.live_peers(now_s)
            for part in peer.state.loads
        ]
        expected = {
            server_id: load
            for server_id, load in add_loads({}, parts).items()
            if load != Load()
        }
        assert members.loads(now_s) == expected
        live = sum(1 for _ in members.live_peers(now_s))
        assert members.count_live_nodes(now_s) == 1 + live


def test_memory_does_not_grow_with_the_messages() -> None:
    loads = PeerLoads()
    for number in range(10_000):
        ip = f"10.0.0.{number % NODES}"
        parts = (ServerLoad(f"i-{number}", 1, 1, 0, 0, 0),)
        loads.hear(ip, parts, 1e6 + number)
    most = max(MAX_ENDS_PER_NODE * NODES, MIN_SWEPT_ENDS)
    assert len(loads._ends) <= most
    assert len(loads.totals(0.0)) == NODES
    assert loads.totals(2e6) == {}
    assert not loads._ends


def test_messages_that_put_an_end_off_cost_no_order_of_ends(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """At 88 nodes each sends one a second, and is live for four."""
    pushed: list[tuple[float, str]] = []
    push = heapq.heappush

    def count(ends: list[tuple[float, str]], end: tuple[float, str]) -> None:
        pushed.append(end)
        push(ends, end)

    monkeypatch.setattr("savorylift.fleet.peer_loads.heapq.heappush", count)
    loads = PeerLoads()
    for second in range(40):
        for number in range(88):
            at_s = second + number / 88
            loads.hear(f"10.0.0.{number}", (), at_s + 4.0)
            assert loads.count_nodes(at_s) == (88 if second else number + 1)
    # 3,520 messages; before, each put an end into the order.
    assert len(pushed) <= 11 * 88
    assert loads.count_nodes(42.9) == 88
    assert loads.count_nodes(43.5) == 44
    assert loads.count_nodes(44.0) == 0


def test_end_that_comes_sooner_than_told_before_holds() -> None:
    loads = PeerLoads()
    loads.hear("10.0.0.1", (), 17.6)
    loads.hear("10.0.0.1", (), 2.0)
    assert loads.count_nodes(2.0) == 1
    assert loads.count_nodes(2.1) == 0
    loads.hear("10.0.0.1", (), 20.0)
    assert loads.count_nodes(18.0) == 1
    assert loads.count_nodes(20.1) == 0
