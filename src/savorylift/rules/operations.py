"""What operators do to the rules stream; each call blocks its thread.

An outcome says only what was read back from the log.
"""

import time
from collections.abc import Callable
from typing import NamedTuple, TypeAlias

from returns.result import Failure, Result, Success

from savorylift.identity import new_id
from savorylift.platform.append import (
    Appended,
    AppendRequest,
    AppendUnknown,
    NotAppended,
    append_and_read_back,
)
from savorylift.platform.log import RULES_STREAM, Log, LogEntry
from savorylift.rules.check import Fault, check_rules, split_lines
from savorylift.rules.edits import hash_lines, make_edits, render_diff
from savorylift.rules.fold import Decision, Verdict
from savorylift.rules.inbox import OrderAction
from savorylift.rules.log_state import LogState
from savorylift.rules.messages import (
    Edit,
    OrderBack,
    OrderOut,
    RecordKind,
    encode,
)
from savorylift.rules.view import OutOfService, RulesView

Pause: TypeAlias = Callable[[float], None]


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


def show(log: Log, deadline_s: float) -> Result[Shown, str]:
    """Returns the rules as the log has them, or why they can't be read."""
    state = LogState(log)
    cause = state.read_to_tail(deadline_s)
    if cause is not None:
        return Failure(cause)
    return Success(Shown(state.config.lines(), state.view()))


def diff(
    log: Log, text: str, deadline_s: float
) -> Result[tuple[str, ...], str]:
    """Returns what publishing `text` would change, as `render_diff` does."""
    return show(log, deadline_s).map(
        lambda shown: render_diff(shown.lines, split_lines(text))
    )


def publish(
    log: Log, req: PublishRequest, pause: Pause = time.sleep
) -> PublishOutcome:
    """Publishes a file unless another one was published since its base."""
    checked = check_rules(req.text, req.file_name)
    if not isinstance(checked, Success):
        return FileFaulty(checked.failure())
    state = LogState(log, watched_version=req.base)
    cause = state.read_to_tail(req.deadline_s)
    if cause is not None:
        return NotWritten(cause)
    if req.base not in (None, state.config.version):
        return _race_lost(state, req.base, state.config.watched_lines)
    lines = split_lines(req.text)
    if list(state.config.lines()) == lines:
        return NothingChanged(state.config.version)
    return _append_edit(state, req, lines, pause)


def find_publish(
    log: Log, record_id: str, deadline_s: float
) -> Result[Decision | None, str]:
    """Returns what became of an edit; None if the log has not got it yet."""
    state = LogState(log)
    cause = state.read_to_tail(deadline_s)
    if cause is not None:
        return Failure(cause)
    return Success(state.config.decision(record_id))


def order(
    log: Log, req: OrderRequest, pause: Pause = time.sleep
) -> OrderOutcome:
    """Appends an order and reads it back."""
    state = LogState(log)
    cause = state.read_to_tail(req.deadline_s)
    if cause is not None:
        return NotWritten(cause)
    domains = state.view().failure_domains
    is_out = req.action is OrderAction.OUT
    if is_out and req.is_domain and req.target not in domains:
        return UnknownTarget(req.target, tuple(sorted(domains)))
    known_offset = state.next_offset() - 1
    entry = LogEntry(new_id("order"), *_order_record(req, known_offset))
    outcome = append_and_read_back(
        log, _append_request(state, entry, req.deadline_s), pause
    )
    match outcome:
        case Appended(offset):
            return _order_outcome(state, req, entry.record_id, offset)
        case NotAppended(message):
            return NotWritten(message)
        case AppendUnknown(message):
            return Unknown(entry.record_id, message)


def _order_outcome(
    state: LogState, req: OrderRequest, record_id: str, offset: int
) -> OrderOutcome:
    if req.action is OrderAction.OUT:
        return OrderAccepted(offset)
    cause = state.read_to_tail(req.deadline_s)
    if state.next_offset() <= offset:
        return Unknown(record_id, cause or "not read back")
    if state.config.is_overruled(record_id):
        return BackOverruled(state.view().out_of_service.get(req.target))
    return OrderAccepted(offset)


def _order_record(req: OrderRequest, known_offset: int) -> tuple[str, str]:
    fields = (req.target, req.is_domain, req.author, req.cause)
    if req.action is OrderAction.OUT:
        return RecordKind.ORDER_OUT, encode(OrderOut(*fields))
    return RecordKind.ORDER_BACK, encode(OrderBack(*fields, known_offset))


def _append_request(
    state: LogState, entry: LogEntry, deadline_s: float
) -> AppendRequest:
    return AppendRequest(
        RULES_STREAM, (entry,), state.next_offset(), deadline_s
    )


def _append_edit(
    state: LogState, req: PublishRequest, lines: list[str], pause: Pause
) -> PublishOutcome:
    old_lines = state.config.lines()
    base = state.config.version
    edit = Edit(
        base, make_edits(old_lines, lines), hash_lines(lines), req.author
    )
    entry = LogEntry(new_id("edit"), RecordKind.EDIT, encode(edit))
    outcome = append_and_read_back(
        state.log, _append_request(state, entry, req.deadline_s), pause
    )
    if isinstance(outcome, NotAppended):
        return NotWritten(outcome.message)
    if isinstance(outcome, AppendUnknown):
        return Unknown(entry.record_id, outcome.message)
    cause = state.read_to_tail(req.deadline_s)
    decision = state.config.decision(entry.record_id)
    if decision is None:
        return Unknown(entry.record_id, cause or "not remembered")
    if decision.verdict is Verdict.ACCEPTED:
        return Published(decision.offset, render_diff(old_lines, lines))
    if decision.verdict is Verdict.STALE_BASE:
        return _race_lost(state, base, old_lines)
    return Rejected(decision.verdict)


def _race_lost(
    state: LogState, base: int | None, old_lines: tuple[str, ...] | None
) -> RaceLost:
    assert base is not None
    changed: tuple[str, ...] = ()
    if old_lines is not None:
        changed = render_diff(old_lines, state.config.lines())
    return RaceLost(base, state.config.accepted_after(base), changed)
