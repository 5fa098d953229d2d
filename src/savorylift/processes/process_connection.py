"""A connection without a request that shows which process of a server lives."""

import asyncio
import time
import weakref
from collections.abc import Callable

import structlog

from savorylift.backends.server import ServerEntry
from savorylift.exchange import metrics
from savorylift.wire.channel import Channel
from savorylift.wire.connecting import connect
from savorylift.wire.purpose import Purpose

CONNECT_TIMEOUT_S = 0.2
# For how long a connection is kept after its server was last asked about.
KEEP_S = 60.0
RETRY_S = 0.1
LOOK_INTERVAL_S = 0.25
# Longest time from the writing of an entry until this node has it.
DELIVERY_S = 1.0
# By then a process that has started has written its entry.
MAX_ENTRY_DELAY_S = 10.0
# Longest time that a message between nodes takes.
NEWS_DELAY_S = 0.5
# Longest time from the arrival of an input until it is read.
MAX_READ_DELAY_S = 1.0

_log = structlog.get_logger()


class ProcessConnection:
    """Keeps a connection to one server.

    Attributes:
        until_s: Monotonic time until which it is needed.
        opened_s: Monotonic time at which it was opened.
        has_tried: Set once it has tried to connect.
    """

    def __init__(
        self,
        entry: ServerEntry,
        find_entry: Callable[[str], ServerEntry | None],
        entries_read_s: Callable[[], float | None],
        on_end: Callable[[int], None],
        *,
        trusts_entry: bool,
    ) -> None:
        """Opens no connection yet.

        Args:
            entry: The entry of the server.
            find_entry: Returns the newest entry of a server by its ID.
            entries_read_s: Returns the monotonic time of the last reading of
                entries that this node has heard of; None before the first.
            on_end: Called with the start of a process that may have ended.
            trusts_entry: Whether the first connection counts as one to the
                process of the entry.
        """
        self._entry = entry
        self._find_entry = find_entry
        self._entries_read_s = entries_read_s
        self._on_end = on_end
        self._trusts_entry = trusts_entry
        self._idle: Channel | None = None
        # Entry that may have been written before the connection was opened.
        self._earlier: ServerEntry | None = None
        # Start of the process that accepted the connection, once it's known.
        self._started_ms: int | None = None
        # Whether an entry has shown it, which was only believed otherwise.
        self._is_shown = False
        # Connections that were open at the same time as the current one.
        self._matches: weakref.WeakSet[Channel] = weakref.WeakSet()
        # Age at which the last one ended, and at which the server closes idle
        # ones, if it does.
        self._last_age_s: float | None = None
        self._max_age_s: float | None = None
        self._task: asyncio.Task[None] | None = None
        self.until_s = time.monotonic() + KEEP_S
        self.opened_s = 0.0
        self.has_tried = asyncio.Event()

    def start(self) -> None:
        """Opens the connection soon."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    def stop(self) -> None:
        """Closes the connection."""
        # A task that is cancelled before its first step does nothing at all.
        self.has_tried.set()
        if self._task is not None:
            self._task.cancel()

    @property
    def is_done(self) -> bool:
        """Whether it keeps no connection any more."""
        return self._task is not None and self._task.done()

    @property
    def is_open(self) -> bool:
        """Whether there is a connection now."""
        return self._idle is not None and self._idle.is_known_open

    @property
    def live_start_ms(self) -> int | None:
        """Start of the process that is known to live; None if none is."""
        return self._started_ms if self.is_open else None

    def is_at(self, address: tuple[str, int]) -> bool:
        """Whether its connection leads to an address."""
        return self._entry.address == address

    @property
    def is_shown(self) -> bool:
        """Whether an entry has shown which process lives."""
        return self._is_shown

    def hear(self, started_ms: int, *, is_shown: bool) -> None:
        """Records that another node has had a connection to a process.

        Args:
            started_ms: Start of the process.
            is_shown: Whether an entry has shown that node which one it is.
        """
        age_s = time.monotonic() - self.opened_s
        if not self.is_open or self._is_shown or age_s < NEWS_DELAY_S:
            return
        if is_shown or self._started_ms is None:
            self._started_ms, self._is_shown = started_ms, is_shown
            self._record("told")

    def match(self, channel: Channel) -> None:
        """Notes that another connection leads to the same process, if so.

        A process that has accepted a connection can't have ended before. So
        two that are open at a moment lead to the same one.
        """
        if self.is_open and channel.is_known_open:
            self._matches.add(channel)

    def holds(self, channel: Channel, since_s: float) -> bool:
        """Whether another connection leads to the same process.

        Args:
            channel: The connection.
            since_s: Monotonic time at which it was open, as far as this node
                had read its input.
        """
        if not self.is_open:
            return False
        self.match(channel)
        return channel in self._matches or (
            self.opened_s <= since_s - MAX_READ_DELAY_S
        )

    def shows(self, started_ms: int) -> bool:
        """Whether the process that started then is known to live."""
        if not self.is_open:
            return False
        self._look()
        return self._started_ms == started_ms

    async def _run(self) -> None:
        try:
            while time.monotonic() < self.until_s:
                await self._open()
                self.has_tried.set()
                if self._idle is not None:
                    await self._wait_for_end()
                if self._last_age_s is None or self._last_age_s < RETRY_S:
                    await asyncio.sleep(RETRY_S)
        finally:
            self.has_tried.set()
            if self._idle is not None:
                self._idle.abort()

    async def _open(self) -> None:
        """Opens a connection; nothing is known of its process yet."""
        self._matches.clear()
        self._earlier = self._started_ms = None
        self._is_shown = False
        self._idle = await self._connect()
        self.opened_s = time.monotonic()
        if self._idle is not None and self._trusts_entry:
            self._started_ms = self._entry.started_ms
        self._trusts_entry = False
        if self._idle is not None and self._last_age_s is not None:
            self._max_age_s = self._last_age_s
        self._last_age_s = None

    async def _connect(self) -> Channel | None:
        try:
            return await connect(
                *self._entry.address, CONNECT_TIMEOUT_S, Purpose.IDLE
            )
        except OSError:
            return None

    async def _wait_for_end(self) -> None:
        """Looks at entries until the connection ends, or isn't needed."""
        began_s = time.monotonic()
        while self._idle is not None and time.monotonic() < self.until_s:
            idle = self._idle
            try:
                async with asyncio.timeout(LOOK_INTERVAL_S):
                    await idle.peer_closed.wait()
            except TimeoutError:
                self._look()
                age_s = time.monotonic() - began_s
                if self._max_age_s is not None and age_s > self._max_age_s / 2:
                    await self._replace(idle)
                    began_s = time.monotonic()
                continue
            self._idle = None
            self._last_age_s = time.monotonic() - began_s
            idle.abort()
            self._record("closed")
            if self._started_ms is not None:
                self._on_end(self._started_ms)

    async def _replace(self, idle: Channel) -> None:
        """Opens another connection to the same process before this one ends."""
        successor = await self._connect()
        if successor is None:
            return
        if idle.is_known_open:
            self._idle, successor = successor, idle
        successor.abort()

    def _look(self) -> None:
        """Finds out which process accepted the connection.

        Entries are written by their own process, soon after it has started.
        Those that this node gets late, as it was cut off, show nothing: hence
        the age of the connection as entries were last read.
        """
        newest = self._find_entry(self._entry.server_id)
        if newest is None or newest.address != self._entry.address:
            return
        read_s = self._entries_read_s()
        if read_s is None or self._is_shown:
            return
        age_s = read_s - self.opened_s
        if age_s < DELIVERY_S:
            return
        if self._earlier is None:
            self._earlier = newest
        if self._earlier.is_older_than(newest) or age_s >= MAX_ENTRY_DELAY_S:
            self._started_ms, self._is_shown = newest.started_ms, True
            self._record("shown")

    def _record(self, outcome: str) -> None:
        metrics.PROCESS_WITNESSES.labels(outcome).inc()
        _log.info(
            "process_witness",
            server=self._entry.server_id,
            start_ms=self._started_ms,
            age_s=round(time.monotonic() - self.opened_s, 3),
            outcome=outcome,
        )
