"""Tests of the last entries of servers, removed ones too."""

import pytest

from savorylift.backends.latest_entries import (
    REMOVED_RETENTION_S,
    LatestEntries,
)
from tests.exchange.factories import make_server

ENTRY = make_server("a").entry


def test_last_entry_replaces_earlier_ones() -> None:
    latest = LatestEntries()
    assert latest.find("a") is None
    latest.put(ENTRY, 0.0)
    newer = ENTRY._replace(service="other")
    latest.put(newer, 1.0)
    assert latest.find("a") == newer
    assert latest.server_ids == {"a"}


@pytest.mark.parametrize(
    ("after_s", "registered", "is_kept"),
    [
        (REMOVED_RETENTION_S - 1.0, (), True),
        (REMOVED_RETENTION_S + 1.0, (), False),
        (REMOVED_RETENTION_S + 1.0, ("a",), True),
    ],
)
def test_removed_server_is_forgotten_after_a_time(
    after_s: float, registered: tuple[str, ...], *, is_kept: bool
) -> None:
    """Entries that arrive late must not bring it back before."""
    latest = LatestEntries()
    latest.put(ENTRY, 0.0)
    latest.note_removal("a", 10.0)
    forgotten = latest.forget_removed(10.0 + after_s, registered)
    assert forgotten == ([] if is_kept else ["a"])
    assert ("a" in latest) is is_kept
