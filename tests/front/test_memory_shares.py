"""Tests of what of a VM's memory callers can make a node hold."""

import pytest

from savorylift.front.memory_shares import PROCESS_BYTES, share_memory

MB = 1_000_000


@pytest.mark.parametrize("memory_mb", [80, 100, 120, 150, 300, 4000])
def test_shares_and_the_process_fit_the_memory_together(memory_mb: int) -> None:
    """Before, they exceeded it below 108 MB, with all listeners at 150 MB."""
    shares = share_memory(memory_mb * MB)
    assert PROCESS_BYTES + sum(shares) <= memory_mb * MB


@pytest.mark.parametrize(
    ("memory_mb", "connections"), [(150, 59_000_000), (300, 159_000_000)]
)
def test_connections_have_what_the_others_leave(
    memory_mb: int, connections: int
) -> None:
    assert share_memory(memory_mb * MB).connections == connections


def test_connections_have_some_memory_where_there_is_too_little() -> None:
    assert share_memory(28 * MB).connections == 4_000_000
