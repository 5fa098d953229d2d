"""Tests of findings in configurations of the platform's format."""

import copy
import json
from typing import Any

import pytest

from savorylift.checks.findings import FindingKind
from savorylift.platform.record_findings import check_record
from tests.front.environment import configuration

SOUND: dict[str, Any] = configuration()
# In `SOUND`: routes safe, once, stream, resumable; services app, pool.
SAFE, ONCE, STREAM, RESUMABLE = range(4)
POOL = 1
UNREADABLE = FindingKind.UNREADABLE
UNKNOWN = FindingKind.UNKNOWN_NAME
NEVER = FindingKind.NEVER_MATCHES
CONTRADICTION = FindingKind.CONTRADICTION
NO_EFFECT = FindingKind.NO_EFFECT


def find(data: object) -> list[tuple[FindingKind, str]]:
    checked = check_record(json.dumps(data).encode())
    return [(f.kind, f.location.path) for f in checked.findings]


def changed(member: str, number: int, change: dict[str, Any]) -> dict[str, Any]:
    """Returns the sound configuration with members of one entry changed."""
    data = copy.deepcopy(SOUND)
    data[member][number] |= change
    return data


def test_sound_configuration_has_no_findings() -> None:
    assert find(SOUND) == []


@pytest.mark.parametrize(
    ("number", "change", "kind", "path"),
    [
        (SAFE, {"kind": "safest"}, UNREADABLE, ".kind"),
        (SAFE, {"priority": "high"}, UNREADABLE, ".priority"),
        (SAFE, {"name": "r-once-"}, CONTRADICTION, None),
        (ONCE, {"pathPrefix": "/safe/"}, NEVER, ""),
        (SAFE, {"host": "h.example:80"}, NEVER, ".host"),
        (SAFE, {"host": ""}, NEVER, ".host"),
        (SAFE, {"pathPrefix": "safe/"}, NEVER, ".pathPrefix"),
        (SAFE, {"pathPrefix": "/safe"}, CONTRADICTION, ".pathPrefix"),
        (SAFE, {"service": None}, NEVER, ""),
        (SAFE, {"service": "none"}, UNKNOWN, ".service"),
        (SAFE, {"timeoutMs": 0}, CONTRADICTION, ".timeoutMs"),
        (SAFE, {"targetLatencyMs": 2001}, CONTRADICTION, ".targetLatencyMs"),
        (STREAM, {"gapAimMs": 2001}, CONTRADICTION, ".gapAimMs"),
        (SAFE, {"gapAimMs": 100}, NO_EFFECT, ".gapAimMs"),
        (SAFE, {"streamResumption": True}, NO_EFFECT, ".streamResumption"),
        (SAFE, {"maxAttempts": 0}, CONTRADICTION, ".maxAttempts"),
        (ONCE, {"maxAttempts": 2}, NO_EFFECT, ".maxAttempts"),
        (STREAM, {"maxAttempts": 2}, NO_EFFECT, ".maxAttempts"),
        (RESUMABLE, {"maxAttempts": 1}, CONTRADICTION, ".maxAttempts"),
        (SAFE, {"priority": 10}, CONTRADICTION, ".priority"),
        (SAFE, {"targetLatencyMS": 5}, NO_EFFECT, None),
        (SAFE, {"allowedRegion": ["r"]}, NO_EFFECT, ".allowedRegion"),
    ],
)
def test_finding_names_the_route(
    number: int, change: dict[str, Any], kind: FindingKind, path: str | None
) -> None:
    data = changed("routes", number, change)
    if "targetLatencyMS" in change:
        del data["routes"][number]["targetLatencyMs"]
        path = ".targetLatencyMS"
    if "name" in change:
        number, path = ONCE, ".name"
    found = find(data)
    assert found == [(kind, f"$.routes[{number}]{path}")]


@pytest.mark.parametrize(
    ("split", "expected"),
    [
        ([("app", 1), ("pool", 3)], []),
        ([("app", 0.25), ("pool", 0.75)], []),
        ([("app", 0.25), ("pool", 0.5)], [(CONTRADICTION, "trafficSplit")]),
        ([("app", 1), ("pool", 0)], [(NEVER, "trafficSplit[1].weight")]),
        (
            [("app", 1), ("pool", -1)],
            [(CONTRADICTION, "trafficSplit[1].weight")],
        ),
        ([("app", 1), ("app", 2)], [(CONTRADICTION, "trafficSplit")]),
        ([("app", 1), ("none", 2)], [(UNKNOWN, "trafficSplit")]),
    ],
)
def test_findings_of_split_routes(
    split: list[tuple[str, float]], expected: list[tuple[FindingKind, str]]
) -> None:
    targets = [{"service": name, "weight": weight} for name, weight in split]
    change = {"trafficSplit": targets, "service": None}
    found = find(changed("routes", SAFE, change))
    prefix = f"$.routes[{SAFE}]."
    assert found == [(kind, prefix + path) for kind, path in expected]


def test_service_beside_a_split_has_no_effect() -> None:
    split = [{"service": "app", "weight": 1}]
    found = find(changed("routes", SAFE, {"trafficSplit": split}))
    assert found == [(NO_EFFECT, "$.routes[0].service")]


