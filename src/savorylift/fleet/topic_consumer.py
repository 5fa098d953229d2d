"""Consumes the topics of the store and publishes their changes."""

import asyncio
import time
from collections.abc import Callable

import structlog
from returns.pipeline import is_successful
from returns.result import Result

from savorylift.beat import wait_for_beat
from savorylift.fleet.store_records import Change, Delta, Topic
from savorylift.fleet.store_view import StoreView
from savorylift.platform.store import (
    Batch,
    StoreClient,
    StoreError,
    StoreFault,
)

# How long the store may hold a poll open. A dead connection to the store is
# detected after this time plus the timeout of the call.
LONG_POLL_S = 1.0
# Pause after a poll that returned records: all servers together write several
# times a second, and each answered poll is charged for. Also the interval at
# which a node that should not read checks whether it should.
POLL_PAUSE_S = 0.2
# Delay of a reader before the next call after a failed one.
READER_RETRY_S = 0.5
# Shorter, since a node without a configuration can't serve any request.
STARTING_RETRY_S = 0.1
# For nodes that are not readers and poll because the readings of the other
# nodes are stale.
FALLBACK_RETRY_S = 2.0
# Entries in the store may expire during an outage that is longer than this.
OUTAGE_S = 1.0
# How long a fault of the store is reported to the other nodes.
FAULT_REPORTED_S = 10.0
# A reading is stale when it is older than this plus STALE_INTERVALS of the
# intervals at which readers announce the age of their readings.
STALE_S = 1.1
STALE_INTERVALS = 2
# Readings that are older than this, and the interval of readers, may miss a
# notice: servers write several times a second, and give about 1.5 s of notice.
NOTICE_AGE_S = 0.5
# For how long a decision whether to read holds, for both topics.
DECISION_S = 0.1

_log = structlog.get_logger()


class ReadPolicy:
    """Decides whether this node should read the store now."""

    def __init__(
        self,
        is_reader: Callable[[], bool],
        peers_reading_age_s: Callable[[], float | None],
        is_starting: Callable[[], bool],
        get_reader_interval_s: Callable[[], float],
    ) -> None:
        """Sets the functions that return the current state of the node.

        Args:
            is_reader: Whether this node is one of the readers.
            peers_reading_age_s: Age of the newest reading by a live peer; None
                without one.
            is_starting: Whether this node has no configuration yet.
            get_reader_interval_s: Returns the interval between the messages of
                a reader.
        """
        self._is_reader = is_reader
        self._peers_reading_age_s = peers_reading_age_s
        self._is_starting = is_starting
        self._get_reader_interval_s = get_reader_interval_s
        self._should_read = False
        self._decided_until_s = 0.0

    @property
    def retry_s(self) -> float:
        """Delay before the next call after one that failed."""
        if self._is_starting():
            return STARTING_RETRY_S
        return READER_RETRY_S if self._is_reader() else FALLBACK_RETRY_S

    def should_read(self) -> bool:
        """Whether this node is a reader or other nodes' readings are stale."""
        now_s = time.monotonic()
        if now_s >= self._decided_until_s:
            self._decided_until_s = now_s + DECISION_S
            self._should_read = self._is_reader() or self.is_stale(None)
        return self._should_read

    def log_decision(self, topic_name: str, *, should_read: bool) -> None:
        """Logs that this node begins or stops reading, and why."""
        _log.info(
            "reading" if should_read else "not_reading",
            topic=topic_name,
            is_reader=self._is_reader(),
            peers_reading_age_s=self._peers_reading_age_s(),
        )

    def is_stale(self, own_age_s: float | None) -> bool:
        """Whether neither this node nor another has a recent reading.

        Args:
            own_age_s: Age of this node's own reading; None to consider only
                those of the other nodes.
        """
        stale_s = STALE_S + STALE_INTERVALS * self._get_reader_interval_s()
        ages = [
            a for a in (own_age_s, self._peers_reading_age_s()) if a is not None
        ]
        return min(ages, default=stale_s + 1) > stale_s

    def may_miss_notices(self, servers_age_s: float | None) -> bool:
        """Whether a server may have given a notice that nobody has read.

        Args:
            servers_age_s: Age of the newest reading of the servers' entries,
                by any node.
        """
        max_age_s = NOTICE_AGE_S + self._get_reader_interval_s()
        return servers_age_s is None or servers_age_s > max_age_s


