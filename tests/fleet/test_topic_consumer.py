"""Tests of when a node reads the store."""

import asyncio
from typing import cast

import freezegun
import pytest
from returns.result import Failure, Result

from savorylift.fleet.peer_transport import MAX_READER_INTERVAL_S
from savorylift.fleet.store_records import Topic
from savorylift.fleet.topic_consumer import ReadPolicy, TopicConsumer
from savorylift.platform.store import (
    Batch,
    StoreClient,
    StoreError,
    StoreFault,
)
from tests.exchange.factories import make_store_view

# A configuration must be in force on all nodes this long after the store has
# acknowledged it, in a small and in a large fleet.
APPLY_SMALL_S = 2.0
APPLY_LARGE_S = 3.0


class FailingStore:
    """A store that refuses every call."""

    async def list_newest(self, topic: str) -> Result[Batch, StoreError]:
        return Failure(StoreError(StoreFault.REFUSED, topic))


def make_policy(
    peers_age_s: float | None, reader_interval_s: float = 0.2
) -> ReadPolicy:
    return ReadPolicy(
        lambda: False,
        lambda: peers_age_s,
        lambda: False,
        lambda: reader_interval_s,
    )


@pytest.mark.parametrize(
    ("age_s", "interval_s", "expected"),
    [
        (None, 0.2, True),
        (0.9 * APPLY_SMALL_S, 0.2, True),
        (1.3, 0.2, False),
        (0.9 * APPLY_LARGE_S, MAX_READER_INTERVAL_S, True),
        (1.6, MAX_READER_INTERVAL_S, False),
    ],
)
def test_node_reads_before_a_change_that_nobody_read_is_late(
    *, age_s: float | None, interval_s: float, expected: bool
) -> None:
    assert make_policy(age_s, interval_s).should_read() is expected


def test_first_of_several_faults_is_announced_at_once() -> None:
    announced = []
    consumer = TopicConsumer(
        cast("StoreClient", FailingStore()),
        "topic",
        Topic.SERVERS,
        make_store_view(),
        make_policy(None),
        lambda _: None,
    )
    consumer.on_fault = lambda: announced.append(True)

    async def read_for(seconds: float) -> None:
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(consumer.run(), seconds)

    with freezegun.freeze_time(real_asyncio=True):
        asyncio.run(read_for(0.01))
        asyncio.run(read_for(0.01))
    assert len(announced) == 1
