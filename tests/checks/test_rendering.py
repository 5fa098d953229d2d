"""Tests of how the report of a check is shown."""

import json
from typing import Any

import pytest

from savorylift.checks.findings import (
    Change,
    ChangeKind,
    CheckReport,
    Finding,
    FindingKind,
    Location,
)
from savorylift.checks.rendering import render_json, render_text

FAULT = Finding(FindingKind.UNREADABLE, Location(line=2, column=7), "no rule")
NO_EFFECT = Finding(
    FindingKind.NO_EFFECT, Location(path="$.a"), "changes nothing", "ada: trial"
)
ADDED = Change(
    ChangeKind.ADDED, "set a", Location(line=2), "set a 1", "ada: trial"
)
REMOVED = Change(ChangeKind.REMOVED, "route r", Location(path="$.routes[0]"))
# Characters that a terminal obeys, or that change what the reader sees, and
# what is shown instead.
UNSHOWN = [
    ("\x00", r"\x00"),
    ("\n", r"\n"),
    ("\r", r"\r"),
    ("\t", r"\t"),
    ("\x1b", r"\x1b"),
    ("\x7f", r"\x7f"),
    ("\x9b", r"\x9b"),
    ("\u200b", r"\u200b"),
    ("\u2028", r"\u2028"),
    ("\u202e", r"\u202e"),
    ("\U000e0041", r"\U000e0041"),
]


def report_with(text: str) -> CheckReport:
    """Returns a report that has a text wherever a file's own text may be."""
    location = Location(path=f"$.{text}")
    findings = tuple(
        Finding(kind, location, text, text)
        for kind in (FindingKind.UNREADABLE, FindingKind.NO_EFFECT)
    )
    change = Change(ChangeKind.ADDED, text, location, text, text)
    return CheckReport(findings, (change,))


@pytest.mark.parametrize(
    ("report", "faults", "lines"),
    [
        (CheckReport(()), (), ("f: no faults",)),
        (CheckReport((), ()), (), ("f: no faults", "no difference")),
        (CheckReport((FAULT,)), ("f:2:7: no rule",), ()),
        (
            CheckReport((NO_EFFECT, FAULT), (ADDED, REMOVED)),
            ("f:2:7: no rule",),
            (
                "f: $.a: no_effect: changes nothing (asked for by ada: trial)",
                "added set a (line 2, asked for by ada: trial): set a 1",
                "removed route r ($.routes[0])",
            ),
        ),
    ],
)
def test_text_tells_faults_from_the_rest(
    report: CheckReport, faults: tuple[str, ...], lines: tuple[str, ...]
) -> None:
    assert render_text("f", report) == (faults, lines)


@pytest.mark.parametrize(("char", "shown"), UNSHOWN)
def test_text_has_no_control_characters(char: str, shown: str) -> None:
    """Text of a file could move the cursor, and hide or forge a finding."""
    text = f"a{char}b"
    faults, lines = render_text(f"f{char}", report_with(text))
    for line in (*faults, *lines):
        assert char not in line
        assert f"a{shown}b" in line
    assert faults[0].startswith(f"f{shown}: ")


@pytest.mark.parametrize("text", ["vigne é", "模型", "🍇", r"a\x1bb", "a b"])
def test_other_characters_are_shown_as_they_are(text: str) -> None:
    (fault,), lines = render_text(text, report_with(text))
    assert fault == f"{text}: $.{text}: {text}"
    assert all(text in line for line in lines)


def test_bytes_that_are_not_utf8_are_shown_by_a_mark() -> None:
    (fault,), _ = render_text("f", report_with("a\udcffb"))
    assert (
        fault == "f: $.a\N{REPLACEMENT CHARACTER}b: a\N{REPLACEMENT CHARACTER}b"
    )


def test_json_has_the_members_that_the_format_has() -> None:
    report = CheckReport((NO_EFFECT, FAULT), (ADDED, REMOVED))
    data = json.loads(render_json("f", "rules", report, 2))
    assert data == {
        "file": "f",
        "format": "rules",
        "findings": [
            {
                "kind": "no_effect",
                "message": "changes nothing",
                "asked_by": "ada: trial",
                "path": "$.a",
            },
            {
                "kind": "unreadable",
                "message": "no rule",
                "asked_by": "",
                "line": 2,
                "column": 7,
            },
        ],
        "changes": [
            {
                "kind": "added",
                "entry": "set a",
                "detail": "set a 1",
                "asked_by": "ada: trial",
                "line": 2,
            },
            {
                "kind": "removed",
                "entry": "route r",
                "detail": "",
                "asked_by": "",
                "path": "$.routes[0]",
            },
        ],
        "exit_code": 2,
    }
    unchanged = json.loads(render_json("f", "rules", CheckReport(()), 0))
    assert unchanged["changes"] is None


@pytest.mark.parametrize("char", [char for char, _ in UNSHOWN])
def test_json_is_printable_and_keeps_control_characters(char: str) -> None:
    """Programs read the text as it stands in the file."""
    text = f"a{char}b"
    encoded = render_json(text, "record", report_with(text), 2).decode()
    assert char not in encoded
    data: dict[str, Any] = json.loads(encoded)
    assert data["file"] == text
    for finding in data["findings"]:
        assert finding["message"] == finding["asked_by"] == text
        assert finding["path"] == f"$.{text}"
    (change,) = data["changes"]
    assert change["entry"] == change["detail"] == change["asked_by"] == text
