"""Splits a stream of server-sent events into complete events."""

import re
from collections.abc import Iterator
from typing import NamedTuple

from savorylift.wire.buffer_budget import (
    RESPONSE_BUFFERS,
    BufferBudget,
    BufferLease,
)
from savorylift.wire.client_call import BrokenAnswerError

EVENT_DELIMITER = b"\n\n"
ID_FIELD = b"id:"
DATA_FIELD = b"data:"
# Data of the event that marks the end of a complete completions stream.
DONE_SENTINEL = b"[DONE]"
# A field of an event, or a comment.
EVENT_LINE = re.compile(rb"[A-Za-z-]*:|\r?$")
COMMENT_LINE = b":"
# Lines without any field of an event: empty ones, and comments before them.
COMMENTS = re.compile(rb"(?:(?::[^\n]*+\n)*+\r?\n)++")
# An engine in trouble may send without end, an event or comments.
MAX_EVENT_BYTES = 262_144
# What a stream may hold of an unfinished event without taking any of the memory
# that all responses share: with it, a connection has what is counted for it.
FREE_EVENT_BYTES = 4096
# No stream has as many events.
MAX_NUMBER_DIGITS = 18


class Event(NamedTuple):
    """One complete event.

    Attributes:
        data: Raw bytes, including the empty line that ends the event.
        number: Numeric event ID; None if the event has none.
    """

    data: bytes
    number: int | None

    @property
    def is_comment(self) -> bool:
        """Whether it has neither an ID nor data."""
        return self.number is None and not event_data(self.data)


class EventSplitter:
    """Buffers received bytes and returns complete events."""

    def __init__(self, budget: BufferBudget | None = None) -> None:
        """Creates a splitter for a new stream.

        Args:
            budget: Counts what the splitter holds above `FREE_EVENT_BYTES`
                until `close`; None if nothing does.
        """
        self._lease = None if budget is None else BufferLease(budget)
        self._buffer = bytearray()
        self._comment_bytes = 0

    @property
    def unfinished(self) -> bytes:
        """The buffered bytes after the last complete event."""
        return bytes(self._buffer)

    def end(self) -> None:
        """Checks that the stream did not end within an event.

        Raises:
            BrokenAnswerError: It did.
        """
        if self._buffer.strip():
            raise BrokenAnswerError("the stream ended within an event")

    def close(self) -> None:
        """Drops what it holds, and frees its memory."""
        self._buffer.clear()
        if self._lease is not None:
            self._lease.resize(0)

    def feed(self, data: bytes) -> list[Event]:
        """Returns the events that `data` completes.

        Comments that follow each other are returned as one event.

        Raises:
            BrokenAnswerError: An event, or what comes before it, is too large,
                or the unfinished events of all streams are.
        """
        search_from = max(len(self._buffer) - 1, 0)
        self._buffer += data
        events = []
        while (end := self._buffer.find(EVENT_DELIMITER, search_from)) >= 0:
            comments_end = self._find_comments_end()
            end = max(end, comments_end)
            whole = bytes(self._buffer[: end + len(EVENT_DELIMITER)])
            del self._buffer[: len(whole)]
            self._count(whole, is_comment=comments_end >= 0)
            events.append(Event(whole, _parse_event_id(whole)))
            search_from = 0
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise BrokenAnswerError("an event is too large")
        self._count_unfinished()
        return events

    def _count_unfinished(self) -> None:
        """Takes or frees the memory of the unfinished event.

        Raises:
            BrokenAnswerError: There isn't as much.
        """
        size = max(len(self._buffer) - FREE_EVENT_BYTES, 0)
        if self._lease is not None and not self._lease.resize(size):
            raise BrokenAnswerError("too much of responses is buffered")

    def _find_comments_end(self) -> int:
        """Returns where the last comment ends, if the buffer begins with one.

        -1 if it doesn't.
        """
        comments = COMMENTS.match(self._buffer)
        if comments is None:
            return -1
        return self._buffer.rfind(EVENT_DELIMITER, 0, comments.end())

    def _count(self, whole: bytes, *, is_comment: bool) -> None:
        self._comment_bytes += len(whole)
        if not is_comment:
            self._comment_bytes = 0
        if self._comment_bytes > MAX_EVENT_BYTES:
            raise BrokenAnswerError("comments take the place of events")


class NumberedEventReader:
    """Reads a stream whose events are numbered, and nothing else.

    A server in trouble may write an error into the body of a stream.
    """

    def __init__(self, resume_after: str | None) -> None:
        """Creates a reader for a new response.

        Args:
            resume_after: ID of the event after which the stream resumes; None
                if it begins.
        """
        self._splitter = EventSplitter(RESPONSE_BUFFERS)
        self._is_numbered = resume_after is not None

    def feed(self, data: bytes) -> Iterator[Event]:
        """Yields the events that `data` completes.

        Raises:
            BrokenAnswerError: An event is too large, is none at all, or has no
                number although those before it have one.
        """
        for event in self._splitter.feed(data):
            self._check(event)
            yield event

    def end(self) -> None:
        """Checks that the stream did not end within an event.

        Raises:
            BrokenAnswerError: It did.
        """
        self._splitter.end()

    def close(self) -> None:
        """Drops what it holds of an unfinished event."""
        self._splitter.close()

    def _check(self, event: Event) -> None:
        lines = event.data.rstrip(b"\r\n").split(b"\n")
        if not all(map(EVENT_LINE.match, lines)):
            raise BrokenAnswerError("the stream has bytes that are no event")
        if event.number is not None:
            self._is_numbered = True
            return
        is_comment = all(
            not line or line.startswith(COMMENT_LINE) for line in lines
        )
        if self._is_numbered and not is_comment:
            raise BrokenAnswerError("an event has no number")


def event_data(event: bytes) -> bytes:
    """Returns the `data` fields of an event, joined by newlines."""
    parts = [
        line.removeprefix(DATA_FIELD).strip()
        for line in event.splitlines()
        if line.startswith(DATA_FIELD)
    ]
    return b"\n".join(parts)


def _parse_event_id(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            text = line.removeprefix(ID_FIELD).strip()
            is_number = text.isdigit() and len(text) <= MAX_NUMBER_DIGITS
            return int(text) if is_number else None
    return None
