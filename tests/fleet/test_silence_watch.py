"""Tests of how dead nodes are noticed in large fleets."""

import functools

import pytest

from savorylift.fleet import peer_transport
from savorylift.fleet.membership import Membership
from savorylift.fleet.pulse_messages import SilenceReport
from savorylift.fleet.silence_watch import REPORT_VALIDITY_S, SilenceWatch
from savorylift.fleet.state import ServerLoad
from tests.fleet.test_membership import state
from tests.fleet.virtual_fleet import STEP_S, VirtualFleet

# A node that ended is used by none after this time.
NOTICED_S = 1.5
LOSS = 0.05
# Whatever a fleet's size, a node gets about as many datagrams each second.
MAX_RECEIVED_PER_S = 130


@pytest.mark.parametrize("count", [30, 100, 350])
def test_dead_node_is_noticed_soon_at_a_rate_that_does_not_grow(
    monkeypatch: pytest.MonkeyPatch, count: int
) -> None:
    fleet = VirtualFleet(monkeypatch, count)
    fleet.introduce()
    fleet.run(1.0)
    assert not fleet.missing()
    received = sum(node.received for node in fleet.nodes.values())
    fleet.run(1.0)
    received = sum(node.received for node in fleet.nodes.values()) - received
    assert received / count < MAX_RECEIVED_PER_S
    dead = list(fleet.nodes)[5]
    fleet.nodes[dead].is_running = False
    assert fleet.run_until_dropped({dead}, 5.0) <= NOTICED_S
    assert not fleet.missing()


