"""Tests of when a node reads the store."""

import asyncio
import collections
import time
from typing import cast

import freezegun
import pytest
from returns.result import Failure, Result, Success

from savorylift.fleet.peer_transport import MAX_READER_INTERVAL_S
from savorylift.fleet.read_policy import (
    FALLBACK_RETRY_S,
    POLL_PAUSE_S,
    READER_RETRY_S,
    STANDBY_PAUSE_S,
    ReadPolicy,
)
from savorylift.fleet.store_reader import StoreReader
from savorylift.fleet.store_records import Topic
from savorylift.fleet.topic_consumer import LONG_POLL_S, TopicConsumer
from savorylift.platform.store import (
    RESPONSE_TIMEOUT_S,
    Batch,
    StoreClient,
    StoreError,
    StoreFault,
)
from tests.exchange.factories import make_store_view
from tests.harness.virtual_time import run_in_virtual_time

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


class ChangingStore:
    """A store that refuses every call or holds nothing."""

    is_away = True

    async def list_newest(self, topic: str) -> Result[Batch, StoreError]:
        if self.is_away:
            return Failure(StoreError(StoreFault.REFUSED, topic))
        return Success(Batch((), 0))


EMPTY: Result[Batch, StoreError] = Success(Batch((), 0))


def test_outage_that_other_nodes_saw_the_end_of_is_over_for_all() -> None:
    async def scenario() -> None:
        store, peers_age_s = ChangingStore(), [10.0]
        policy = ReadPolicy(
            lambda: False, lambda: peers_age_s[0], lambda: False, lambda: 0.2
        )
        consumer = TopicConsumer(
            cast("StoreClient", store),
            "keyed.servers",
            Topic.SERVERS,
            make_store_view(),
            policy,
            lambda _: None,
        )
        recoveries: list[float] = []
        consumer.on_recovery = recoveries.append
        reading = asyncio.ensure_future(consumer.run())
        await asyncio.sleep(0.1)
        # Another node reads again, long before this one has to.
        store.is_away, peers_age_s[0] = False, 0.0
        await asyncio.sleep(FALLBACK_RETRY_S + 0.3)
        readings = [consumer.last_read_s]
        ended_s = list(recoveries)
        peers_age_s[0] = 10.0
        await asyncio.sleep(0.5)
        reading.cancel()
        readings.append(consumer.last_read_s)
        assert [read_s is not None for read_s in readings] == [False, True]
        assert recoveries == ended_s

    asyncio.run(scenario())


def test_outage_ends_with_the_first_reading_of_another_node() -> None:
    """The next call of this node, which waits for seconds, would be late."""

    async def scenario() -> None:
        read_s = [time.monotonic() - 10.0]
        policy = ReadPolicy(
            lambda: False,
            lambda: time.monotonic() - read_s[0],
            lambda: False,
            lambda: 0.2,
        )
        consumer = TopicConsumer(
            cast("StoreClient", ChangingStore()),
            "keyed.servers",
            Topic.SERVERS,
            make_store_view(),
            policy,
            lambda _: None,
        )
        recoveries: list[float] = []
        consumer.on_recovery = recoveries.append
        reading = asyncio.ensure_future(consumer.run())
        await asyncio.sleep(0.1)
        read_s[0] = returned_s = time.monotonic()
        await asyncio.sleep(FALLBACK_RETRY_S / 2)
        assert recoveries == [pytest.approx(returned_s, abs=0.01)]
        # The others read on.
        for _ in range(10):
            read_s[0] = time.monotonic()
            await asyncio.sleep(FALLBACK_RETRY_S / 5)
        reading.cancel()
        assert len(recoveries) == 1

    asyncio.run(scenario())


