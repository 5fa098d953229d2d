"""Consumes the topics of the store and publishes their changes."""

import asyncio
import time
from collections.abc import Callable

import structlog
from returns.pipeline import is_successful
from returns.result import Result

from savorylift.beat import wait_for_beat
from savorylift.fleet.read_policy import POLL_PAUSE_S, ReadPolicy
from savorylift.fleet.store_outage import StoreOutage
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
# How long a fault of the store is reported to the other nodes.
FAULT_REPORTED_S = 10.0

# Faults that a call for another topic would meet as well.
AWAY_FAULTS = frozenset({StoreFault.UNREACHABLE, StoreFault.REFUSED})

_log = structlog.get_logger()


class TopicConsumer:
    """Reads one topic of the store and applies its records to the view.

    Attributes:
        is_store_away: Whether the last call met one of `AWAY_FAULTS`.
        may_call: Returns whether the store may be called now.
        on_recovery: Called with the time at which an outage ended for the
            first node.
        on_reading: Called with the position after each call that the store
            answered, before `on_recovery` and before its records are applied.
        on_fault: Called after the first of several calls that failed.
    """

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
        # Monotonic time at which it was listed last, or that was tried.
        self._listed_s = float("-inf")
        # As it was logged last.
        self._is_reading = False
        self._last_read_s: float | None = None
        # The last one whose records were applied.
        self._applied_s: float | None = None
        self._last_fault_s: float | None = None
        self._is_failing = False
        self._outage = StoreOutage(read_policy.others_read_s)
        self.is_store_away = False
        self.may_call: Callable[[], bool] = lambda: True
        self.on_recovery: Callable[[float], None] = _ignore_recovery
        self.on_reading: Callable[[int], None] = _ignore_reading
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
        """Polls the topic forever, whenever this node should read.

        After an error of our own, it is to be called again: it then lists the
        topic anew, as the records of the last call may have been lost. That
        call doesn't count as a reading, and other nodes are told of a fault.
        """
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._poll())
                group.create_task(self._watch_others())
        except BaseException:
            self._offset = None
            self._last_fault_s = time.monotonic()
            self._set_read(self._applied_s)
            raise

    async def _poll(self) -> None:
        while True:
            should_read = self._read_policy.should_read()
            if should_read != self._is_reading:
                self._is_reading = should_read
                self._read_policy.log_decision(
                    self._topic_name, should_read=should_read
                )
            if not should_read or not self.may_call():
                await wait_for_beat(POLL_PAUSE_S, self._has_to_act)
                continue
            wait_s = await self._read()
            await asyncio.sleep(wait_s)

    def _has_to_act(self) -> bool:
        """Whether to read now, or to log that this node stops reading."""
        should_read = self._read_policy.should_read()
        if should_read != self._is_reading:
            return True
        return should_read and self.may_call()

    async def _watch_others(self) -> None:
        """Notes the end of an outage that other nodes see first."""
        while True:
            await wait_for_beat(POLL_PAUSE_S, self._has_news_of_others)
            self._announce_recovery(self._outage.look())

    def _has_news_of_others(self) -> bool:
        """Whether another node has read during an outage."""
        self._outage.follow()
        return self._outage.has_news()

    async def _read(self) -> float:
        """Makes one call; returns the delay before the next."""
        is_full_read = self._offset is None
        if is_full_read:
            self._listed_s = time.monotonic()
        self._outage.begin_call(time.monotonic(), self._last_read_s)
        result = await self._call()
        if not is_successful(result):
            return self._handle_error(result.failure())
        batch = result.unwrap()
        self._handle_success(batch.next_offset)
        if self._offset is not None and batch.next_offset < self._offset:
            return POLL_PAUSE_S
        self._offset = batch.next_offset
        changes = tuple(Change(*record) for record in batch.records)
        if is_full_read:
            self._replace(changes, batch.next_offset)
        else:
            self._apply(changes, batch.next_offset)
        self._applied_s = self._last_read_s
        return self._read_policy.pause_s if batch.records else 0.0

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

    def _handle_success(self, position: int) -> None:
        now_s = time.monotonic()
        self.is_store_away = False
        if self._is_failing:
            _log.info("store_regained", topic=self._topic_name)
        self._is_failing = False
        self.on_reading(position)
        self._announce_recovery(self._outage.note_reading(now_s))
        self._set_read(now_s)

    def _set_read(self, read_s: float | None) -> None:
        self._last_read_s = read_s
        if self._topic is Topic.SERVERS:
            self._store_view.servers_read_s = read_s

    def _announce_recovery(self, ended_s: float | None) -> None:
        if ended_s is None:
            return
        ended_ms = round((time.monotonic() - ended_s) * 1000)
        _log.info(
            "store_outage_ended", topic=self._topic_name, ended_ms_ago=ended_ms
        )
        self.on_recovery(ended_s)

    def _handle_error(self, error: StoreError) -> float:
        """Returns the delay before the next call."""
        now_s = time.monotonic()
        if error.fault is StoreFault.TRIMMED:
            _log.warning("store_trimmed", topic=self._topic_name)
            self._offset = None
            return self._listing_pause_s(now_s)
        if error.fault is StoreFault.RESTORED:
            _log.warning(
                "store_restored", topic=self._topic_name, detail=error.detail
            )
            self._offset = None
            if error.start is not None:
                self.on_reading(error.start)
            # Entries written since the copy are missing until written again.
            self.on_recovery(now_s)
            return self._listing_pause_s(now_s)
        self.is_store_away = error.fault in AWAY_FAULTS
        self._outage.note_failure(now_s)
        if not self._is_failing:
            self._is_failing = True
            _log.warning(
                "store_lost", topic=self._topic_name, detail=error.detail
            )
        if not self.has_fault(now_s):
            self._last_fault_s = now_s
            self.on_fault()
        self._last_fault_s = now_s
        return self._read_policy.retry_s

    def _listing_pause_s(self, now_s: float) -> float:
        """Returns the delay before a listing: none, unless one has just been.

        A store may refuse each reading that follows a listing.
        """
        retry_s = self._read_policy.retry_s
        return 0.0 if now_s - self._listed_s >= retry_s else retry_s


def _ignore_fault() -> None:
    """Default callback for the first of several failed calls."""


def _ignore_reading(_position: int) -> None:
    """Default callback for a successful call."""


def _ignore_recovery(_recovered_s: float) -> None:
    """Default callback for the end of an outage."""
