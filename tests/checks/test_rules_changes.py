"""Tests of comparing two rules files."""

import pytest

from savorylift.checks.findings import ChangeKind
from savorylift.checks.rules_changes import compare_rules
from savorylift.rules.check import parse_rules_leniently

OLD = """\
model vine version v1 # noor: a
model oak version v1 # noor: b
team desk weight 4 models vine # ada: c
"""


@pytest.mark.parametrize(
    ("new", "expected"),
    [
        (OLD, []),
        # Neither another order nor another reason is a difference.
        ("\n".join(reversed(OLD.splitlines())), []),
        (OLD.replace("ada", "tariq").replace(" weight", "  weight"), []),
        (
            OLD + "service crew repeatable none # tariq: d\n",
            [(ChangeKind.ADDED, "service crew", 4, "tariq: d")],
        ),
        (
            OLD.replace("4 models vine # ada: c", "5 models vine # ada: more"),
            [(ChangeKind.CHANGED, "team desk", 3, "ada: more")],
        ),
        (
            OLD.replace("model oak version v1 # noor: b\n", "set a 1 # x\n"),
            [
                (ChangeKind.ADDED, "set a", 2, "x"),
                (ChangeKind.REMOVED, "model oak", 2, "noor: b"),
            ],
        ),
    ],
)
def test_changes_name_rule_line_and_who_asked(
    new: str, expected: list[tuple[ChangeKind, str, int, str]]
) -> None:
    old_rules, _ = parse_rules_leniently(OLD)
    new_rules, _ = parse_rules_leniently(new)
    assert [
        (change.kind, change.entry, change.location.line, change.asked_by)
        for change in compare_rules(old_rules, new_rules)
    ] == expected


def test_change_shows_both_rules() -> None:
    old_rules, _ = parse_rules_leniently(OLD)
    new_rules, _ = parse_rules_leniently(
        OLD.replace("oak version v1", "oak version v2")
    )
    (change,) = compare_rules(old_rules, new_rules)
    assert change.detail == "model oak version v1 -> model oak version v2"
