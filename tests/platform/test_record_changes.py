"""Tests of comparing two configurations of the platform's format."""

import copy
import json
from typing import Any

import pytest

from savorylift.checks.findings import Change, ChangeKind, Location
from savorylift.platform.configuration_record import ConfigurationRecord
from savorylift.platform.record_changes import compare_records
from savorylift.platform.record_findings import check_record
from tests.front.environment import configuration

OLD: dict[str, Any] = configuration()


def decode(data: object) -> ConfigurationRecord:
    record = check_record(json.dumps(data).encode()).record
    assert record is not None
    return record


def edit(data: dict[str, Any], what: str) -> None:
    match what:
        case "version":
            data["version"] = 9
        case "timeout":
            data["routes"][1]["timeoutMs"] = 3000
        case "added":
            data["services"].append({"name": "spare"})
        case "removed":
            del data["routes"][2]
        case "keys":
            data["tenants"][0]["apiKeys"] = ["other", "more"]
        case "limits":
            data["limits"]["maxBodyBytes"] = 1000
        case "open":
            data["tenants"] = None


@pytest.mark.parametrize(
    ("what", "expected"),
    [
        ("nothing", None),
        # Each one differs from the one before.
        ("version", None),
        (
            "timeout",
            Change(
                ChangeKind.CHANGED,
                "route r-once-",
                Location(path="$.routes[1]"),
                "timeoutMs 2000 -> 3000",
            ),
        ),
        (
            "added",
            Change(
                ChangeKind.ADDED,
                "service spare",
                Location(path="$.services[2]"),
            ),
        ),
        (
            "removed",
            Change(
                ChangeKind.REMOVED,
                "route r-stream-",
                Location(path="$.routes[2]"),
            ),
        ),
        (
            "keys",
            Change(
                ChangeKind.CHANGED,
                "team team",
                Location(path="$.tenants[0]"),
                "apiKeys: 2 added, 1 removed",
            ),
        ),
        (
            "limits",
            Change(
                ChangeKind.CHANGED,
                "limits",
                Location(path="$.limits"),
                "maxBodyBytes 65536 -> 1000",
            ),
        ),
    ],
)
def test_change_names_entry_and_members(
    what: str, expected: Change | None
) -> None:
    data = copy.deepcopy(OLD)
    edit(data, what)
    changes = compare_records(decode(OLD), decode(data))
    assert changes == (() if expected is None else (expected,))


def test_keys_that_are_required_no_more_are_a_change() -> None:
    data = copy.deepcopy(OLD)
    edit(data, "open")
    changes = compare_records(decode(OLD), decode(data))
    assert [(change.kind, change.entry) for change in changes] == [
        (ChangeKind.REMOVED, "team team"),
        (ChangeKind.CHANGED, "teams"),
    ]