@pytest.mark.parametrize("seed", range(3))
def test_no_live_node_is_dropped_where_datagrams_are_lost(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    fleet = VirtualFleet(monkeypatch, 40, seed=seed)
    fleet.introduce()
    fleet.run(1.0)
    fleet.loses = lambda _sender, _receiver: fleet.rng.random() < LOSS

    def check() -> None:
        assert not fleet.missing()

    fleet.run(15.0, check)
    dead = list(fleet.nodes)[7]
    fleet.nodes[dead].is_running = False
    assert fleet.run_until_dropped({dead}, 5.0) <= NOTICED_S


def test_node_that_one_domain_does_not_hear_stays_live_for_the_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    fleet = VirtualFleet(monkeypatch, 40)
    fleet.introduce()
    fleet.run(1.0)
    fleet.loses = lambda sender, receiver: (
        sender.domain == "z0" and receiver.domain == "z1"
    )

    def check() -> None:
        for ips in fleet.missing():
            assert {fleet.nodes[ip].domain for ip in ips} == {"z0", "z1"}

    fleet.run(8.0, check)


def test_node_that_stood_still_drops_nobody_and_comes_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    fleet = VirtualFleet(monkeypatch, 40)
    fleet.introduce()
    fleet.run(1.0)
    paused = fleet.nodes["10.0.0.9"]
    paused.is_running = False
    assert fleet.run_until_dropped({paused.ip}, 5.0) <= NOTICED_S
    fleet.run(1.5)
    paused.is_running = True

    def check() -> None:
        assert all(other == paused.ip for _, other in fleet.missing())

    fleet.run(1.0, check)
    assert not fleet.missing()


def test_failure_domain_that_is_lost_at_once_is_noticed_as_soon(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    fleet = VirtualFleet(monkeypatch, 60)
    fleet.introduce()
    fleet.run(1.0)
    lost = {ip for ip, node in fleet.nodes.items() if node.domain == "z2"}
    for ip in lost:
        fleet.nodes[ip].is_running = False
    assert fleet.run_until_dropped(lost, 5.0) <= NOTICED_S
    assert not fleet.missing()


def test_roll_of_a_tenth_at_a_time_drops_no_other_node(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    fleet = VirtualFleet(monkeypatch, 30)
    ips = list(fleet.nodes)
    fleet.introduce()
    fleet.run(1.0)
    for first in range(0, 30, 3):
        rolled = set(ips[first : first + 3])
        for ip in rolled:
            fleet.nodes[ip].is_running = False
        fleet.run(1.0, lambda: _check_missing(fleet, set()))
        for ip in rolled:
            domain = fleet.nodes[ip].domain
            fleet.start(ip, domain, ips[:3], incarnation=2)
        fleet.run(3.0, functools.partial(_check_missing, fleet, rolled))
        assert not fleet.missing()


def _check_missing(fleet: VirtualFleet, starting: set[str]) -> None:
    for ip, other in fleet.missing():
        assert ip in starting or other in starting


def test_nodes_that_start_at_once_find_each_other(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    seeds = ["10.0.0.1", "10.0.0.2", "10.9.9.9"]
    fleet = VirtualFleet(monkeypatch, 60, seeds=seeds)
    fleet.run(4.0)
    assert not fleet.missing()


def test_old_and_new_builds_hear_each_other(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    fleet = VirtualFleet(monkeypatch, 40)
    for ip in list(fleet.nodes)[::2]:
        fleet.nodes[ip].make_old()
    fleet.run(3.0)
    assert not fleet.missing()
    fleet.run(8.0, lambda: _check_missing(fleet, set()))


def test_change_of_load_is_known_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    fleet = VirtualFleet(monkeypatch, 40)
    fleet.introduce()
    fleet.run(1.0)
    nodes = list(fleet.nodes.values())
    for requests in (1, 2, 0):
        load = ServerLoad("s", requests, 7, 0, 0, 0)
        nodes[0].loads = (load,) if requests else ()
        nodes[0].sync.transport.send_soon()
        fleet.run(2 * STEP_S)
        for node in nodes[1:]:
            known = node.members.loads(fleet.now_s).get("s")
            assert (known.requests if known else 0) == requests


def test_unchanged_states_take_few_bytes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def bytes_each_s(*, is_old: bool) -> float:
        if is_old:
            # Those builds named all nodes.
            monkeypatch.setattr(peer_transport, "MAX_NAMED_PEERS", 1000)
        fleet = VirtualFleet(monkeypatch, 88)
        for node in fleet.nodes.values():
            if is_old:
                node.make_old()
        fleet.introduce()
        fleet.run(0.5)
        before = sum(node.bytes_sent for node in fleet.nodes.values())
        fleet.run(5.5)
        after = sum(node.bytes_sent for node in fleet.nodes.values())
        return (after - before) / 5.5

    assert bytes_each_s(is_old=False) < 0.5 * bytes_each_s(is_old=True)


WITNESS, OTHER = "10.0.0.8", "10.0.0.9"


@pytest.mark.parametrize(
    ("reports", "is_silent"),
    [
        # One watcher may be cut off itself.
        ([(WITNESS, 2, 5, 0.0)], False),
        ([(WITNESS, 2, 5, 0.0), (WITNESS, 2, 5, 0.1)], False),
        ([(WITNESS, 2, 5, 0.0), (OTHER, 2, 5, 0.1)], True),
        # This node has heard more.
        ([(WITNESS, 2, 4, 0.0), (OTHER, 2, 5, 0.1)], False),
        # Reports of an earlier process.
        ([(WITNESS, 1, 9, 0.0), (OTHER, 2, 5, 0.1)], False),
        ([(WITNESS, 2, 5, 0.0), ("10.0.0.2", 2, 5, 0.1)], False),
        ([(WITNESS, 2, 5, 0.0), (OTHER, 2, 5, REPORT_VALIDITY_S + 0.3)], False),
    ],
)
def test_several_watchers_must_agree(
    reports: list[tuple[str, int, int, float]], *, is_silent: bool
) -> None:
    members = Membership("10.0.0.1", ())
    members.update_peer(state(2)._replace(sequence=5, interval_s=2.0), 0.0)
    watch = SilenceWatch("10.0.0.1", members)
    for witness, incarnation, sequence, at_s in reports:
        watch.find_silent(at_s)
        report = SilenceReport("10.0.0.2", incarnation, sequence)
        watch.hear([report], witness, at_s)
    live = [peer.state.ip for peer in members.live_peers(1.0)]
    assert (live == []) is is_silent
    # What issuers of permits rest on doesn't change by hearsay.
    assert len(list(members.heard_peers(1.0))) == 1
    assert members.live_share(1.0) == 1.0
    assert members.update_peer(state(2)._replace(sequence=6), 1.0) is False
    assert len(list(members.live_peers(1.0))) == 1


def test_node_that_hears_nobody_reports_nobody() -> None:
    members = Membership("10.0.0.1", ())
    watch = SilenceWatch("10.0.0.1", members)
    for number in (2, 3):
        members.update_peer(state(number), 0.0)
        watch.watch(state(number).ip, goes_on=True)
    assert watch.find_silent(1.2) == ()
    members.update_peer(state(3)._replace(sequence=2), 1.2)
    assert [r.ip for r in watch.find_silent(1.2)] == ["10.0.0.2"]
