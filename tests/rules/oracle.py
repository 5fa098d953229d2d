"""What the rules stream means, from the list of all records ever appended.

Written from the rules' description, without the code under test.
"""

import hashlib
import json
from typing import NamedTuple

from savorylift.log_service.log import LogRecord


class Meaning(NamedTuple):
    """State after a prefix of the records."""

    version: int = -1
    lines: tuple[str, ...] = ()
    out: tuple[tuple[str, bool, int], ...] = ()
    winners: tuple[tuple[int, int], ...] = ()  # base and offset of each


def interpret(records: tuple[LogRecord, ...], count: int) -> Meaning:
    """Returns the state after the first `count` records."""
    seen: set[str] = set()
    cancelled: set[str] = set()
    state = Meaning()
    for record in records[:count]:
        if record.record_id in seen | cancelled:
            continue
        seen.add(record.record_id)
        state = _step(state, record, cancelled)
    return state


def _step(state: Meaning, record: LogRecord, cancelled: set[str]) -> Meaning:
    body = json.loads(record.body)
    if record.kind == "rules.edit":
        return _edit(state, record.offset, body)
    if record.kind == "rules.order_out":
        kept = [order for order in state.out if order[:2] != tuple(body[:2])]
        order = (body[0], body[1], record.offset)
        return state._replace(out=tuple(sorted([*kept, order])))
    if record.kind == "rules.order_back":
        cancelled.update(body[5])
        kept = [
            order
            for order in state.out
            if order[:2] != tuple(body[:2]) or order[2] > body[4]
        ]
        return state._replace(out=tuple(kept))
    return state


def _edit(state: Meaning, offset: int, body: list[object]) -> Meaning:
    base, edits, text_hash, _ = body
    if base != state.version:
        return state
    lines = list(state.lines)
    assert isinstance(edits, list)
    for start, removed, added in reversed(edits):
        lines[start : start + removed] = added
    if hashlib.sha256("\n".join(lines).encode()).hexdigest() != text_hash:
        return state
    winners = (*state.winners, (base, offset))
    return state._replace(version=offset, lines=tuple(lines), winners=winners)
