"""The configuration as a fold of the rules stream.

An edit is accepted if its base is the accepted version at that point of the
stream and its result has the hash it names. Acceptance never depends on the
grammar, so that nodes of different releases accept the same versions.
"""

import enum
from collections import deque
from typing import NamedTuple

import msgspec

from savorylift.log_service.log import LogRecord
from savorylift.rules.edits import apply_edits, are_applicable, hash_lines
from savorylift.rules.messages import (
    Edit,
    OrderBack,
    OrderOut,
    RecordKind,
    decode,
)
from savorylift.rules.tables import view_of
from savorylift.rules.text import RulesText
from savorylift.rules.view import OutOfService, RulesView

CONFIG_FOLD = "config"  # name of the fold in snapshots
MAX_DECISIONS = 64
MAX_CANCELLED = 256
MAX_OVERRULED = 64


class Verdict(enum.StrEnum):
    """What became of an edit."""

    ACCEPTED = "accepted"
    STALE_BASE = "stale_base"
    MISFIT = "misfit"  # the edits don't fit the base text
    WRONG_HASH = "wrong_hash"


class Decision(NamedTuple):
    """What became of one edit.

    Attributes:
        offset: Log offset of the edit.
        record_id: Identifier of its record.
        author: Operator.
        base: Version the edit was made from.
        verdict: Accepted, or why not.
    """

    offset: int
    record_id: str
    author: str
    base: int
    verdict: Verdict


class _Dump(NamedTuple):
    version: int
    lines: tuple[str, ...]
    orders: tuple[OutOfService, ...]
    decisions: tuple[Decision, ...]
    cancelled: tuple[str, ...]
    overruled: tuple[str, ...]


class ConfigFold:
    """Implements `Fold` for edits and orders.

    Attributes:
        version: Offset of the accepted edit in force; -1 for none.
    """

    def __init__(self) -> None:
        """Starts with an empty file and no orders."""
        self.version = -1
        self._text = RulesText()
        self._orders: dict[tuple[bool, str], OutOfService] = {}
        self._decisions: deque[Decision] = deque(maxlen=MAX_DECISIONS)
        self._cancelled: deque[str] = deque(maxlen=MAX_CANCELLED)
        self._overruled: deque[str] = deque(maxlen=MAX_OVERRULED)

    def apply(self, record: LogRecord) -> None:
        """Applies one record; ignores other kinds and unreadable bodies."""
        if record.record_id in self._cancelled:
            return
        if record.kind == RecordKind.EDIT:
            edit = decode(record.body, Edit)
            edit.map(lambda edit: self._apply_edit(edit, record))
        elif record.kind == RecordKind.ORDER_OUT:
            out = decode(record.body, OrderOut)
            out.map(lambda order: self._apply_out(order, record.offset))
        elif record.kind == RecordKind.ORDER_BACK:
            back = decode(record.body, OrderBack)
            back.map(lambda order: self._apply_back(order, record.record_id))

    def lines(self) -> tuple[str, ...]:
        """Returns the lines of the version in force."""
        return tuple(self._text.lines)

    def unread_lines(self) -> tuple[int, ...]:
        """Returns the numbers of lines that this release can't read."""
        return self._text.unread_lines()

    def decision(self, record_id: str) -> Decision | None:
        """Returns what became of an edit; None if unknown or long ago."""
        for decision in self._decisions:
            if decision.record_id == record_id:
                return decision
        return None

    def is_cancelled(self, record_id: str) -> bool:
        """Returns True if an order back named this record."""
        return record_id in self._cancelled

    def is_overruled(self, record_id: str) -> bool:
        """Returns True if an order back came after an out it didn't know."""
        return record_id in self._overruled

    def accepted_after(self, version: int) -> tuple[Decision, ...]:
        """Returns remembered accepted edits that are newer than `version`."""
        return tuple(
            decision
            for decision in self._decisions
            if decision.verdict is Verdict.ACCEPTED
            and decision.offset > version
        )

    def view(self, offset: int) -> RulesView:
        """Returns what is in force, with `offset` as the newest folded in."""
        orders = {
            name: order for (_, name), order in sorted(self._orders.items())
        }
        return view_of(self._text.tables, self.version, offset, orders)

    def dump(self) -> str:
        """Returns the whole state as JSON text."""
        dump = _Dump(
            self.version,
            tuple(self._text.lines),
            tuple(order for _, order in sorted(self._orders.items())),
            tuple(self._decisions),
            tuple(self._cancelled),
            tuple(self._overruled),
        )
        return msgspec.json.encode(dump).decode()

    def load(self, text: str) -> None:
        """Replaces the state by one that `dump` returned."""
        dump = msgspec.json.decode(text, type=_Dump)
        self.version = dump.version
        self._text = RulesText(dump.lines, self._text)
        self._orders = {
            (order.is_domain, order.target): order for order in dump.orders
        }
        self._decisions = deque(dump.decisions, MAX_DECISIONS)
        self._cancelled = deque(dump.cancelled, MAX_CANCELLED)
        self._overruled = deque(dump.overruled, MAX_OVERRULED)

    def _apply_edit(self, edit: Edit, record: LogRecord) -> None:
        verdict = self._judge(edit)
        self._decisions.append(
            Decision(
                record.offset,
                record.record_id,
                edit.author,
                edit.base,
                verdict,
            )
        )
        if verdict is Verdict.ACCEPTED:
            self._text.apply(edit.edits)
            self.version = record.offset

    def _judge(self, edit: Edit) -> Verdict:
        if edit.base != self.version:
            return Verdict.STALE_BASE
        lines = self._text.lines
        if not are_applicable(edit.edits, len(lines)):
            return Verdict.MISFIT
        if hash_lines(apply_edits(lines, edit.edits)) != edit.text_hash:
            return Verdict.WRONG_HASH
        return Verdict.ACCEPTED

    def _apply_out(self, order: OrderOut, offset: int) -> None:
        asked_by = f"{order.author}: {order.cause}"
        self._orders[order.is_domain, order.target] = OutOfService(
            order.target, order.is_domain, asked_by, offset
        )

    def _apply_back(self, order: OrderBack, record_id: str) -> None:
        self._cancelled.extend(order.cancels)
        key = (order.is_domain, order.target)
        current = self._orders.get(key)
        if current is not None and current.offset > order.known_offset:
            self._overruled.append(record_id)
            return
        self._orders.pop(key, None)
