"""Splits an event stream into whole events and reads their numbers."""

from typing import NamedTuple

EVENT_END = b"\n\n"
ID_FIELD = b"id:"
DATA_FIELD = b"data:"
# Data of the event that ends a whole stream of completions.
END_MARK = b"[DONE]"


class Event(NamedTuple):
    """One whole event.

    Attributes:
        data: Its bytes, with the empty line that ends it.
        number: Its id as a number; None without one.
    """

    data: bytes
    number: int | None


class EventSplitter:
    """Collects bytes and gives back whole events."""

    def __init__(self) -> None:
        """Starts at the beginning of a stream."""
        self._rest = bytearray()

    def end(self) -> bytes:
        """Returns the bytes after the last whole event."""
        return bytes(self._rest)

    def feed(self, data: bytes) -> list[Event]:
        """Returns the events that `data` completes."""
        searched = max(len(self._rest) - 1, 0)
        self._rest += data
        events = []
        while (end := self._rest.find(EVENT_END, searched)) >= 0:
            whole = bytes(self._rest[: end + len(EVENT_END)])
            del self._rest[: len(whole)]
            events.append(Event(whole, _number(whole)))
            searched = 0
        return events


def data_of(event: bytes) -> bytes:
    """Returns the data of one event, without its other fields."""
    parts = [
        line.removeprefix(DATA_FIELD).strip()
        for line in event.splitlines()
        if line.startswith(DATA_FIELD)
    ]
    return b"\n".join(parts)


def _number(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            text = line.removeprefix(ID_FIELD).strip()
            return int(text) if text.isdigit() else None
    return None
