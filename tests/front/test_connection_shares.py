"""Tests of how many connections the listeners of a node may have."""

import pytest

from savorylift.front.connection_shares import (
    most_descriptors,
    share_connections,
)
from savorylift.front.memory_shares import share_memory

MB = 1_000_000
# What a node has open beside connections: listeners, logs, its event loop.
OWN_DESCRIPTORS = 20


@pytest.mark.parametrize("descriptors", [256, 1024, 4096, 65_536])
@pytest.mark.parametrize("memory_mb", [60, 150, 4000])
@pytest.mark.parametrize("has_tls", [True, False])
def test_listeners_leave_descriptors_for_own_connections(
    descriptors: int, memory_mb: int, *, has_tls: bool
) -> None:
    memory = share_memory(memory_mb * MB)
    shares = share_connections(descriptors, memory.connections, has_tls=has_tls)
    assert sum(shares) + OWN_DESCRIPTORS < 0.8 * descriptors
    assert min(shares) >= 8


def test_smallest_machine_serves_a_thousand_callers() -> None:
    memory = share_memory(150 * MB)
    shares = share_connections(4100, memory.connections, has_tls=False)
    assert shares.callers >= 1000


def test_setting_lowers_what_the_system_allows() -> None:
    assert most_descriptors(100) == 100
    assert most_descriptors(None) >= most_descriptors(100)
