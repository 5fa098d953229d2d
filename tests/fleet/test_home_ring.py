"""Tests of the choice of the nodes that hold a fact."""

import pytest

from savorylift.fleet.home_ring import Home, HomeRing

KEYS = [f"attempt-{number}" for number in range(300)]


def make_ring(nodes: int, domains: int = 4) -> HomeRing:
    ring = HomeRing()
    ring.update(Home(f"10.0.0.{n}", f"z{n % domains}") for n in range(nodes))
    return ring


def domain_of(ip: str, domains: int = 4) -> int:
    return int(ip.rpartition(".")[2]) % domains


@pytest.mark.parametrize("nodes", [2, 9, 81, 350])
def test_two_homes_are_in_different_failure_domains(nodes: int) -> None:
    ring = make_ring(nodes)
    for key in KEYS:
        first, second = ring.find(key, 2)
        assert domain_of(first) != domain_of(second)


def test_nodes_in_one_failure_domain_are_homes_nonetheless() -> None:
    ring = make_ring(30, domains=1)
    assert all(len(set(ring.find(key, 3))) == 3 for key in KEYS)


def test_lost_node_changes_only_the_keys_that_it_held() -> None:
    before, after = make_ring(9), HomeRing()
    after.update(Home(f"10.0.0.{n}", f"z{n % 4}") for n in range(8))
    for key in KEYS:
        homes = before.find(key, 2)
        if "10.0.0.8" not in homes:
            assert after.find(key, 2) == homes
        else:
            assert set(homes) - {"10.0.0.8"} <= set(after.find(key, 3))


def test_keys_are_spread_over_the_nodes() -> None:
    ring = make_ring(9)
    firsts = [ring.find(key, 1)[0] for key in KEYS]
    assert len(set(firsts)) == 9


def test_empty_ring_has_no_homes() -> None:
    assert HomeRing().find("key", 2) == []


def test_update_says_whether_a_node_changed() -> None:
    ring = HomeRing()
    assert ring.update([Home("10.0.0.1", "z0")])
    assert not ring.update([Home("10.0.0.1", "z0")])
