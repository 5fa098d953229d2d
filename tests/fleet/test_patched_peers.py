"""Tests of which nodes are sent patches."""

from savorylift.fleet.patched_peers import PatchedPeers
from savorylift.fleet.size_scaling import SMALL_FLEET_NODES

IPS = tuple(f"10.0.0.{number}" for number in range(SMALL_FLEET_NODES))


def test_nodes_with_the_base_get_patches_in_a_large_fleet() -> None:
    patched = PatchedPeers(lambda ip: ip != IPS[0])
    assert patched.find(IPS) == set()
    patched.begin(IPS[:-1])
    patched.forget(IPS[1])
    assert patched.find(IPS) == set(IPS[2:-1])
    assert patched.find(IPS[:-1]) == set()
