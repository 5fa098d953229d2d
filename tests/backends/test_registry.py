"""Tests of the registry of backend servers."""

import pytest

from savorylift.backends.latest_entries import REMOVED_RETENTION_S
from savorylift.backends.registry import (
    GRACE_PERIOD_S,
    Registry,
)
from savorylift.backends.server import ServerEntry
from tests.exchange.factories import make_server_entry


def test_heartbeat_is_no_change() -> None:
    registry = Registry()
    assert registry.put(make_server_entry(), 0.0)
    assert not registry.put(make_server_entry()._replace(sequence=2), 1.0)
    assert registry.put(
        make_server_entry()._replace(sequence=3, is_leaving=True), 2.0
    )


@pytest.mark.parametrize(
    "late",
    [
        make_server_entry()._replace(sequence=4),
        make_server_entry()._replace(sequence=9, started_ms=0),
    ],
)
def test_delayed_entry_does_not_replace_a_newer_one(late: object) -> None:
    registry = Registry()
    registry.put(make_server_entry()._replace(sequence=5, is_leaving=True), 0.0)
    assert not registry.put(late, 1.0)  # type: ignore[arg-type]
    assert registry.servers["i-1"].entry.is_leaving


def test_delayed_entry_does_not_restore_a_removed_server() -> None:
    registry = Registry()
    registry.put(make_server_entry()._replace(sequence=5), 0.0)
    assert registry.remove("i-1", 1.0)
    assert not registry.put(make_server_entry()._replace(sequence=4), 1.1)
    assert "i-1" not in registry.servers


def test_entry_from_a_copy_of_the_store_does_not_restore_a_removed_server() -> (
    None
):
    registry = Registry()
    entry = make_server_entry()._replace(sequence=5)
    registry.put(entry, 0.0)
    assert registry.remove("i-1", 1.0)
    assert not registry.put(entry, 1.1)
    assert "i-1" not in registry.servers


@pytest.mark.parametrize(
    "written_again",
    [
        make_server_entry()._replace(sequence=6),
        make_server_entry()._replace(sequence=1, started_ms=2),
    ],
)
def test_removed_server_that_lives_is_back_with_its_next_entry(
    written_again: ServerEntry,
) -> None:
    registry = Registry()
    registry.put(make_server_entry()._replace(sequence=5), 0.0)
    registry.remove("i-1", 1.0)
    assert registry.put(written_again, 1.1)
    assert "i-1" in registry.servers


def test_entry_is_written_again_as_it_was_while_its_server_is_known() -> None:
    registry = Registry()
    entry = make_server_entry()._replace(sequence=5)
    registry.put(entry, 0.0)
    registry.start_grace_period(1.0)
    assert not registry.remove("i-1", 1.1)
    assert not registry.put(entry, 1.2)
    assert registry.drop_expired(1.0 + GRACE_PERIOD_S) == []


def test_restart_under_the_same_identifier_replaces_the_entry() -> None:
    registry = Registry()
    registry.put(
        make_server_entry()._replace(sequence=50, is_leaving=True), 0.0
    )
    assert registry.put(
        make_server_entry()._replace(sequence=1, started_ms=2, cold_s=1.0), 1.0
    )
    server = registry.servers["i-1"]
    assert not server.entry.is_leaving
    assert server.is_cold(1.5)
    assert not server.is_cold(2.5)


def test_server_that_turns_cold_again_is_a_change() -> None:
    registry = Registry()
    registry.put(make_server_entry(), 0.0)
    assert registry.put(
        make_server_entry()._replace(sequence=2, cold_s=3.0), 1.0
    )
    assert registry.servers["i-1"].is_cold(2.0)


def test_removed_server_is_dropped_at_once() -> None:
    registry = Registry()
    registry.put(make_server_entry(), 0.0)
    assert registry.remove("i-1", 1.0)
    assert not registry.servers


def test_server_missing_after_an_outage_is_kept_for_the_grace_period() -> None:
    registry = Registry()
    registry.put(make_server_entry("back"), 0.0)
    registry.put(make_server_entry("gone"), 0.0)
    registry.start_grace_period(10.0)
    assert not registry.keep_only([], 10.1)
    registry.put(make_server_entry("back")._replace(sequence=2), 11.0)
    assert registry.drop_expired(10.0 + GRACE_PERIOD_S - 0.1) == []
    assert registry.drop_expired(10.0 + GRACE_PERIOD_S) == ["gone"]
    assert list(registry.servers) == ["back"]


