"""Records of the refusal account and the messages that copy them."""

from typing import NamedTuple

import msgspec

from savorylift.identity import NodeRef
from savorylift.log_service.log import LogEntry
from savorylift.outcomes import Ending, Reason
from savorylift.refusals.ranges import Range

BATCH_KIND = "refusals.batch"
HOUR_KIND = "refusals.hour"
CHECKPOINT_KIND = "refusals.checkpoint"
HOURS_STREAM = "refusals-hours"


class Row(NamedTuple):
    """One refusal.

    Attributes:
        sequence: Number given by the node that refused, from 0.
        request_id: Identifier of the request.
        team: Team named by the caller, or an empty string.
        time_ms: Wall-clock time of the decision.
        ending: What the caller was told about the effect.
        reason: Stable code.
        message: Sentence for the caller.
        rule: Rule line that caused it, or None.
        asked_by: The line's comment, or None.
        rules_offset: Offset of the rules view that was judged against.
        backend_server: Backend server concerned, or an empty string.
    """

    sequence: int
    request_id: str
    team: str
    time_ms: int
    ending: Ending
    reason: Reason
    message: str
    rule: str | None
    asked_by: str | None
    rules_offset: int
    backend_server: str


class LineKey(NamedTuple):
    """What refusals are counted by.

    Attributes:
        start_ms: Start of the minute or hour.
        team: Team, or an empty string.
        ending: What the callers were told about the effect.
        reason: Stable code.
        rule: Rule line, or None.
        asked_by: The line's comment, or None.
    """

    start_ms: int
    team: str
    ending: Ending
    reason: Reason
    rule: str | None
    asked_by: str | None


class CountLine(NamedTuple):
    """Refusals of one minute of which only the number is kept.

    Attributes:
        key: What they have in common.
        sequences: Their sequence numbers.
    """

    key: LineKey
    sequences: tuple[Range, ...]


class Batch(NamedTuple):
    """Refusals of one node; also what is copied to its peers."""

    vm: str
    incarnation: str
    rows: tuple[Row, ...]
    lines: tuple[CountLine, ...] = ()

    @property
    def source(self) -> NodeRef:
        """The node that refused."""
        return NodeRef(self.vm, self.incarnation)


class HourPart(NamedTuple):
    """A part of one hour's counts.

    Attributes:
        hour_ms: Start of the hour.
        until_offset: All batches before this offset are counted.
        part: Number of the part, from 0.
        parts: Number of parts that make up the hour.
        counts: Numbers by line; the key's start is the hour's.
    """

    hour_ms: int
    until_offset: int
    part: int
    parts: int
    counts: tuple[tuple[LineKey, int], ...]


class SeenSequences(NamedTuple):
    """Sequence numbers of one node that are counted."""

    vm: str
    incarnation: str
    sequences: tuple[Range, ...]
    time_ms: int


class Checkpoint(NamedTuple):
    """Makes the hour parts up to an offset valid.

    Attributes:
        until_offset: All batches before this offset are counted.
        seen: Sequence numbers counted so far, by node.
        missed: Offsets of batches that were forgotten uncounted.
    """

    until_offset: int
    seen: tuple[SeenSequences, ...]
    missed: tuple[Range, ...]


class CopyAsk(NamedTuple):
    """Asks a peer to hold refusals until they are on the log."""

    batch: Batch


class CopyAnswer(NamedTuple):
    """Says that the peer holds them."""

    is_held: bool


class DropCopies(NamedTuple):
    """Tells a peer which refusals are on the log."""

    sequences: tuple[Range, ...]


def batch_entry(record_id: str, batch: Batch) -> LogEntry:
    """Returns the log record of a batch."""
    return LogEntry(record_id, BATCH_KIND, msgspec.json.encode(batch).decode())
