"""Tests of what records and other nodes make a node believe."""

import json
import time

import freezegun
import pytest

from savorylift.backends.registry import RETURN_S
from savorylift.fleet.codec import decode, encode
from savorylift.fleet.knowledge import Knowledge
from savorylift.fleet.state import Change, Delta, Snapshot, Topic
from tests.exchange.fakes import knowledge, server_value


def operators(version: int) -> Change:
    value = {"version": version, "routes": [], "services": []}
    return Change("config", json.dumps(value).encode())


def version(known: Knowledge) -> int | None:
    return known.configuration and known.configuration.version


def test_versions_never_go_back() -> None:
    known = knowledge()
    known.apply_operators([operators(5)], 10)
    known.apply_operators([operators(3)], 11)
    assert version(known) == 5


@pytest.mark.parametrize("value", [b"", b"\xff", b"{}", None])
def test_unreadable_configuration_leaves_the_last_in_force(
    value: bytes | None,
) -> None:
    known = knowledge()
    known.apply_operators([operators(5)], 10)
    known.apply_operators([Change("config", value)], 11)
    assert version(known) == 5


def test_list_without_a_configuration_leaves_the_last_in_force() -> None:
    known = knowledge()
    known.list_operators([operators(5)], 10)
    known.list_operators([], 20)
    assert version(known) == 5
    assert known.snapshot().operators.keys() == {"config"}


def test_domains_are_taken_out_and_back() -> None:
    known = knowledge()
    known.apply_operators([Change("evacuate/z1", b"{}")], 1)
    assert known.evacuated == {"z1"}
    known.apply_operators([Change("evacuate/z1", None)], 2)
    assert known.evacuated == frozenset()


def test_domain_taken_back_unseen_is_back_after_a_list() -> None:
    known = knowledge()
    known.apply_operators([Change("evacuate/z1", b"{}")], 1)
    known.list_operators([operators(5)], 9)
    assert known.evacuated == frozenset()


def test_foreign_server_records_leave_the_others() -> None:
    known = knowledge(one=1)
    changed = known.apply_servers(
        [Change("bad", b"\xff"), Change("two", server_value(2))], 5
    )
    assert changed
    assert set(known.registry.known) == {"one", "two"}


def test_signs_of_life_are_not_passed_on() -> None:
    known = knowledge(one=1)
    before = known.servers_version
    assert not known.apply_servers([Change("one", server_value(1, 2))], 5)
    assert known.servers_version == before


def test_takes_over_what_another_node_knows_better() -> None:
    source = knowledge(one=1, two=2)
    source.apply_operators([operators(5), Change("evacuate/z", b"{}")], 7)
    data = encode(source.snapshot())
    unpacked = decode(data).unwrap()
    assert isinstance(unpacked, Snapshot)
    known = knowledge()
    assert known.take_over(unpacked)
    assert version(known) == 5
    assert known.evacuated == {"z"}
    assert set(known.registry.known) == {"one", "two"}
    assert not known.take_over(source.snapshot())


def test_older_state_of_another_node_changes_nothing() -> None:
    known = knowledge(one=1)
    known.apply_servers([Change("two", server_value(2))], 9)
    older = Snapshot(0, (5, 0), {}, {})
    assert not known.take_over(older)
    assert set(known.registry.known) == {"one", "two"}


def test_server_that_does_not_come_back_goes_everywhere() -> None:
    with freezegun.freeze_time("2026-01-01") as clock:
        known = knowledge(one=1, two=2)
        known.registry.expect_lapses(time.monotonic())
        known.list_servers([Change("one", server_value(1, 2))], 9)
        assert set(known.snapshot().servers) == {"one", "two"}
        before = known.servers_version
        clock.tick(RETURN_S + 0.1)
        assert known.drop_lapsed()
        assert known.servers_version > before
        assert set(known.snapshot().servers) == {"one"}


@pytest.mark.parametrize("data", [b"", b"\xff", b"\x82\x01\x02", b"\x00"])
def test_foreign_bytes_are_no_message(data: bytes) -> None:
    assert decode(data).failure()


def test_change_is_applied_on_what_it_builds_on() -> None:
    known = knowledge(one=1)
    change = Change("two", server_value(2))
    delta = Delta(Topic.SERVERS, known.servers_version, (9, 0), (change,))
    unpacked = decode(encode(delta)).unwrap()
    assert unpacked == delta
    assert known.apply(delta)
    assert not known.apply(delta)
    assert known.servers_version == (9, 0)
    assert set(known.registry.known) == {"one", "two"}


def test_change_with_a_gap_before_it_is_left_out() -> None:
    known = knowledge(one=1)
    change = Change("config", operators(5).value)
    delta = Delta(Topic.OPERATORS, (3, 0), (4, 0), (change,))
    assert not known.apply(delta)
    assert version(known) is None


def test_asker_gets_only_what_it_lacks() -> None:
    known = knowledge(one=1)
    known.apply_operators([operators(5)], 7)
    assert known.snapshot(7, known.servers_version) == Snapshot(
        0, (0, 0), {}, {}
    )
    assert known.snapshot(7, (0, 0)).operators == {}
    assert known.snapshot(6, known.servers_version).servers == {}