def test_earlier_return_of_the_store_shortens_no_grace_period() -> None:
    registry = Registry()
    registry.put(make_server_entry(), 0.0)
    registry.start_grace_period(10.0)
    registry.start_grace_period(9.0)
    assert not registry.remove("i-1", 9.0 + GRACE_PERIOD_S)
    assert registry.drop_expired(10.0 + GRACE_PERIOD_S) == ["i-1"]


def test_draining_server_is_dropped_without_a_grace_period() -> None:
    registry = Registry()
    registry.put(make_server_entry()._replace(is_leaving=True), 0.0)
    registry.start_grace_period(10.0)
    assert registry.remove("i-1", 10.1)


def test_removal_after_the_grace_period_is_immediate() -> None:
    registry = Registry()
    registry.put(make_server_entry(), 0.0)
    registry.start_grace_period(10.0)
    assert registry.remove("i-1", 10.0 + GRACE_PERIOD_S)


def test_server_that_reports_draining_is_marked_until_it_starts_again() -> None:
    registry = Registry()
    registry.put(make_server_entry(), 0.0)
    assert registry.mark_leaving("i-1", 1, is_start_known=True)
    assert not registry.mark_leaving("i-1", 1, is_start_known=True)
    assert not registry.mark_leaving("i-1", 0, is_start_known=True)
    assert not registry.mark_leaving("i-2", 1)
    assert registry.servers["i-1"].entry.is_leaving
    assert not registry.put(make_server_entry()._replace(sequence=2), 1.0)
    assert registry.servers["i-1"].entry.is_leaving
    assert registry.said_leaving == {"i-1": 1}
    restarted = make_server_entry()._replace(started_ms=2)
    assert registry.put(restarted, 2.0)
    assert not registry.servers["i-1"].entry.is_leaving


def test_server_that_leaves_does_not_come_back_with_a_lapsed_entry() -> None:
    registry = Registry()
    registry.put(make_server_entry(), 0.0)
    registry.remove("i-1", 1.0)
    assert not registry.mark_leaving("i-1", 1, is_start_known=True)
    registry.put(make_server_entry()._replace(sequence=2), 2.0)
    assert registry.servers["i-1"].entry.is_leaving
    registry.put(make_server_entry()._replace(started_ms=2), 3.0)
    assert not registry.servers["i-1"].entry.is_leaving


def is_leaving(registry: Registry) -> bool:
    """Whether the server gets nothing new."""
    return registry.servers["i-1"].entry.is_leaving


def test_process_ahead_of_its_entry_is_marked_with_and_after_it() -> None:
    registry = Registry()
    registry.put(make_server_entry(), 0.0)
    assert registry.mark_leaving("i-1", 5, is_start_known=True)
    assert is_leaving(registry)
    assert registry.said_leaving == {"i-1": 5}
    registry.put(make_server_entry()._replace(started_ms=5), 1.0)
    assert is_leaving(registry)
    assert registry.ids_in_doubt() == []
    registry.put(make_server_entry()._replace(started_ms=6), 2.0)
    assert not is_leaving(registry)
    assert registry.said_leaving == {}


def test_process_is_marked_whose_entry_is_missing_meanwhile() -> None:
    registry = Registry()
    registry.put(make_server_entry(), 0.0)
    registry.remove("i-1", 1.0)
    registry.mark_leaving("i-1", 5)
    registry.put(make_server_entry()._replace(started_ms=5), 2.0)
    assert is_leaving(registry)


def put_in_doubt(registry: Registry) -> None:
    """Lets an entry follow a notice whose process isn't known."""
    registry.put(make_server_entry(), 0.0)
    registry.mark_leaving("i-1", 1)
    registry.put(make_server_entry()._replace(started_ms=5), 1.0)
    assert registry.ids_in_doubt() == ["i-1"]
    assert is_leaving(registry)


