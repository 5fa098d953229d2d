"""Tests of parsing a rules file and reporting all of its faults."""

import pytest
from returns.result import Failure, Success

from savorylift.rules.check import check_rules, parse_rules_leniently
from savorylift.rules.rule_types import RuleSet

VALID_RULES = """\
# Rota desk
failure_domain anjara in region jo-north # noor: first site

model vine version v1 # noor: flowering rota
service crew-app repeatable GET,HEAD # tariq: shifts
service ledger repeatable none # ada: postings
backend_server runner-1 at 127.0.0.1:9001 in anjara serves model vine \
cold 2 warm 16 kv 40000 checks fencing # noor: first runner
backend_server crew-1 at 127.0.0.1:9002 in anjara serves service crew-app \
cold 1 warm 8 # tariq: first crew server
team weight weight 4 models vine,* in_flight 64 # noor: growers # and crews
team small weight 1 models vine # noor: trial
set stale_after_s 2.5 # noor: dawn
"""


def _read_valid(text: str) -> RuleSet:
    result = check_rules(text, "r")
    assert isinstance(result, Success), result
    rule_set: RuleSet = result.unwrap()
    return rule_set


def _find_faults(text: str) -> list[str]:
    result = check_rules(text, "r")
    assert isinstance(result, Failure)
    return [str(fault) for fault in result.failure()]


def test_every_kind_of_rule_is_parsed() -> None:
    rule_set = _read_valid(VALID_RULES)
    assert rule_set.failure_domains["anjara"].region == "jo-north"
    assert rule_set.models["vine"].version == "v1"
    assert rule_set.services["crew-app"].repeatable == {"GET", "HEAD"}
    assert rule_set.services["ledger"].repeatable == frozenset()
    runner = rule_set.backend_servers["runner-1"]
    assert runner[:9] == (
        *("runner-1", "127.0.0.1:9001", "anjara", "vine", None),
        *(2, 16, 40000, True),
    )
    crew = rule_set.backend_servers["crew-1"]
    assert crew[3:9] == (None, "crew-app", 1, 8, 0, False)
    assert rule_set.teams["weight"].models == {"vine", "*"}
    assert rule_set.teams["weight"].max_in_flight == 64
    assert (
        rule_set.teams["weight"].source.asked_by == "noor: growers # and crews"
    )
    assert rule_set.teams["small"].max_in_flight == 0
    assert rule_set.settings["stale_after_s"].value == 2.5
    assert rule_set.models["vine"].source == (
        *(4, "model vine version v1", "noor: flowering rota"),
    )


@pytest.mark.parametrize(
    ("line", "fault"),
    [
        ("model a version v1", "1:19: missing comment on who asked for it"),
        ("model a version v1 #  ", "1:20: missing comment on who asked for it"),
        ("modle a version v1 # x", "1:1: expected 'backend_server' or"),
        ("modela version v1 # x", "1:1: expected 'backend_server' or"),
        ("model a # x", "1:8: expected 'version'"),
        ("model a version # x", "1:16: expected a name"),
        ("model a version v1 extra # x", "1:20: expected '#'"),
        ("set a one # x", "1:7: expected a number"),
        ("set é 1 # x", "1:5: expected a name"),
        ("team t weight 0 models * # x", "1:15: must be greater than 0"),
        ("team t weight 1 models a # x", "1:24: unknown model 'a'"),
        ("team t weight 1 models *,b # x", "1:26: unknown model 'b'"),
        ("service s repeatable get # x", "1:22: expected HTTP methods"),
    ],
)
def test_fault_is_reported_with_its_position(line: str, fault: str) -> None:
    (found,) = _find_faults(line)
    assert found.startswith(f"r:{fault}")


def test_all_faults_are_reported_at_once_in_order() -> None:
    text = (
        "team t weight 1 models gone\n"
        "backend_server b at host:99999 in nowhere serves service s"
        " cold 3 warm 2 # x\n"
        "set a 1 # x\r\n"
        "set a 2 # y\n"
        "failure_domain b in region r # x\n"
        "what"
    )
    faults = _find_faults(text)
    assert faults[:-2] == [
        "r:1:24: unknown model 'gone'",
        "r:1:28: missing comment on who asked for it",
        "r:2:16: 'b' is also a failure_domain",
        "r:2:21: 'host' is not an IP address",
        "r:2:21: port 99999 is out of range",
        "r:2:35: unknown failure_domain 'nowhere'",
        "r:2:58: unknown service 's'",
        "r:2:65: the cold limit is above the warm limit",
        "r:4:5: set 'a' is already defined on line 3",
    ]
    assert faults[-2].startswith("r:6:1: expected 'backend_server' or")
    assert faults[-1] == "r:6:5: missing comment on who asked for it"


def test_invalid_bytes_do_not_hide_other_faults() -> None:
    data = (
        b"failure_domain a in region r # as\xfeked by x\n"
        b"team t weight 1 models gone # \xff\xff\n"
    )
    faults = _find_faults(data.decode("utf-8", "surrogateescape"))
    assert faults == [
        "r:1:34: byte 0xfe is not UTF-8",
        "r:2:24: unknown model 'gone'",
        "r:2:31: byte 0xff is not UTF-8",
        "r:2:32: byte 0xff is not UTF-8",
    ]


def test_empty_file_gives_empty_rule_set() -> None:
    assert _read_valid("") == RuleSet()


def test_unreadable_line_does_not_disable_other_rules() -> None:
    text = "set a 1 # x\nfuture rule # x\nset a 2 # y\n# note\n"
    rule_set, unread_lines = parse_rules_leniently(text)
    assert unread_lines == (2,)
    assert rule_set.settings["a"].value == 1
    assert rule_set.settings["a"].source.line == 1
