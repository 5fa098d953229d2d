"""Actors that serve one claim shard: one decides, one appends, one reads."""

import threading
import time
from typing import NamedTuple

import pykka
import structlog
from returns.result import Failure, Result, Success

from savorylift.calls.claim_shard import ClaimShard, Done, Reply
from savorylift.calls.counters import CLAIM_APPENDS, CLAIM_RECORDS, CLAIMS
from savorylift.calls.key import KeyWindow
from savorylift.calls.messages import ClaimAnswer, ClaimAsk, stream_of
from savorylift.calls.shard_start import find_start
from savorylift.log_service.log import Log, LogEntry, LogFault, LogPage

READ_WAIT_S = 0.5
READ_RETRY_S = 0.2

_log = structlog.get_logger()


class Submit(NamedTuple):
    """A claim to append and judge."""

    ask: ClaimAsk
    reply: Reply


class Conclude(NamedTuple):
    """A void or an outcome to append."""

    entry: LogEntry
    done: Done


class Started(NamedTuple):
    """The reader found where the key window begins."""

    offset: int


class PageRead(NamedTuple):
    """A page, and when it was asked for."""

    page: LogPage
    asked_s: float


class ReadFailed(NamedTuple):
    """A read of the stream failed."""


class GroupAppended(NamedTuple):
    """How the append of the last group ended."""

    result: Result[int, LogFault]


class AppenderReady(NamedTuple):
    """The next group may be appended now."""


class Group(NamedTuple):
    """Records to append together."""

    entries: tuple[LogEntry, ...]


class ShardActor(pykka.ThreadingActor):
    """Owns the state of one shard."""

    use_daemon_thread = True

    def __init__(
        self, log: Log, shard: int, window: KeyWindow, group_interval_s: float
    ) -> None:
        """Serves `shard`; told pages by a `ShardReader`."""
        super().__init__()
        self._log = log
        self._stream = stream_of(shard)
        self._group_interval_s = group_interval_s
        self._state = ClaimShard(window)
        self._appender: pykka.ActorRef[AppendActor] | None = None
        self._may_append = True

    def on_start(self) -> None:
        """Starts the appending actor."""
        self._appender = AppendActor.start(
            self._log, self._stream, self._group_interval_s, self.actor_ref
        )

    def on_stop(self) -> None:
        """Stops the appending actor and hands conclusions back."""
        self._state.abandon()
        if self._appender is not None:
            self._appender.stop(block=False)

    def on_receive(self, message: object) -> None:
        """Takes one message and starts an append if one is due."""
        if isinstance(message, Submit):
            self._state.submit(message.ask, _counted(message.reply))
        elif isinstance(message, Conclude):
            self._state.conclude(message.entry, message.done)
        elif isinstance(message, PageRead):
            self._state.note_page(message.page, message.asked_s)
        elif isinstance(message, ReadFailed):
            self._state.note_read_fault()
        elif isinstance(message, GroupAppended):
            self._state.note_appended(message.result)
        elif isinstance(message, AppenderReady):
            self._may_append = True
        elif isinstance(message, Started):
            self._state.start_at(message.offset)
        self._append_due()

    def _append_due(self) -> None:
        """Hands over a group as late as possible, so that it grows."""
        if not self._may_append or self._appender is None:
            return
        group = self._state.take_group()
        if group:
            self._may_append = False
            self._appender.tell(Group(group))


class AppendActor(pykka.ThreadingActor):
    """Appends groups, one at a time and not too often."""

    use_daemon_thread = True

    def __init__(
        self,
        log: Log,
        stream: str,
        interval_s: float,
        owner: "pykka.ActorRef[ShardActor]",
    ) -> None:
        """Tells `owner` how each append ended."""
        super().__init__()
        self._log = log
        self._stream = stream
        self._interval_s = interval_s
        self._owner = owner
        self._pause = threading.Event()

    def on_receive(self, message: object) -> None:
        """Appends one group."""
        assert isinstance(message, Group)
        started_s = time.monotonic()
        result = self._log.append(self._stream, message.entries)
        self._tell(GroupAppended(result))
        CLAIM_RECORDS.inc(len(message.entries))
        CLAIM_APPENDS.labels(_label(result)).inc()
        if isinstance(result, Failure):
            cause = result.failure().message
            _log.info("claims_append_failed", stream=self._stream, cause=cause)
        self._pause.wait(started_s + self._interval_s - time.monotonic())
        self._tell(AppenderReady())

    def _tell(self, message: GroupAppended | AppenderReady) -> None:
        if self._owner.is_alive():
            self._owner.tell(message)


class ShardReader(threading.Thread):
    """Reads one claim stream and tells its pages to the shard's actor."""

    def __init__(
        self,
        log: Log,
        shard: int,
        window: KeyWindow,
        owner: "pykka.ActorRef[ShardActor]",
    ) -> None:
        """Reads from the start of the key window once started."""
        super().__init__(name=f"claims-{shard}", daemon=True)
        self._log = log
        self._stream = stream_of(shard)
        self._window = window
        self._owner = owner
        self._stop_event = threading.Event()

    def run(self) -> None:
        """Reads until stopped."""
        offset, wait_s = self._start_offset(), 0.0
        while not self._stop_event.is_set():
            offset = self._read_once(offset, wait_s)
            wait_s = READ_WAIT_S

    def stop(self) -> None:
        """Ends the thread after its current read."""
        self._stop_event.set()

    def _start_offset(self) -> int:
        while not self._stop_event.is_set():
            found = find_start(self._log, self._stream, self._window)
            if isinstance(found, Success):
                offset: int = found.unwrap()
                self._tell(Started(offset))
                return offset
            self._note_fault(found.failure())
        return 0

    def _read_once(self, offset: int, wait_s: float) -> int:
        asked_s = time.monotonic()
        read = self._log.read(self._stream, offset, wait_s)
        if isinstance(read, Failure):
            self._note_fault(read.failure())
            return offset
        page: LogPage = read.unwrap()
        self._tell(PageRead(page, asked_s))
        if page.records:
            return page.records[-1].offset + 1
        return max(offset, page.first_offset)

    def _note_fault(self, fault: LogFault) -> None:
        _log.info(
            "claims_read_failed", stream=self._stream, cause=fault.message
        )
        self._tell(ReadFailed())
        self._stop_event.wait(READ_RETRY_S)

    def _tell(self, message: Started | PageRead | ReadFailed) -> None:
        if self._owner.is_alive():
            self._owner.tell(message)


def _counted(reply: Reply) -> Reply:
    def count_and_reply(answer: ClaimAnswer) -> None:
        CLAIMS.labels(answer.state.value).inc()
        reply(answer)

    return count_and_reply


def _label(result: Result[int, LogFault]) -> str:
    if isinstance(result, Success):
        return "applied"
    return "unsure" if result.failure().may_have_applied else "refused"
