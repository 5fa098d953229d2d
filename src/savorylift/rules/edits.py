"""Line-based differences between two versions of the rules file."""

import difflib
from collections.abc import Sequence
from typing import NamedTuple


class LineEdit(NamedTuple):
    """A run of lines that is replaced by others.

    Attributes:
        start: Index of the first removed line.
        removed_count: Number of removed lines.
        added: Lines that replace them.
    """

    start: int
    removed_count: int
    added: tuple[str, ...]


def compute_edits(
    old: Sequence[str], new: Sequence[str]
) -> tuple[LineEdit, ...]:
    """Returns the edits that turn `old` into `new`."""
    prefix_length = _common_prefix_length(old, new)
    suffix_length = _common_prefix_length(
        old[prefix_length:][::-1], new[prefix_length:][::-1]
    )
    matcher = difflib.SequenceMatcher(
        None,
        old[prefix_length : len(old) - suffix_length],
        new[prefix_length : len(new) - suffix_length],
        False,
    )
    return tuple(
        LineEdit(
            prefix_length + old_start,
            old_end - old_start,
            tuple(new[prefix_length + new_start : prefix_length + new_end]),
        )
        for tag, old_start, old_end, new_start, new_end in matcher.get_opcodes()
        if tag != "equal"
    )


def render_diff(old: Sequence[str], new: Sequence[str]) -> tuple[str, ...]:
    """Returns the removed and added lines, for display.

    A removed line is `-NUMBER: text`, with its line number in `old`. An added
    line is `+NUMBER: text`, with its line number in `new`.
    """
    result: list[str] = []
    line_offset = 0
    for edit in compute_edits(old, new):
        removed = old[edit.start : edit.start + edit.removed_count]
        for number, line in enumerate(removed, start=edit.start + 1):
            result.append(f"-{number}: {line}")
        for number, line in enumerate(edit.added, edit.start + line_offset + 1):
            result.append(f"+{number}: {line}")
        line_offset += len(edit.added) - edit.removed_count
    return tuple(result)


def _common_prefix_length(old: Sequence[str], new: Sequence[str]) -> int:
    count = 0
    for left, right in zip(old, new, strict=False):
        if left != right:
            break
        count += 1
    return count
