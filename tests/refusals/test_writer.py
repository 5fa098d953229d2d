"""Tests of how often nodes write their counts of refusals."""

import asyncio
from collections.abc import Sequence
from typing import Any

import pytest
from returns.result import Result, Success

from savorylift.exchange.results import Refused
from savorylift.outcomes import Reason
from savorylift.platform.store_record import Record
from savorylift.refusals.counts import RefusalCounts
from savorylift.refusals.writer import (
    MAX_BATCH_RECORDS,
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


def test_all_counts_are_saved_at_once_in_calls_of_a_bounded_size() -> None:
    """Those of a large fleet were left for the next minute, or a stop."""
    counts = RefusalCounts("vm-1", 7)
    for number in range(2 * MAX_BATCH_RECORDS + 1):
        refused = Refused(503, Reason.QUEUE_FULL, "full", 1.0)
        counts.add(0.0, f"team-{number}", refused)
    sizes: list[int] = []

    class Store:
        async def append(
            self, _topic: str, records: Sequence[Record]
        ) -> Result[int, str]:
            sizes.append(len(records))
            return Success(0)

    store: Any = Store()
    assert asyncio.run(RefusalWriter(store, counts).save())
    assert sizes == [MAX_BATCH_RECORDS, MAX_BATCH_RECORDS, 1]
    assert counts.unsaved() == ()
