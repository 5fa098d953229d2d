"""Tests of how nodes tell and ask each other where streams began."""

import asyncio
import random

import hypothesis
import hypothesis.strategies as st
import pytest

from savorylift.exchange.stream_origins import StreamOrigins
from savorylift.fleet.home_ring import Home
from savorylift.fleet.state import (
    UNKNOWN_VERSION,
    OriginMessage,
    StreamOrigin,
)

DOMAINS = 4


class Network:
    """Nodes whose messages arrive at once, or never.

    Attributes:
        nodes: The nodes by address.
        lost: Addresses of nodes that hear nothing.
        messages: Number of messages sent.
    """

    def __init__(self, count: int) -> None:
        self.nodes: dict[str, StreamOrigins] = {}
        self.lost: set[str] = set()
        self.messages = 0
        for number in range(count):
            self.add(number)

    def add(self, number: int) -> StreamOrigins:
        ip = f"10.0.0.{number}"

        def send(message: OriginMessage, target: str) -> None:
            self.messages += 1
            if ip not in self.lost and target not in self.lost:
                self.nodes[target].receive(message, ip)

        self.nodes[ip] = StreamOrigins(ip, send, random.Random(number))
        return self.nodes[ip]

    def update(self, leaving: frozenset[str] = frozenset()) -> None:
        """Lets all nodes that are not lost see the same others."""
        homes = [
            Home(ip, f"z{int(ip.rpartition('.')[2]) % DOMAINS}")
            for ip in self.nodes
            if ip not in self.lost
        ]
        staying = [home for home in homes if home.ip not in leaving]
        left = [home for home in homes if home.ip in leaving]
        for ip in self.nodes.keys() - self.lost:
            self.nodes[ip].update_homes(staying, left)
            self.nodes[ip].update()

    def node(self, number: int) -> StreamOrigins:
        return self.nodes[f"10.0.0.{number}"]


def origin(attempt_id: str = "a1") -> StreamOrigin:
    return StreamOrigin(attempt_id, "s", "v1", 30.0)


def version_at(node: StreamOrigins, attempt_id: str = "a1") -> str | None:
    found = asyncio.run(node.find(attempt_id))
    return None if found is None else found.software_version


@pytest.mark.parametrize("count", [2, 9, 81, 350])
def test_every_node_finds_out_where_a_stream_began(count: int) -> None:
    network = Network(count)
    network.update()
    network.messages = 0
    network.node(0).record(origin())
    assert network.messages <= 4
    for number in range(min(count, 20)):
        network.messages = 0
        assert version_at(network.node(number)) == "v1"
        assert network.messages <= 6


def test_unknown_stream_costs_few_messages() -> None:
    network = Network(350)
    network.update()
    network.messages = 0
    assert version_at(network.node(0)) is None
    assert network.messages <= 22


@hypothesis.given(seed=st.integers(0, 10_000), lost=st.sets(st.integers(1, 8)))
@hypothesis.settings(max_examples=300)
def test_stream_is_known_unless_its_node_and_all_homes_are_lost(
    seed: int, lost: set[int]
) -> None:
    hypothesis.assume(len(lost) < 8)
    network = Network(9)
    network.update()
    attempt = f"a{seed}"
    network.node(0).record(origin(attempt))
    holders = {
        ip
        for ip, node in network.nodes.items()
        if any(o.attempt_id == attempt for o in node._table)
    }
    network.lost = {f"10.0.0.{n}" for n in lost} | {"10.0.0.0"}
    network.update()
    asking = next(n for n in range(1, 9) if n not in lost)
    expected = "v1" if holders - network.lost else None
    assert version_at(network.node(asking), attempt) == expected


@hypothesis.given(seed=st.integers(0, 10_000))
@hypothesis.settings(max_examples=50)
def test_open_stream_is_told_to_new_homes_when_nodes_are_lost(
    seed: int,
) -> None:
    network = Network(9)
    network.update()
    attempt = f"a{seed}"
    network.node(0).record(origin(attempt))
    rng = random.Random(seed)
    for number in rng.sample(range(1, 9), 4):
        network.lost.add(f"10.0.0.{number}")
        network.update()
    network.lost.add("10.0.0.0")
    network.update()
    asking = next(ip for ip in network.nodes if ip not in network.lost)
    assert version_at(network.nodes[asking], attempt) == "v1"


def test_leaving_node_hands_over_what_it_holds() -> None:
    network = Network(3)
    network.update()
    network.node(0).record(origin())
    leaving = frozenset({"10.0.0.0", "10.0.0.1"})
    network.update(leaving)
    for ip in leaving:
        network.nodes[ip].hand_over()
    network.lost = set(leaving)
    network.update()
    assert version_at(network.node(2)) == "v1"


def test_lost_message_is_sent_again(monkeypatch: pytest.MonkeyPatch) -> None:
    now_s = 100.0
    monkeypatch.setattr("time.monotonic", lambda: now_s)
    network = Network(3)
    network.update()
    network.lost = {"10.0.0.1", "10.0.0.2"}
    network.node(0).record(origin())
    network.lost = set()
    now_s += 0.3
    network.update()
    network.lost = {"10.0.0.0"}
    assert any(o.attempt_id == "a1" for o in network.node(1)._table)
    assert any(o.attempt_id == "a1" for o in network.node(2)._table)


def test_late_confirmation_of_an_uncertain_origin_confirms_no_version(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A home that had lost the version was taken for one that held it."""
    now_s = 100.0
    monkeypatch.setattr("time.monotonic", lambda: now_s)
    network = Network(2)
    network.update()
    late: list[OriginMessage] = []
    node, home = network.node(0), network.node(1)
    home._send = lambda message, _: late.append(message)
    node.record(origin()._replace(software_version=UNKNOWN_VERSION))
    network.lost = {"10.0.0.1"}
    node.record(origin())
    network.lost = set()
    for message in late:
        node.receive(message, "10.0.0.1")
    now_s += 0.3
    network.update()
    held = home.find_held("a1")
    assert held is not None
    assert held.software_version == "v1"


def test_complete_stream_is_not_told_any_more() -> None:
    network = Network(3)
    network.update()
    network.node(0).record(origin())
    network.node(0).forget("a1")
    network.messages = 0
    network.lost = {"10.0.0.1"}
    network.update()
    assert network.messages == 0


def test_streams_that_nobody_may_resume_are_forgotten(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    now_s = 100.0
    monkeypatch.setattr("time.monotonic", lambda: now_s)
    network = Network(3)
    network.update()
    for number in range(50):
        network.node(0).record(origin(f"a{number}"))
    now_s += 31.0
    network.update()
    for node in network.nodes.values():
        assert list(node._table) == []
        assert not node._own
        assert not node._telling
