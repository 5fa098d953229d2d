"""Tests of how often nodes write their counts of refusals."""

from typing import Any

import pytest

from savorylift.refusals.writer import (
    MAX_WRITE_INTERVAL_S,
    WRITE_INTERVAL_S,
    RefusalWriter,
)

# A fleet of any size calls the store so often at most, for these counts.
MAX_CALLS_PER_S = 3.2
# Beyond a small fleet, until the longest interval is reached.
MAX_CALLS_OF_LARGE_FLEET_PER_S = 1.0


@pytest.mark.parametrize("nodes", [1, 9, 16, 17, 30, 60, 88, 195])
def test_fleet_writes_about_as_often_whatever_its_size(nodes: int) -> None:
    """Refusals of 18 nodes took a fifth of all calls to the store."""
    unused: Any = None
    interval_s = RefusalWriter(unused, unused, lambda: nodes)._interval_s
    assert WRITE_INTERVAL_S <= interval_s <= MAX_WRITE_INTERVAL_S
    assert nodes / interval_s <= MAX_CALLS_PER_S + nodes / MAX_WRITE_INTERVAL_S
    if nodes <= 16:
        assert interval_s == WRITE_INTERVAL_S
    elif interval_s < MAX_WRITE_INTERVAL_S:
        assert nodes / interval_s <= MAX_CALLS_OF_LARGE_FLEET_PER_S
