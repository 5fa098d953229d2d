"""Follows the store's topics while it is this node's turn to read."""

import asyncio
import time
from collections.abc import Callable

import structlog
from returns.pipeline import is_successful
from returns.result import Result

from savorylift.fleet.knowledge import Knowledge
from savorylift.fleet.state import Change, Delta, Topic
from savorylift.platform.store import (
    Batch,
    Fault,
    StoreClient,
    StoreError,
)

# A silent connection to the store is noticed after this and the time-out.
POLL_S = 1.0
# Servers write a few times a second together; each answered poll is paid.
PACE_S = 0.2
RETRY_S = 0.5
# A node without a configuration can serve nobody.
STARTING_RETRY_S = 0.1
SPARE_RETRY_S = 2.0
# Longer silence of the store than this lets entries in it lapse.
AWAY_S = 1.0
FAULT_SHOWN_S = 10.0
# Other nodes' readings that are older are no longer relied on, a few of the
# intervals at which they tell of them aside.
STALE_S = 1.1
STALE_INTERVALS = 2

_log = structlog.get_logger()


class Turn:
    """Whether this node should read the store now."""

    def __init__(
        self,
        is_reader: Callable[[], bool],
        others_age_s: Callable[[], float | None],
        is_starting: Callable[[], bool],
        interval_s: Callable[[], float],
    ) -> None:
        """Asks the fleet.

        Args:
            is_reader: Whether this node is one of the readers.
            others_age_s: Age of the newest reading of another node.
            is_starting: Whether this node knows no configuration yet.
            interval_s: Interval of the nodes' messages.
        """
        self._is_reader = is_reader
        self._others_age_s = others_age_s
        self._is_starting = is_starting
        self._interval_s = interval_s

    @property
    def retry_s(self) -> float:
        """How long to wait after a call that failed."""
        if self._is_starting():
            return STARTING_RETRY_S
        return RETRY_S if self._is_reader() else SPARE_RETRY_S

    def should_read(self) -> bool:
        """Whether to read: as a reader, or since the others' news is old."""
        return self._is_reader() or self.is_stale(None)

    def is_stale(self, own_age_s: float | None) -> bool:
        """Whether neither this node nor another has a fresh reading.

        Args:
            own_age_s: Age of this node's own reading; None to look at the
                others alone.
        """
        ages = [a for a in (own_age_s, self._others_age_s()) if a is not None]
        stale_s = STALE_S + STALE_INTERVALS * self._interval_s()
        return min(ages, default=stale_s + 1) > stale_s


class Follower:
    """Reads one topic of the store into what is known."""

    def __init__(
        self,
        store: StoreClient,
        topic: str,
        about: Topic,
        knowledge: Knowledge,
        turn: Turn,
        changed: Callable[[Delta | None], None],
    ) -> None:
        """Reads a topic of the store when it is this node's turn.

        Args:
            store: The store.
            topic: Its topic.
            about: What the topic is about.
            knowledge: What is learned goes there.
            turn: Whose turn it is.
            changed: Called after each change, with what other nodes need to
                follow it; None after a whole list.
        """
        self._store = store
        self._topic = topic
        self._about = about
        self._knowledge = knowledge
        self._turn = turn
        self._changed = changed
        self._offset: int | None = None
        self._read_s: float | None = None
        self._fault_s: float | None = None
        self._failing_since_s: float | None = None
        self.returned: Callable[[float], None] = _ignore

    @property
    def read_s(self) -> float | None:
        """Steady time of the last answer."""
        return self._read_s

    def has_fault(self, now_s: float) -> bool:
        """Whether the store failed this node lately."""
        if self._fault_s is None:
            return False
        return now_s - self._fault_s < FAULT_SHOWN_S

    def skip_to(self, offset: int) -> None:
        """Goes on at `offset`: what lies before came from another node."""
        if self._offset is None or offset > self._offset:
            self._offset = offset

    async def run(self) -> None:
        """Reads for ever, whenever it is this node's turn."""
        while True:
            if not self._turn.should_read():
                await asyncio.sleep(PACE_S)
                continue
            wait_s = await self._read()
            await asyncio.sleep(wait_s)

    async def _read(self) -> float:
        """Makes one call; returns the pause before the next."""
        is_list = self._offset is None
        answer = await self._call()
        if not is_successful(answer):
            return self._fail(answer.failure())
        self._succeed()
        batch = answer.unwrap()
        if self._offset is not None and batch.next_offset < self._offset:
            return PACE_S
        self._offset = batch.next_offset
        changes = tuple(Change(*record) for record in batch.records)
        if is_list:
            self._list(changes, batch.next_offset)
        else:
            self._apply(changes, batch.next_offset)
        return PACE_S if batch.records else 0.0

    def _list(self, changes: tuple[Change, ...], offset: int) -> None:
        if self._about is Topic.SERVERS:
            self._knowledge.list_servers(changes, offset)
        else:
            self._knowledge.list_operators(changes, offset)
        self._changed(None)

    def _apply(self, changes: tuple[Change, ...], offset: int) -> None:
        before = self._knowledge.version(self._about)
        if self._about is Topic.SERVERS:
            is_changed = self._knowledge.apply_servers(changes, offset)
        else:
            is_changed = self._knowledge.apply_operators(changes, offset)
        if is_changed:
            after = self._knowledge.version(self._about)
            self._changed(Delta(self._about, before, after, changes))

    async def _call(self) -> Result[Batch, StoreError]:
        if self._offset is None:
            return await self._store.list_newest(self._topic)
        return await self._store.read(self._topic, self._offset, POLL_S)

    def _succeed(self) -> None:
        now_s = time.monotonic()
        since_s = self._failing_since_s
        if since_s is not None:
            _log.info("store_regained", topic=self._topic)
            if now_s - since_s > AWAY_S:
                self.returned(now_s)
        self._failing_since_s = None
        self._read_s = now_s

    def _fail(self, error: StoreError) -> float:
        now_s = time.monotonic()
        if error.fault is Fault.TRIMMED:
            _log.warning("store_trimmed", topic=self._topic)
            self._offset = None
            return 0.0
        if self._failing_since_s is None:
            self._failing_since_s = self._read_s or now_s
            _log.warning("store_lost", topic=self._topic, detail=error.detail)
        self._fault_s = now_s
        return self._turn.retry_s


def _ignore(_returned_s: float) -> None:
    """Stands for a listener that is not there."""
