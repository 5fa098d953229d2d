"""Tests of the store view and of deltas and snapshots between nodes."""

import json
import time

import freezegun
import pytest

from savorylift.backends.registry import GRACE_PERIOD_S
from savorylift.fleet.codec import decode, encode
from savorylift.fleet.store_records import Change, Delta, Snapshot, Topic
from savorylift.fleet.store_view import StoreView
from tests.exchange.factories import encode_server_entry, make_store_view


def configuration_change(version: int) -> Change:
    value = {"version": version, "routes": [], "services": []}
    return Change("config", json.dumps(value).encode())


def configuration_version(view: StoreView) -> int | None:
    return view.configuration and view.configuration.version


def test_older_configuration_does_not_replace_a_newer_one() -> None:
    view = make_store_view()
    view.apply_operator_records([configuration_change(5)], 10)
    view.apply_operator_records([configuration_change(3)], 11)
    assert configuration_version(view) == 5


@pytest.mark.parametrize("value", [b"", b"\xff", b"{}", None])
def test_invalid_configuration_does_not_replace_the_last_one(
    value: bytes | None,
) -> None:
    view = make_store_view()
    view.apply_operator_records([configuration_change(5)], 10)
    view.apply_operator_records([Change("config", value)], 11)
    assert configuration_version(view) == 5


def test_listing_without_configuration_does_not_remove_it() -> None:
    view = make_store_view()
    view.replace_operator_records([configuration_change(5)], 10)
    view.replace_operator_records([], 20)
    assert configuration_version(view) == 5
    assert view.snapshot().operators.keys() == {"config"}


def test_evacuation_ends_when_its_record_is_removed() -> None:
    view = make_store_view()
    view.apply_operator_records([Change("evacuate/z1", b"{}")], 1)
    assert view.evacuated == {"z1"}
    view.apply_operator_records([Change("evacuate/z1", None)], 2)
    assert view.evacuated == frozenset()


def test_evacuation_missing_from_a_listing_has_ended() -> None:
    view = make_store_view()
    view.apply_operator_records([Change("evacuate/z1", b"{}")], 1)
    view.replace_operator_records([configuration_change(5)], 9)
    assert view.evacuated == frozenset()


def test_invalid_server_record_does_not_affect_others() -> None:
    view = make_store_view(one=1)
    changed = view.apply_server_records(
        [Change("bad", b"\xff"), Change("two", encode_server_entry(2))], 5
    )
    assert changed
    assert set(view.registry.servers) == {"one", "two"}


def test_heartbeat_of_a_server_does_not_change_the_version() -> None:
    view = make_store_view(one=1)
    before = view.servers_version
    assert not view.apply_server_records(
        [Change("one", encode_server_entry(1, 2))], 5
    )
    assert view.servers_version == before


def test_newer_snapshot_replaces_older_state() -> None:
    source = make_store_view(one=1, two=2)
    source.apply_operator_records(
        [configuration_change(5), Change("evacuate/z", b"{}")], 7
    )
    data = encode(source.snapshot())
    decoded = decode(data).unwrap()
    assert isinstance(decoded, Snapshot)
    view = make_store_view()
    assert view.apply_snapshot(decoded)
    assert configuration_version(view) == 5
    assert view.evacuated == {"z"}
    assert set(view.registry.servers) == {"one", "two"}
    assert not view.apply_snapshot(source.snapshot())


def test_older_snapshot_is_ignored() -> None:
    view = make_store_view(one=1)
    view.apply_server_records([Change("two", encode_server_entry(2))], 9)
    older = Snapshot(0, (5, 0), {}, {})
    assert not view.apply_snapshot(older)
    assert set(view.registry.servers) == {"one", "two"}


def test_server_dropped_after_an_outage_leaves_the_snapshot() -> None:
    with freezegun.freeze_time("2026-01-01") as clock:
        view = make_store_view(one=1, two=2)
        view.registry.start_grace_period(time.monotonic())
        view.replace_server_records(
            [Change("one", encode_server_entry(1, 2))], 9
        )
        assert set(view.snapshot().servers) == {"one", "two"}
        before = view.servers_version
        clock.tick(GRACE_PERIOD_S + 0.1)
        assert view.drop_expired()
        assert view.servers_version > before
        assert set(view.snapshot().servers) == {"one"}


def test_server_removed_before_a_copy_of_the_store_was_made_stays_away() -> (
    None
):
    view = make_store_view(one=1, two=2)
    entry = Change("one", encode_server_entry(1))
    view.apply_server_records([Change("one", None)], 9)
    listing = [entry, Change("two", encode_server_entry(2))]
    view.replace_server_records(listing, 20)
    assert set(view.registry.servers) == {"two"}
    assert set(view.snapshot().servers) == {"two"}
    view.apply_server_records([Change("one", encode_server_entry(1, 2))], 21)
    assert set(view.registry.servers) == {"one", "two"}
    assert set(view.snapshot().servers) == {"one", "two"}


