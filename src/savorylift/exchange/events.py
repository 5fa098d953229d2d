"""Splits a stream of server-sent events into complete events."""

from typing import NamedTuple

from savorylift.wire.client_call import BrokenAnswerError

EVENT_DELIMITER = b"\n\n"
ID_FIELD = b"id:"
DATA_FIELD = b"data:"
# Data of the event that marks the end of a complete completions stream.
DONE_SENTINEL = b"[DONE]"
# An engine in trouble may send without end.
MAX_EVENT_BYTES = 262_144


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

    def __init__(self) -> None:
        """Creates a splitter for a new stream."""
        self._buffer = bytearray()

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

    def feed(self, data: bytes) -> list[Event]:
        """Returns the events that `data` completes.

        Raises:
            BrokenAnswerError: An event is too large.
        """
        search_from = max(len(self._buffer) - 1, 0)
        self._buffer += data
        events = []
        while (end := self._buffer.find(EVENT_DELIMITER, search_from)) >= 0:
            whole = bytes(self._buffer[: end + len(EVENT_DELIMITER)])
            del self._buffer[: len(whole)]
            events.append(Event(whole, _parse_event_id(whole)))
            search_from = 0
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise BrokenAnswerError("an event is too large")
        return events


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
            return int(text) if text.isdigit() else None
    return None
