"""Records of the rules stream and messages between nodes about them.

A record's body is the JSON array of its message's fields. A change of a
message's shape needs a new record kind, since nodes of both releases read
the stream during an upgrade.
"""

import enum
from typing import NamedTuple, TypeVar

import msgspec
from returns.result import Failure, Result, Success

from savorylift.log_service.log import LogRecord

M = TypeVar("M")


class RecordKind(enum.StrEnum):
    """Kinds of records that this slice writes."""

    EDIT = "rules.edit"
    ORDER_OUT = "rules.order_out"
    ORDER_BACK = "rules.order_back"
    SNAPSHOT = "rules.snapshot"


class LineEdit(NamedTuple):
    """Replaces a run of lines.

    Attributes:
        start: Index of the first replaced line in the base text, from 0.
        removed: Number of lines replaced.
        added: Lines that take their place.
    """

    start: int
    removed: int
    added: tuple[str, ...]


class Edit(NamedTuple):
    """A publish of the rules file.

    Attributes:
        base: Version it was made from; -1 for the empty file.
        edits: In ascending order of `start`, without overlap.
        text_hash: `hash_lines` of the resulting lines.
        author: Operator.
    """

    base: int
    edits: tuple[LineEdit, ...]
    text_hash: str
    author: str


class OrderOut(NamedTuple):
    """Keeps new work away from a failure domain or VM.

    Attributes:
        target: Name of the failure domain or VM.
        is_domain: True for a failure domain.
        author: Operator.
        cause: Why, in the operator's words.
    """

    target: str
    is_domain: bool
    author: str
    cause: str


class OrderBack(NamedTuple):
    """Ends an earlier order.

    Attributes:
        target: Name of the failure domain or VM.
        is_domain: True for a failure domain.
        author: Operator.
        cause: Why, in the operator's words.
        known_offset: Newest log offset that the writer knew; an order out
            that is newer stays in force.
        cancels: Record identifiers of orders that the writer knew of and
            that were not on the log yet; they count as seen.
    """

    target: str
    is_domain: bool
    author: str
    cause: str
    known_offset: int
    cancels: tuple[str, ...] = ()


class SnapshotPart(NamedTuple):
    """One of a snapshot's records, which are appended together.

    Attributes:
        snapshot_id: Same for all parts.
        offset: Newest offset whose record is folded in.
        part: Index of this part, from 0.
        parts: Number of parts.
        data: This part's share of the text of `snapshot.encode_state`.
    """

    snapshot_id: str
    offset: int
    part: int
    parts: int
    data: str


class PendingOrder(NamedTuple):
    """An order that may not be on the log yet.

    Attributes:
        record_id: Identifier of its record, the same on every node.
        kind: `RecordKind.ORDER_OUT` or `RecordKind.ORDER_BACK`.
        body: Body of its record.
        receiver: VM of the node that the operator gave it to.
    """

    record_id: str
    kind: str
    body: str
    receiver: str


class OrderGossip(NamedTuple):
    """Tells another node of orders that may not be on the log yet."""

    orders: tuple[PendingOrder, ...]


class RecordsAsk(NamedTuple):
    """Asks another node for records that it has folded in.

    Attributes:
        offset: First offset wanted.
    """

    offset: int


class RecordsAnswer(NamedTuple):
    """Answers `RecordsAsk`.

    Attributes:
        next_offset: Offset after the newest record the node has folded in.
        records: Records from the asked offset on; empty if it keeps none
            that old or has none that new.
        proof_age_s: Seconds since the node sent the question whose answer
            showed that the log's tail was `next_offset`; negative if no
            answer has shown it.
        orders: Orders that may not be on the log yet.
    """

    next_offset: int
    records: tuple[LogRecord, ...]
    proof_age_s: float
    orders: tuple[PendingOrder, ...] = ()


class StateAsk(NamedTuple):
    """Asks another node for its whole state."""

    above_offset: int


class StateAnswer(NamedTuple):
    """Answers `StateAsk`.

    Attributes:
        offset: Newest offset folded in.
        data: Text of `snapshot.encode_state`; empty if `offset` is not
            above the asked one.
        proof_age_s: As in `RecordsAnswer`.
        orders: As in `RecordsAnswer`.
    """

    offset: int
    data: str
    proof_age_s: float
    orders: tuple[PendingOrder, ...] = ()


def encode(message: object) -> str:
    """Returns the record body of `message`."""
    return msgspec.json.encode(message).decode()


def decode(body: str, message_type: type[M]) -> Result[M, str]:
    """Returns the message of a record body, or why it can't be read."""
    try:
        return Success(msgspec.json.decode(body, type=message_type))
    except (msgspec.DecodeError, UnicodeError) as exc:
        return Failure(str(exc))
