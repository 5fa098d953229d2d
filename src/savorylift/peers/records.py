"""Roster records on the `rules` stream, as JSON bodies."""

import enum
from typing import NamedTuple, TypeVar

import msgspec

from savorylift.identity import NodeInfo, NodeRef, new_id
from savorylift.log_service.log import LogEntry, LogRecord


class RosterKind(enum.StrEnum):
    """Record kinds of the roster."""

    JOIN = "roster.join"
    LEAVE = "roster.leave"
    GONE = "roster.gone"


class RosterJoin(NamedTuple):
    """A node starts to serve."""

    info: NodeInfo


class RosterLeave(NamedTuple):
    """A node begins a graceful shutdown, or has ended it.

    Attributes:
        ref: The leaving node, which writes the record.
        is_done: False when it begins, True when nothing is left to do.
    """

    ref: NodeRef
    is_done: bool


class RosterGone(NamedTuple):
    """A node's VM has vanished from the platform's list.

    Attributes:
        ref: The node that is gone.
        witness: The node that saw it vanish.
    """

    ref: NodeRef
    witness: NodeRef


RosterBody = RosterJoin | RosterLeave | RosterGone
Body = TypeVar("Body", RosterJoin, RosterLeave, RosterGone)

KINDS = {
    RosterJoin: RosterKind.JOIN,
    RosterLeave: RosterKind.LEAVE,
    RosterGone: RosterKind.GONE,
}


def new_entry(body: RosterBody) -> LogEntry:
    """Returns a record to append, with an identifier of its own."""
    text = msgspec.json.encode(body).decode()
    return LogEntry(new_id("roster"), KINDS[type(body)].value, text)


def read_body(record: LogRecord, body_type: type[Body]) -> Body | None:
    """Returns the record's body, or None if it is malformed."""
    try:
        return msgspec.json.decode(record.body, type=body_type)
    except (msgspec.DecodeError, UnicodeError):
        return None