@pytest.mark.parametrize(
    ("change", "kind", "path"),
    [
        ({"coldPerS": -1}, CONTRADICTION, ".coldPerS"),
        ({"healthPath": "health"}, CONTRADICTION, ".healthPath"),
        ({"engine": {"slots": 0}}, CONTRADICTION, ".engine.slots"),
        ({"engine": {"kvCapacity": 7}}, CONTRADICTION, ".engine.kvCapacity"),
        ({"engine": {"linkMbps": 0}}, CONTRADICTION, ".engine.moves"),
        ({"engine": {"kvTokenBytes": 0}}, CONTRADICTION, ".engine.moves"),
        ({"engine": {"stride": 0}}, CONTRADICTION, ".engine.stride"),
        ({"healthpath": "/h"}, NO_EFFECT, ".healthpath"),
    ],
)
def test_finding_names_the_service(
    change: dict[str, Any], kind: FindingKind, path: str
) -> None:
    if "engine" in change:
        engine = SOUND["services"][POOL]["engine"]
        change = {"engine": engine | change["engine"]}
    data = changed("services", POOL, change)
    if "healthpath" in change:
        del data["services"][POOL]["healthPath"]
    assert find(data) == [(kind, f"$.services[{POOL}]{path}")]


@pytest.mark.parametrize(
    ("name", "path"), [("spare", "$.services[2]"), ("app", "$.services[0]")]
)
def test_service_that_no_request_reaches_is_found(name: str, path: str) -> None:
    data = copy.deepcopy(SOUND)
    data["services"].append({"name": name})
    assert find(data) == [(NEVER, path)]


@pytest.mark.parametrize(
    ("tenants", "expected"),
    [
        (None, []),
        ([{"name": "a", "apiKeys": ["x", "y"]}], []),
        ([{"name": "a"}], [(NEVER, "$.tenants[0]")]),
        (
            [{"name": "a", "apiKeys": [""]}],
            [(NEVER, "$.tenants[0].apiKeys[0]")],
        ),
        (
            [
                {"name": "a", "apiKeys": ["x", "y"]},
                {"name": "b", "apiKeys": ["y"]},
            ],
            [(NEVER, "$.tenants[0].apiKeys[1]")],
        ),
        (
            [
                {"name": "a", "apiKeys": ["x"]},
                {"name": "a", "apiKeys": ["y"]},
            ],
            [
                (CONTRADICTION, "$.tenants[0]"),
                (CONTRADICTION, "$.tenants[1]"),
            ],
        ),
        (
            [{"name": "a", "apiKeys": ["x"], "priority": -1}],
            [(CONTRADICTION, "$.tenants[0].priority")],
        ),
        ([], [(NEVER, f"$.routes[{number}]") for number in range(4)]),
    ],
)
def test_findings_of_teams(
    tenants: list[dict[str, Any]] | None,
    expected: list[tuple[FindingKind, str]],
) -> None:
    assert find(SOUND | {"tenants": tenants}) == expected


def test_team_and_routes_without_a_common_region_are_found() -> None:
    data = copy.deepcopy(SOUND)
    for route in data["routes"]:
        route["allowedRegions"] = ["north"]
    data["routes"][SAFE]["allowedRegions"] = ["south"]
    data["tenants"] = [
        {"name": "a", "apiKeys": ["x"], "allowedRegions": ["north"]},
        {"name": "b", "apiKeys": ["y"], "allowedRegions": ["west"]},
    ]
    assert find(data) == [
        (CONTRADICTION, "$.tenants[1].allowedRegions"),
        (NEVER, "$.routes[0]"),
    ]


def test_limit_that_lets_nothing_through_is_found() -> None:
    data = copy.deepcopy(SOUND)
    data["limits"]["maxBodyBytes"] = 0
    assert find(data) == [(CONTRADICTION, "$.limits.maxBodyBytes")]


def test_keys_are_not_shown() -> None:
    data = copy.deepcopy(SOUND)
    data["tenants"] = [
        {"name": "a", "apiKeys": ["secret"]},
        {"name": "b", "apiKeys": ["secret"]},
    ]
    (found,) = check_record(json.dumps(data).encode()).findings
    assert "secret" not in found.message


@pytest.mark.parametrize(
    ("value", "path"),
    [
        (b"{", "$"),
        (b'{"version": 1}', "$"),
        (b'{"version": "x", "routes": [], "services": []}', "$.version"),
    ],
)
def test_unreadable_record_is_one_finding(value: bytes, path: str) -> None:
    checked = check_record(value)
    assert checked.record is None
    (found,) = checked.findings
    assert (found.kind, found.location.path) == (UNREADABLE, path)


@pytest.mark.parametrize(
    ("text", "kinds"),
    [
        # Valid, though Python doesn't convert it.
        (b"9" * 5000, []),
        (b'"\xff"', [UNREADABLE]),
    ],
)
def test_member_that_nodes_pass_over_may_hold_anything(
    text: bytes, kinds: list[FindingKind]
) -> None:
    """The check ended with a traceback."""
    value = json.dumps(SOUND | {"note": 0}).encode()
    value = value.replace(b'"note": 0', b'"note": ' + text)
    checked = check_record(value)
    assert checked.record is not None
    assert [finding.kind for finding in checked.findings] == kinds


def test_limit_that_is_no_float_is_found() -> None:
    data = copy.deepcopy(SOUND)
    data["limits"]["maxBodyBytes"] = -(10**400)
    assert find(data) == [(CONTRADICTION, "$.limits.maxBodyBytes")]
