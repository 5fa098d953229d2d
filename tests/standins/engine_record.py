"""What a simulated engine in a process of its own tells the test."""

import enum
from typing import NamedTuple

import msgspec


class RecordKind(enum.StrEnum):
    """What a record is about.

    Attributes:
        LISTENING: The engine listens; the value says nothing.
        ARRIVAL: A request came at this monotonic time.
        REPORT: It was asked for a report, for so many times by now.
        FIRST_EVENT: The first event of a stream was sent, with this number.
        CALL: A call came that was meant for this engine.
    """

    LISTENING = "listening"
    ARRIVAL = "arrival"
    REPORT = "report"
    FIRST_EVENT = "first event"
    CALL = "call"


class EngineCall(NamedTuple):
    """A call that reached an engine.

    Attributes:
        attempt_id: ID of the caller's attempt.
        born: When the engine's process started.
        is_leaving: Whether the answer says that it leaves.
        arrived_s: Monotonic time at which it came.
    """

    attempt_id: str
    born: int
    is_leaving: bool
    arrived_s: float


class EngineRecord(NamedTuple):
    """One line of an engine's standard output.

    Attributes:
        kind: What it is about.
        value: A time or number.
        call: The call, if it is about one.
    """

    kind: RecordKind
    value: float = 0.0
    call: EngineCall | None = None


def encode_record(record: EngineRecord) -> bytes:
    """Returns the line of a record."""
    return msgspec.json.encode(record) + b"\n"


def decode_record(line: bytes) -> EngineRecord:
    """Returns the record of a line."""
    return msgspec.json.decode(line, type=EngineRecord)