def test_successor_is_closed_until_it_is_known_which_process_leaves() -> None:
    registry = Registry()
    put_in_doubt(registry)
    registry.put(make_server_entry()._replace(started_ms=5, sequence=2), 2.0)
    assert is_leaving(registry)
    registry.clear_leaving("i-1")
    assert registry.ids_in_doubt() == []
    assert not is_leaving(registry)
    assert registry.said_leaving == {}
    # An answer to a request that was sent to the earlier process.
    assert not registry.mark_leaving("i-1", 1)
    assert not is_leaving(registry)
    assert registry.mark_leaving("i-1", 5)
    assert is_leaving(registry)


def test_successor_that_says_that_it_leaves_too_is_news() -> None:
    registry = Registry()
    put_in_doubt(registry)
    assert registry.mark_leaving("i-1", 5, is_start_known=True)
    assert registry.ids_in_doubt() == []
    assert is_leaving(registry)
    registry.clear_leaving("i-1")
    assert is_leaving(registry)


def test_answer_that_comes_after_the_entry_leaves_its_process_in_doubt() -> (
    None
):
    registry = Registry()
    registry.put(make_server_entry()._replace(started_ms=5), 0.0)
    assert not registry.mark_leaving("i-1", 1)
    assert registry.ids_in_doubt() == ["i-1"]


def test_start_that_no_entry_reaches_closes_no_successor_for_good() -> None:
    registry = Registry()
    registry.put(make_server_entry(), 0.0)
    registry.mark_leaving("i-1", 10**18, is_start_known=True)
    registry.put(make_server_entry()._replace(started_ms=5), 1.0)
    assert registry.ids_in_doubt() == ["i-1"]
    registry.clear_leaving("i-1")
    assert not is_leaving(registry)


def test_successor_at_another_address_is_in_no_doubt() -> None:
    registry = Registry()
    registry.put(make_server_entry(), 0.0)
    registry.mark_leaving("i-1", 1)
    moved = make_server_entry()._replace(started_ms=5, address=("h", 1))
    registry.put(moved, 1.0)
    assert not is_leaving(registry)


def test_last_entry_of_a_server_is_kept_for_a_while_after_its_removal() -> None:
    registry = Registry()
    entry = make_server_entry()
    registry.put(entry, 0.0)
    removed_s = 2 * REMOVED_RETENTION_S
    assert registry.remove("i-1", removed_s)
    registry.drop_expired(removed_s + REMOVED_RETENTION_S - 1)
    assert not registry.put(entry, removed_s + REMOVED_RETENTION_S - 0.5)


def test_last_entry_of_a_server_is_kept_for_a_while_after_it_lapsed() -> None:
    registry = Registry()
    entry = make_server_entry()
    registry.put(entry, 0.0)
    lapsed_s = 2 * REMOVED_RETENTION_S
    registry.start_grace_period(lapsed_s - GRACE_PERIOD_S)
    registry.remove("i-1", lapsed_s - 1)
    assert registry.drop_expired(lapsed_s) == ["i-1"]
    registry.drop_expired(lapsed_s + REMOVED_RETENTION_S - 1)
    assert not registry.put(entry, lapsed_s + REMOVED_RETENTION_S - 0.5)


def test_notice_of_a_server_that_lapsed_long_after_its_entry_is_kept() -> None:
    registry = Registry()
    registry.put(make_server_entry(), 0.0)
    lapsed_s = 2 * REMOVED_RETENTION_S
    assert registry.mark_leaving("i-1", 1)
    registry.remove("i-1", lapsed_s)
    registry.drop_expired(lapsed_s + 0.2)
    registry.put(make_server_entry()._replace(sequence=2), lapsed_s + 1.0)
    assert registry.servers["i-1"].entry.is_leaving


def test_entries_of_removed_servers_do_not_accumulate() -> None:
    registry = Registry()
    for number in range(50):
        registry.put(make_server_entry(f"i-{number}"), 0.0)
        registry.remove(f"i-{number}", 1.0)
    registry.put(make_server_entry("kept"), 0.0)
    registry.drop_expired(REMOVED_RETENTION_S + 2)
    assert registry._latest.server_ids == {"kept"}


def test_notice_of_a_static_server_ends_when_it_reports_otherwise() -> None:
    registry = Registry()
    registry.set_static_entries([make_server_entry()._replace(started_ms=0)])
    assert registry.mark_leaving("i-1", 0)
    assert registry.said_leaving == {"i-1": 0}
    assert registry.update_static_status("i-1", is_cold=False, is_leaving=False)
    assert registry.said_leaving == {}
    assert not is_leaving(registry)
