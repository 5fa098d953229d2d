"""Tests of the differences between two versions of the rules file."""

from hypothesis import given
from hypothesis import strategies as st

from savorylift.rules.edits import compute_edits, render_diff

LINES = st.lists(
    st.sampled_from(["", "# note", "set a 1 # x", "set a 2 # x", "set a"]),
    max_size=8,
)


@given(LINES, LINES)
def test_edits_turn_old_text_into_new(old: list[str], new: list[str]) -> None:
    edits = compute_edits(old, new)
    assert (edits == ()) == (old == new)
    result: list[str] = []
    end = 0
    for edit in edits:
        result += old[end : edit.start]
        result += edit.added
        end = edit.start + edit.removed_count
    assert [*result, *old[end:]] == new


def test_diff_numbers_lines_of_both_texts() -> None:
    old = ["a", "b", "c"]
    new = ["a", "x", "y", "c", "d"]
    assert render_diff(old, new) == ("-2: b", "+2: x", "+3: y", "+5: d")