class TopicConsumer:
    """Reads one topic of the store and applies its records to the view."""

    def __init__(
        self,
        store: StoreClient,
        topic_name: str,
        topic: Topic,
        store_view: StoreView,
        read_policy: ReadPolicy,
        on_change: Callable[[Delta | None], None],
    ) -> None:
        """Reads nothing until `run` is called.

        Args:
            store: The store.
            topic_name: Name of the topic in the store.
            topic: What the records of the topic describe.
            store_view: The view that the records are applied to.
            read_policy: Decides when to read, and how soon to retry.
            on_change: Called after each change, with the delta to send to the
                other nodes; None after a full listing.
        """
        self._store = store
        self._topic_name = topic_name
        self._topic = topic
        self._store_view = store_view
        self._read_policy = read_policy
        self._on_change = on_change
        self._offset: int | None = None
        self._last_read_s: float | None = None
        self._last_fault_s: float | None = None
        self._failing_since_s: float | None = None
        self.on_recovery: Callable[[float], None] = _ignore_recovery
        self.on_fault: Callable[[], None] = _ignore_fault

    @property
    def last_read_s(self) -> float | None:
        """Monotonic time of the last successful call; None before the first."""
        return self._last_read_s

    def has_fault(self, now_s: float) -> bool:
        """Whether a call to the store failed recently."""
        if self._last_fault_s is None:
            return False
        return now_s - self._last_fault_s < FAULT_REPORTED_S

    def skip_to(self, offset: int) -> None:
        """Skips the records before `offset`, which another node has sent."""
        if self._offset is None or offset > self._offset:
            self._offset = offset

    async def run(self) -> None:
        """Polls the topic forever, whenever this node should read."""
        is_reading = False
        while True:
            should_read = self._read_policy.should_read()
            if should_read != is_reading:
                is_reading = should_read
                self._read_policy.log_decision(
                    self._topic_name, should_read=should_read
                )
            if not should_read:
                await wait_for_beat(POLL_PAUSE_S)
                continue
            wait_s = await self._read()
            await asyncio.sleep(wait_s)

    async def _read(self) -> float:
        """Makes one call; returns the delay before the next."""
        is_full_read = self._offset is None
        result = await self._call()
        if not is_successful(result):
            return self._handle_error(result.failure())
        self._handle_success()
        batch = result.unwrap()
        if self._offset is not None and batch.next_offset < self._offset:
            return POLL_PAUSE_S
        self._offset = batch.next_offset
        changes = tuple(Change(*record) for record in batch.records)
        if is_full_read:
            self._replace(changes, batch.next_offset)
        else:
            self._apply(changes, batch.next_offset)
        return POLL_PAUSE_S if batch.records else 0.0

    def _replace(self, changes: tuple[Change, ...], offset: int) -> None:
        if self._topic is Topic.SERVERS:
            self._store_view.replace_server_records(changes, offset)
        else:
            self._store_view.replace_operator_records(changes, offset)
        self._on_change(None)

    def _apply(self, changes: tuple[Change, ...], offset: int) -> None:
        if self._topic is Topic.OPERATORS:
            delta = self._store_view.make_operators_delta(changes, offset)
            if self._store_view.apply_operator_records(changes, offset):
                self._on_change(delta)
            return
        base_version = self._store_view.servers_version
        told = self._store_view.apply_server_records(changes, offset)
        if told:
            new_version = self._store_view.servers_version
            self._on_change(
                Delta(Topic.SERVERS, base_version, new_version, told)
            )

    async def _call(self) -> Result[Batch, StoreError]:
        if self._offset is None:
            return await self._store.list_newest(self._topic_name)
        return await self._store.read(
            self._topic_name, self._offset, LONG_POLL_S
        )

    def _handle_success(self) -> None:
        now_s = time.monotonic()
        since_s = self._failing_since_s
        if since_s is not None:
            _log.info("store_regained", topic=self._topic_name)
            if now_s - since_s > OUTAGE_S:
                self.on_recovery(now_s)
        self._failing_since_s = None
        self._last_read_s = now_s

    def _handle_error(self, error: StoreError) -> float:
        """Returns the delay before the next call."""
        now_s = time.monotonic()
        if error.fault is StoreFault.TRIMMED:
            _log.warning("store_trimmed", topic=self._topic_name)
            self._offset = None
            return 0.0
        if error.fault is StoreFault.RESTORED:
            _log.warning(
                "store_restored", topic=self._topic_name, detail=error.detail
            )
            self._offset = None
            # Entries written since the copy are missing until written again.
            self.on_recovery(now_s)
            return 0.0
        if self._failing_since_s is None:
            self._failing_since_s = self._last_read_s or now_s
            _log.warning(
                "store_lost", topic=self._topic_name, detail=error.detail
            )
        if not self.has_fault(now_s):
            self._last_fault_s = now_s
            self.on_fault()
        self._last_fault_s = now_s
        return self._read_policy.retry_s


def _ignore_fault() -> None:
    """Default callback for the first of several failed calls."""


def _ignore_recovery(_recovered_s: float) -> None:
    """Default callback for the end of an outage."""