def test_copy_of_the_store_does_not_change_what_a_snapshot_says() -> None:
    view = make_store_view(one=1)
    draining = encode_server_entry(1, 2, state="draining")
    view.apply_server_records([Change("one", draining)], 9)
    listing = [Change("one", encode_server_entry(1))]
    view.replace_server_records(listing, 20)
    assert view.snapshot().servers == {"one": draining}


def test_node_that_heard_no_heartbeats_knows_what_a_copy_of_the_store_has() -> (
    None
):
    reader, view = make_store_view(one=1), make_store_view(one=1)
    heartbeat = Change("one", encode_server_entry(1, 7))
    assert not reader.apply_server_records([heartbeat], 8)
    base = reader.servers_version
    told = reader.apply_server_records([Change("one", None)], 9)
    assert view.apply_delta(Delta(Topic.SERVERS, base, (9, 0), told))
    assert view.servers_version == reader.servers_version
    assert not view.registry.servers
    view.replace_server_records([heartbeat], 20)
    assert not view.registry.servers


def test_server_that_one_node_keeps_as_lapsed_is_not_taken_from_others() -> (
    None
):
    reader, view = make_store_view(one=1, two=2), make_store_view(one=1, two=2)
    reader.registry.start_grace_period(time.monotonic())
    base = reader.servers_version
    draining = encode_server_entry(2, 2, state="draining")
    told = reader.apply_server_records(
        [Change("one", None), Change("two", draining)], 9
    )
    assert view.apply_delta(Delta(Topic.SERVERS, base, (9, 0), told))
    assert set(reader.registry.servers) == {"one", "two"}
    assert set(view.registry.servers) == {"one", "two"}
    # Its next heartbeat is no change: nobody would be told of it.
    heartbeat = [Change("one", encode_server_entry(1, 2))]
    assert not reader.apply_server_records(heartbeat, 10)


def test_snapshot_without_news_of_a_missing_server_does_not_keep_it() -> None:
    with freezegun.freeze_time("2026-01-01") as clock:
        view, other = make_store_view(one=1, two=2), make_store_view(one=1)
        view.registry.start_grace_period(time.monotonic())
        listing = [Change("two", encode_server_entry(2, 2))]
        view.replace_server_records(listing, 9)
        other.apply_server_records(
            [Change("three", encode_server_entry(3))], 10
        )
        assert view.apply_snapshot(other.snapshot())
        clock.tick(GRACE_PERIOD_S + 0.1)
        view.drop_expired()
        assert "one" not in view.registry.servers


def test_snapshot_with_a_later_entry_keeps_a_missing_server() -> None:
    with freezegun.freeze_time("2026-01-01") as clock:
        view, other = make_store_view(one=1), make_store_view(one=1)
        view.registry.start_grace_period(time.monotonic())
        view.replace_server_records([], 9)
        changes = [
            Change("one", encode_server_entry(1, 2)),
            Change("three", encode_server_entry(3)),
        ]
        other.apply_server_records(changes, 10)
        assert view.apply_snapshot(other.snapshot())
        clock.tick(GRACE_PERIOD_S + 0.1)
        view.drop_expired()
        assert "one" in view.registry.servers


@pytest.mark.parametrize("data", [b"", b"\xff", b"\x82\x01\x02", b"\x00"])
def test_invalid_bytes_are_rejected(data: bytes) -> None:
    assert decode(data).failure()


def test_delta_applies_only_to_its_base_version() -> None:
    view = make_store_view(one=1)
    change = Change("two", encode_server_entry(2))
    delta = Delta(Topic.SERVERS, view.servers_version, (9, 0), (change,))
    decoded = decode(encode(delta)).unwrap()
    assert decoded == delta
    assert view.apply_delta(delta)
    assert not view.apply_delta(delta)
    assert view.servers_version == (9, 0)
    assert set(view.registry.servers) == {"one", "two"}


def test_delta_with_a_missing_predecessor_is_dropped() -> None:
    view = make_store_view(one=1)
    change = Change("config", configuration_change(5).value)
    delta = Delta(Topic.OPERATORS, (3, 0), (4, 0), (change,))
    assert not view.apply_delta(delta)
    assert configuration_version(view) is None


def test_snapshot_contains_only_newer_topics() -> None:
    view = make_store_view(one=1)
    view.apply_operator_records([configuration_change(5)], 7)
    assert view.snapshot(7, view.servers_version) == Snapshot(0, (0, 0), {}, {})
    assert view.snapshot(7, (0, 0)).operators == {}
    assert view.snapshot(6, view.servers_version).servers == {}
