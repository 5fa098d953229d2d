"""Edits turn one text into another, and rules follow without a full parse."""

import itertools

from hypothesis import given
from hypothesis import strategies as st

from savorylift.rules.edits import apply_edits, are_applicable, make_edits
from savorylift.rules.line import Kind
from savorylift.rules.messages import LineEdit
from savorylift.rules.tables import build_tables, number_rule
from savorylift.rules.text import RulesText

LINES = st.lists(
    st.sampled_from(
        [
            "",
            "# note",
            "set a 1 # x",
            "set a 2 # x",
            "set b 1 # x",
            "model a version v1 # x",
            "set a",
            "team t weight 1 models a # x",
        ]
    ),
    max_size=8,
)


@given(LINES, LINES)
def test_edits_give_the_new_text(old: list[str], new: list[str]) -> None:
    edits = make_edits(old, new)
    assert (edits == ()) == (old == new)
    if edits:
        assert are_applicable(edits, len(old))
    assert apply_edits(old, edits) == new


@given(st.lists(LINES, min_size=2, max_size=5))
def test_edited_text_equals_a_text_read_anew(texts: list[list[str]]) -> None:
    text = RulesText(texts[0])
    before = [text.tables]
    snapshots = [repr(text.tables)]
    for old, new in itertools.pairwise(texts):
        if old != new:
            text.apply(make_edits(old, new))
        fresh = RulesText(new)
        assert text.lines == new
        assert repr(text.tables) == repr(fresh.tables)  # the order too
        again = RulesText(new, RulesText(texts[0]))
        assert repr(again.tables) == repr(fresh.tables)
        assert text.unread_lines() == fresh.unread_lines()
        before.append(text.tables)
        snapshots.append(repr(text.tables))
    assert [repr(tables) for tables in before] == snapshots


def test_text_keeps_what_it_can_read() -> None:
    lines = ["set a 1 # x", "future rule # x", "set a 2 # y", "# note"]
    text = RulesText(lines)
    assert text.unread_lines() == (2,)
    (rule,) = text.tables[Kind.SETTING].values()
    assert rule.source.line == 1
    assert build_tables([number_rule(rule, 1)]) == text.tables


def test_misfits() -> None:
    for edits in (
        (),
        (LineEdit(0, 4, ()),),
        (LineEdit(-1, 1, ()),),
        (LineEdit(1, -1, ("a",)),),
        (LineEdit(1, 1, ()), LineEdit(0, 1, ())),
        (LineEdit(0, 2, ()), LineEdit(1, 1, ())),
        (LineEdit(0, 0, ("a\nb",)),),
    ):
        assert not are_applicable(edits, 3)
