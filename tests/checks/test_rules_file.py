"""Tests of findings in rules files that are valid."""

import pytest
from returns.pipeline import is_successful

from savorylift.checks.findings import Finding, FindingKind
from savorylift.checks.rules_file import find_in_rules
from savorylift.rules.check import check_rules
from tests.rules.test_check import VALID_RULES

MAX_OPEN = 100
BASE = """\
failure_domain z in region r # noor: site
model vine version v1 # noor: flowering
service crew repeatable GET # tariq: shifts
backend_server e1 at 127.0.0.1:1 in z serves model vine cold 1 warm 8 kv 100 # a
backend_server c1 at 127.0.0.1:2 in z serves service crew cold 1 warm 8 # b
team desk weight 4 models vine in_flight 100 # noor: dawn
"""
ENGINE = "in z serves model vine cold 1 warm 8 kv"


def find(text: str) -> list[Finding]:
    checked = check_rules(text, "r")
    assert is_successful(checked), checked
    return find_in_rules(checked.unwrap(), MAX_OPEN)


@pytest.mark.parametrize("text", ["", "model vine version v1 # desk\n", BASE])
def test_sound_rules_have_no_findings(text: str) -> None:
    assert find(text) == []


@pytest.mark.parametrize(
    ("line", "kind", "message"),
    [
        (
            "model oak version v1",
            FindingKind.NEVER_MATCHES,
            "no backend_server of the file serves model 'oak'",
        ),
        (
            "service oak repeatable none",
            FindingKind.NEVER_MATCHES,
            "no backend_server of the file serves service 'oak'",
        ),
        (
            "team t weight 1 models vine,*",
            FindingKind.NO_EFFECT,
            "'*' allows all models, so that 'vine' adds none",
        ),
        (
            "team t weight 1 models vine in_flight 101",
            FindingKind.CONTRADICTION,
            "in_flight 101 is above the 100 requests that a node serves",
        ),
        (
            f"backend_server e2 at 127.0.0.1:1 {ENGINE} 100",
            FindingKind.CONTRADICTION,
            "127.0.0.1:1 is also the address of 'e1' on line 4",
        ),
        (
            f"backend_server e2 at 127.0.0.1:3 {ENGINE} 101",
            FindingKind.NO_EFFECT,
            "kv 101 counts as 100, the least of model 'vine' (line 4)",
        ),
        ("set a 1", FindingKind.NO_EFFECT, "this release doesn't read 'a'"),
    ],
)
def test_finding_names_line_and_who_asked(
    line: str, kind: FindingKind, message: str
) -> None:
    # The model has a team in any case.
    text = f"{BASE}{line} # ada: trial\nteam all weight 1 models * # x\n"
    (found,) = find(text)
    assert (found.kind, found.message) == (kind, message)
    assert (found.location.line, found.asked_by) == (7, "ada: trial")


def test_model_that_no_team_may_use_is_found() -> None:
    text = BASE.replace("models vine", "models oak") + (
        "model oak version v1 # x\n"
        "backend_server o at 127.0.0.1:3 in z serves model oak "
        "cold 1 warm 8 kv 100 # x\n"
    )
    (found,) = find(text)
    assert found.kind is FindingKind.NEVER_MATCHES
    assert found.message == "no team may use model 'vine'"
    assert found.location.line == 2


def test_engine_with_less_memory_than_requests_is_found() -> None:
    (found,) = find(BASE.replace("kv 100", "kv 7"))
    assert found.kind is FindingKind.CONTRADICTION
    assert found.location.line == 4


def test_findings_come_by_line() -> None:
    lines = [found.location.line for found in find(VALID_RULES)]
    assert lines == sorted(lines)
    assert lines
