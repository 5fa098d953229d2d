"""What operators do to the rules stream; each call blocks its thread.

An outcome says only what was read back from the log.
"""

import time
from collections.abc import Callable
from typing import TypeAlias

from returns.result import Failure, Result, Success

from savorylift.identity import new_id
from savorylift.log_service.append import (
    Appended,
    AppendRequest,
    AppendUnknown,
    NotAppended,
    append_and_read_back,
)
from savorylift.log_service.log import RULES_STREAM, Log, LogEntry
from savorylift.rules.check import check_rules, split_lines
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
from savorylift.rules.outcomes import (
    BackOverruled,
    FileFaulty,
    NothingChanged,
    NotWritten,
    OrderAccepted,
    OrderOutcome,
    OrderRequest,
    Published,
    PublishOutcome,
    PublishRequest,
    RaceLost,
    Rejected,
    Shown,
    Unknown,
    UnknownTarget,
)

__all__ = [
    "BackOverruled",
    "FileFaulty",
    "NotWritten",
    "NothingChanged",
    "OrderAccepted",
    "OrderOutcome",
    "OrderRequest",
    "PublishOutcome",
    "PublishRequest",
    "Published",
    "RaceLost",
    "Rejected",
    "Shown",
    "Unknown",
    "UnknownTarget",
    "diff",
    "find_publish",
    "order",
    "publish",
    "show",
]

Pause: TypeAlias = Callable[[float], None]


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
    entry = _order_entry(req, known_offset)
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


def _order_entry(req: OrderRequest, known_offset: int) -> LogEntry:
    record_id = new_id("order")
    fields = (req.target, req.is_domain, req.author, req.cause)
    if req.action is OrderAction.OUT:
        body = encode(OrderOut(*fields))
        return LogEntry(record_id, RecordKind.ORDER_OUT, body)
    body = encode(OrderBack(*fields, known_offset))
    return LogEntry(record_id, RecordKind.ORDER_BACK, body)


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
    if decision.verdict is Verdict.STALE_BASE:
        return _race_lost(state, base, old_lines)
    return _judged(decision, render_diff(old_lines, lines))


def _judged(
    decision: Decision, changed: tuple[str, ...]
) -> Published | Rejected:
    if decision.verdict is Verdict.ACCEPTED:
        return Published(decision.offset, changed)
    return Rejected(decision.verdict)


def _race_lost(
    state: LogState, base: int | None, old_lines: tuple[str, ...] | None
) -> RaceLost:
    assert base is not None
    changed: tuple[str, ...] = ()
    if old_lines is not None:
        changed = render_diff(old_lines, state.config.lines())
    return RaceLost(base, state.config.accepted_after(base), changed)
