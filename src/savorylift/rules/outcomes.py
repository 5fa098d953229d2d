"""Requests of operators to the rules stream, and their outcomes."""

from typing import NamedTuple, TypeAlias

from savorylift.rules.check import Fault
from savorylift.rules.fold import Decision, Verdict
from savorylift.rules.inbox import OrderAction
from savorylift.rules.view import OutOfService, RulesView


class Shown(NamedTuple):
    """The rules as the log has them.

    Attributes:
        lines: The file's lines.
        view: The rules read from them, with the orders in force.
    """

    lines: tuple[str, ...]
    view: RulesView


class PublishRequest(NamedTuple):
    """A rules file to publish.

    Attributes:
        text: The file's text.
        file_name: Its name, for faults.
        author: Operator.
        deadline_s: `time.monotonic()` at which to give up.
        base: Version that the file was made from; None for the newest.
    """

    text: str
    file_name: str
    author: str
    deadline_s: float
    base: int | None = None


class Published(NamedTuple):
    """The file was accepted.

    Attributes:
        version: Its version, the log offset to wait for on the nodes.
        changed: Lines removed and added, as `edits.render_diff` gives them.
    """

    version: int
    changed: tuple[str, ...]


class NothingChanged(NamedTuple):
    """The file is what is in force; nothing was written."""

    version: int


class FileFaulty(NamedTuple):
    """The file has faults; nothing was written."""

    faults: tuple[Fault, ...]


class RaceLost(NamedTuple):
    """Others published after the version that the file was made from.

    Attributes:
        base: That version.
        winners: Edits accepted since, as far as they are remembered.
        changed: What they changed, as `edits.render_diff` gives it; empty if
            the log's newest snapshot is newer than the file's version.
    """

    base: int
    winners: tuple[Decision, ...]
    changed: tuple[str, ...]


class Rejected(NamedTuple):
    """The log has the edit, but its content does not fit its base."""

    verdict: Verdict


class NotWritten(NamedTuple):
    """The log has not taken the record and never will."""

    message: str


class Unknown(NamedTuple):
    """The log may have taken the record, now or later.

    Attributes:
        record_id: Identifier to ask about with `find_publish`.
        message: Cause.
    """

    record_id: str
    message: str


class UnknownTarget(NamedTuple):
    """The rules name no such failure domain; nothing was written."""

    target: str
    known: tuple[str, ...]


class OrderAccepted(NamedTuple):
    """The order was read back at `offset`."""

    offset: int


class BackOverruled(NamedTuple):
    """The target stays out: the log had a newer order out.

    Attributes:
        by: The order in force; None if it has ended since.
    """

    by: OutOfService | None


class OrderRequest(NamedTuple):
    """An order to take out of service or to bring back.

    Attributes:
        action: Out or back.
        target: Name of the failure domain or VM.
        is_domain: True for a failure domain.
        author: Operator.
        cause: Why, in the operator's words.
        deadline_s: `time.monotonic()` at which to give up.
    """

    action: OrderAction
    target: str
    is_domain: bool
    author: str
    cause: str
    deadline_s: float


PublishOutcome: TypeAlias = (
    Published
    | NothingChanged
    | FileFaulty
    | RaceLost
    | Rejected
    | NotWritten
    | Unknown
)
OrderOutcome: TypeAlias = (
    OrderAccepted | BackOverruled | UnknownTarget | NotWritten | Unknown
)
