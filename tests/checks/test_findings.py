"""Tests of where findings stand, and of what can be read."""

import pytest

from savorylift.checks.findings import (
    CheckReport,
    Finding,
    FindingKind,
    Location,
)


@pytest.mark.parametrize(
    ("location", "text"),
    [
        (Location(), ""),
        (Location(line=3), "3"),
        (Location(line=3, column=7), "3:7"),
        (Location(path="$.routes[0]"), "$.routes[0]"),
    ],
)
def test_location_is_shown_as_its_format_counts(
    location: Location, text: str
) -> None:
    assert str(location) == text


@pytest.mark.parametrize("kind", FindingKind)
def test_only_unreadable_entries_make_a_file_unreadable(
    kind: FindingKind,
) -> None:
    report = CheckReport((Finding(kind, Location(), "message"),))
    assert report.is_readable is (kind is not FindingKind.UNREADABLE)
