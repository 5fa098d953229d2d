"""Differences between two versions of the rules file, by line."""

import difflib
from collections.abc import Sequence
from typing import NamedTuple


class LineEdit(NamedTuple):
    """Lines that replace others.

    Attributes:
        start: Index of the first line that goes.
        removed: How many go.
        added: Lines that come in their place.
    """

    start: int
    removed: int
    added: tuple[str, ...]


def make_edits(old: Sequence[str], new: Sequence[str]) -> tuple[LineEdit, ...]:
    """Returns the edits that turn `old` into `new`."""
    head = _common_prefix(old, new)
    tail = _common_prefix(old[head:][::-1], new[head:][::-1])
    matcher = difflib.SequenceMatcher(
        None, old[head : len(old) - tail], new[head : len(new) - tail], False
    )
    return tuple(
        LineEdit(
            head + old_start,
            old_end - old_start,
            tuple(new[head + new_start : head + new_end]),
        )
        for tag, old_start, old_end, new_start, new_end in matcher.get_opcodes()
        if tag != "equal"
    )


def render_diff(old: Sequence[str], new: Sequence[str]) -> tuple[str, ...]:
    """Returns removed lines as `-LINE: text` and added ones as `+LINE: ...`.

    Removed lines carry their number in `old`, added ones that in `new`.
    """
    result: list[str] = []
    shift = 0
    for edit in make_edits(old, new):
        removed = old[edit.start : edit.start + edit.removed]
        for number, line in enumerate(removed, start=edit.start + 1):
            result.append(f"-{number}: {line}")
        for number, line in enumerate(edit.added, edit.start + shift + 1):
            result.append(f"+{number}: {line}")
        shift += len(edit.added) - edit.removed
    return tuple(result)


def _common_prefix(old: Sequence[str], new: Sequence[str]) -> int:
    count = 0
    for left, right in zip(old, new, strict=False):
        if left != right:
            break
        count += 1
    return count