def test_reader_that_alone_loses_the_store_sees_no_outage(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its calls hang for as long as those on a dead connection do."""

    async def scenario() -> None:
        store = ChangingStore()
        store.is_away = False
        others_s = [time.monotonic()]
        policy = ReadPolicy(
            lambda: True,
            lambda: time.monotonic() - others_s[0],
            lambda: False,
            lambda: 0.2,
        )
        consumer = TopicConsumer(
            cast("StoreClient", store),
            "keyed.servers",
            Topic.SERVERS,
            make_store_view(),
            policy,
            lambda _: None,
        )
        lost: Result[Batch, StoreError] = Failure(
            StoreError(StoreFault.UNREACHABLE, "")
        )
        hangs_s = LONG_POLL_S + RESPONSE_TIMEOUT_S
        monkeypatch.setattr(
            store,
            "read",
            lambda *_: asyncio.sleep(hangs_s, lost),
            raising=False,
        )
        recoveries: list[float] = []
        consumer.on_recovery = recoveries.append
        reading = asyncio.ensure_future(consumer.run())
        for _ in range(30):
            await asyncio.sleep(0.3)
            others_s[0] = time.monotonic()
        reading.cancel()
        await asyncio.wait([reading])
        assert consumer.last_read_s is not None
        assert consumer.has_fault(time.monotonic())
        assert recoveries == []

    run_in_virtual_time(monkeypatch, scenario)


def test_consumer_is_woken_only_to_begin_to_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Woken at each beat just to look, it cost what a message costs."""
    decided: list[bool] = []

    async def scenario() -> None:
        store, is_reader = ChangingStore(), [False]
        store.is_away = False
        policy = ReadPolicy(
            lambda: is_reader[0], lambda: 0.0, lambda: False, lambda: 0.2
        )
        log_decision = policy.log_decision

        def record(topic_name: str, *, should_read: bool) -> None:
            decided.append(should_read)
            log_decision(topic_name, should_read=should_read)

        monkeypatch.setattr(policy, "log_decision", record)
        consumer = TopicConsumer(
            cast("StoreClient", store),
            "keyed.servers",
            Topic.SERVERS,
            make_store_view(),
            policy,
            lambda _: None,
        )
        monkeypatch.setattr(
            store, "read", lambda *_: asyncio.sleep(1.0, EMPTY), raising=False
        )
        reading = asyncio.ensure_future(consumer.run())
        await asyncio.sleep(0.01)
        handles = 0
        run_handle = asyncio.Handle._run

        def count(self: asyncio.Handle) -> None:
            nonlocal handles
            handles += 1
            run_handle(self)

        monkeypatch.setattr(asyncio.Handle, "_run", count)
        await asyncio.sleep(20 * POLL_PAUSE_S)
        monkeypatch.setattr(asyncio.Handle, "_run", run_handle)
        # A timer a beat, and the end of the scenario's own sleep.
        assert handles <= 23
        readings = [consumer.last_read_s]
        is_reader[0] = True
        await asyncio.sleep(POLL_PAUSE_S + 0.05)
        readings.append(consumer.last_read_s)
        assert [read_s is not None for read_s in readings] == [False, True]
        is_reader[0] = False
        await asyncio.sleep(1.5)
        reading.cancel()

    run_in_virtual_time(monkeypatch, scenario)
    assert decided == [True, False]


@pytest.mark.parametrize(
    ("is_standby", "first_age_s", "pause_s"),
    [
        pytest.param(False, 0.1, POLL_PAUSE_S, id="first"),
        pytest.param(True, 0.1, STANDBY_PAUSE_S, id="first reads"),
        pytest.param(True, 1.5, POLL_PAUSE_S, id="first stalls"),
        pytest.param(True, None, POLL_PAUSE_S, id="first is lost"),
    ],
)
def test_standby_reads_seldom_while_the_first_reader_reads(
    *, is_standby: bool, first_age_s: float | None, pause_s: float
) -> None:
    """Two readers that read alike make twice the calls for the same news."""
    policy = ReadPolicy(
        lambda: True,
        lambda: first_age_s,
        lambda: False,
        lambda: 0.5,
        is_standby=lambda: is_standby,
        peers_servers_age_s=lambda: first_age_s,
    )
    assert policy.pause_s == pause_s


@pytest.mark.parametrize("nodes", [1, 16, 88, 350])
def test_store_in_need_gets_no_more_calls_from_a_larger_fleet(
    nodes: int,
) -> None:
    policy = ReadPolicy(
        lambda: False,
        lambda: 10.0,
        lambda: False,
        lambda: 0.5,
        count_nodes=lambda: nodes,
    )
    assert nodes / policy.retry_s <= 16 / FALLBACK_RETRY_S


def test_one_topic_shows_whether_the_store_is_back() -> None:
    async def scenario() -> None:
        store = CountingStore()
        policy = ReadPolicy(
            lambda: True, lambda: 10.0, lambda: False, lambda: 0.2
        )
        reader = StoreReader(
            cast("StoreClient", store),
            "keyed.op",
            make_store_view(),
            policy,
            lambda _: None,
            lambda: None,
        )
        reading = [asyncio.ensure_future(run()) for run in reader.runs()]
        await asyncio.sleep(2.2 * READER_RETRY_S)
        assert store.calls["keyed.op"] <= 1 < store.calls["keyed.servers"]
        store.is_away = False
        await asyncio.sleep(1.5 * READER_RETRY_S)
        for task in reading:
            task.cancel()
        assert reader.reading_age_s(time.monotonic()) is not None

    asyncio.run(scenario())


class CountingStore(ChangingStore):
    """The same, and counts the calls by topic."""

    def __init__(self) -> None:
        self.calls: collections.Counter[str] = collections.Counter()

    async def list_newest(self, topic: str) -> Result[Batch, StoreError]:
        self.calls[topic] += 1
        return await super().list_newest(topic)

    async def read(
        self, topic: str, offset: int, wait_s: float
    ) -> Result[Batch, StoreError]:
        await asyncio.sleep(wait_s)
        return Success(Batch((), offset))


# A store that is listed more often is listed without pause.
MAX_LISTINGS = 50


class OldestMissingStore:
    """A store that can be listed, and refuses each reading that follows."""

    def __init__(self, fault: StoreFault) -> None:
        self.listings = 0
        self._fault = fault

    async def list_newest(self, _topic: str) -> Result[Batch, StoreError]:
        self.listings += 1
        if self.listings > MAX_LISTINGS:
            await asyncio.sleep(60.0)
        return Success(Batch((), 1))

    async def read(
        self, _topic: str, _offset: int, _wait_s: float
    ) -> Result[Batch, StoreError]:
        return Failure(StoreError(self._fault, "410"))


@pytest.mark.parametrize("fault", [StoreFault.TRIMMED, StoreFault.RESTORED])
def test_store_that_refuses_each_reading_is_not_listed_without_pause(
    fault: StoreFault, monkeypatch: pytest.MonkeyPatch
) -> None:
    store = OldestMissingStore(fault)
    consumer = TopicConsumer(
        cast("StoreClient", store),
        "topic",
        Topic.SERVERS,
        make_store_view(),
        make_policy(None),
        lambda _: None,
    )

    async def scenario() -> None:
        reading = asyncio.ensure_future(consumer.run())
        await asyncio.sleep(4.0)
        reading.cancel()
        await asyncio.gather(reading, return_exceptions=True)

    run_in_virtual_time(monkeypatch, scenario)
    # Once at once, and then after the delay that follows any failed call.
    assert store.listings <= 2 + 4.0 / READER_RETRY_S
