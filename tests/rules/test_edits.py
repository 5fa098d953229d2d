"""Differences between versions turn one text into the other."""

from hypothesis import given
from hypothesis import strategies as st

from savorylift.rules.edits import make_edits, render_diff

LINES = st.lists(
    st.sampled_from(["", "# note", "set a 1 # x", "set a 2 # x", "set a"]),
    max_size=8,
)


@given(LINES, LINES)
def test_edits_give_the_new_text(old: list[str], new: list[str]) -> None:
    edits = make_edits(old, new)
    assert (edits == ()) == (old == new)
    result: list[str] = []
    end = 0
    for edit in edits:
        result += old[end : edit.start]
        result += edit.added
        end = edit.start + edit.removed
    assert [*result, *old[end:]] == new


def test_diff_numbers_lines_of_both_texts() -> None:
    old = ["a", "b", "c"]
    new = ["a", "x", "y", "c", "d"]
    assert render_diff(old, new) == ("-2: b", "+2: x", "+3: y", "+5: d")
