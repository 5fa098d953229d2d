"""Tests of the software versions that have served lately."""

import random

import pytest

from savorylift.backends.server import ServerEntry
from savorylift.fleet import version_history
from savorylift.fleet.state import UNKNOWN_VERSION, VersionSighting
from savorylift.fleet.version_history import (
    MAX_SIGHTINGS,
    RESTART_RETENTION_S,
    RETENTION_S,
    VersionHistory,
)
from tests.exchange.factories import make_server_entry

V1 = make_server_entry("i-1")._replace(software_version="v1")
V2 = make_server_entry("i-2")._replace(software_version="v2")


def test_version_is_certain_while_only_one_serves() -> None:
    history = VersionHistory()
    history.observe([V1], 0.0)
    assert history.only_version("s") == "v1"
    history.observe([V1, V2], 1.0)
    assert history.only_version("s") is None


def test_service_has_versions_unless_its_servers_name_none() -> None:
    history = VersionHistory()
    assert history.has_versions("s")
    unnamed = V1._replace(software_version="")
    history.observe([unnamed], 0.0)
    assert not history.has_versions("s")
    history.observe([unnamed, V2], 1.0)
    assert history.has_versions("s")


def test_replaced_version_counts_until_no_caller_may_resume() -> None:
    history = VersionHistory()
    history.observe([V1], 0.0)
    history.observe([V2], 1.0)
    assert history.only_version("s") is None
    history.observe([V2], 1.0 + RETENTION_S)
    assert history.only_version("s") == "v2"


def test_node_that_has_just_started_learns_of_a_replaced_version() -> None:
    older, newer = VersionHistory(), VersionHistory()
    older.observe([V1], 0.0)
    older.observe([V2], 1.0)
    newer.observe([V2], 5.0)
    newer.merge(older.sightings(5.0), 5.0)
    assert newer.only_version("s") is None
    newer.observe([V2], 1.0 + RETENTION_S)
    assert newer.only_version("s") == "v2"


def test_what_is_known_already_is_not_younger_in_a_record() -> None:
    history = VersionHistory()
    history.observe([V1, V2], 0.0)
    history.observe([V1], 10.0)
    history.note_starts([V1._replace(started_ms=2)], 10.0)
    history.restore("s", ("v1", "v2", "v3", UNKNOWN_VERSION), (), 50.0)
    assert history.known_versions() == {"s": {"v1", "v2", "v3"}}
    assert not history.has_restarted("s", 10.1)
    history.observe([V1._replace(started_ms=2)], 10.0 + RETENTION_S)
    assert history.known_versions() == {"s": {"v1", "v3"}}
    assert history.restarted_services(10.0 + RETENTION_S) == frozenset()


def test_process_whose_entry_is_not_read_counts_as_a_restart() -> None:
    history, other = VersionHistory(), VersionHistory()
    for node in (history, other):
        node.observe([V1], 0.0)
    history.note_unread_process("s", 1.0)
    other.merge(history.sightings(2.0), 2.0)
    for node in (history, other):
        assert node.has_restarted("s", 1.0)
        assert node.restarted_services(2.0) == {"s"}
        assert node.only_version("s") == "v1"
    assert history.restarted_services(1.0 + RETENTION_S) == frozenset()


def test_server_that_starts_again_under_its_id_is_noticed() -> None:
    history = VersionHistory()
    first = V1._replace(started_ms=1)
    again = V1._replace(started_ms=2)
    history.observe([first, V2], 0.0)
    history.observe([V2], 1.0)
    assert not history.has_restarted("s", -1.0)
    history.observe([again, V2], 2.0)
    assert history.has_restarted("s", 2.0)
    assert not history.has_restarted("s", 2.1)
    assert not history.has_restarted("t", 0.0)


def test_server_with_another_id_is_no_restart() -> None:
    history = VersionHistory()
    history.observe([V1._replace(started_ms=1)], 0.0)
    history.observe([V1._replace(server_id="i-3", started_ms=2)], 1.0)
    assert not history.has_restarted("s", 0.0)


def test_node_that_has_just_started_learns_of_a_restart() -> None:
    older, newer = VersionHistory(), VersionHistory()
    older.observe([V1._replace(started_ms=1)], 0.0)
    older.observe([V1._replace(started_ms=2)], 10.0)
    newer.observe([V1._replace(started_ms=2)], 12.0)
    newer.merge(older.sightings(12.0), 12.0)
    assert newer.has_restarted("s", 10.0)
    assert not newer.has_restarted("s", 10.1)
    assert newer.sole_version("s") == older.sole_version("s")
    assert newer.only_version("s") == "v1"
    assert older.sightings(10.0 + RETENTION_S) == ()


def test_restart_does_not_get_later_on_its_way_between_nodes() -> None:
    first, second = VersionHistory(), VersionHistory()
    first.observe([V1._replace(started_ms=1)], 0.0)
    first.observe([V1._replace(started_ms=2)], 1.0)
    second.observe([V1._replace(started_ms=2)], 1.0)
    now_s = 1.0
    while now_s < RETENTION_S:
        for sender, receiver in ((first, second), (second, first)):
            told = sender.sightings(now_s)
            now_s += 0.5
            receiver.merge(told, now_s)
    assert not first.has_restarted("s", 2.0)
    assert not second.has_restarted("s", 2.0)


def test_restart_of_servers_without_versions_is_told_to_nobody() -> None:
    history = VersionHistory()
    entry = make_server_entry("i-1")
    history.observe([entry._replace(started_ms=1)], 0.0)
    history.observe([entry._replace(started_ms=2)], 1.0)
    assert history.sightings(1.0) == ()
    assert history.restarted_services(1.0) == frozenset()


def test_restart_is_heard_after_many_services_have_come_and_gone() -> None:
    history = VersionHistory()
    history.merge(
        [
            VersionSighting(f"gone-{n}", UNKNOWN_VERSION, 0.0)
            for n in range(MAX_SIGHTINGS)
        ],
        0.0,
    )
    assert history.has_restarted("gone-0", 0.0)
    now_s = RESTART_RETENTION_S
    history.observe([V1], now_s)
    assert not history.has_restarted("gone-0", 0.0)
    history.merge([VersionSighting("s", UNKNOWN_VERSION, 0.0)], now_s)
    assert history.has_restarted("s", now_s)


def test_restart_counts_for_the_longest_streams_of_a_service() -> None:
    history = VersionHistory()
    history.observe([V1._replace(started_ms=1)], 0.0)
    history.observe([V1._replace(started_ms=2)], 1.0)
    history.observe([V1._replace(started_ms=2)], 2 * RESTART_RETENTION_S)
    assert history.has_restarted("s", 1.0)


def test_versions_of_other_services_do_not_count() -> None:
    history = VersionHistory()
    history.observe([V1, V2._replace(service="t")], 0.0)
    assert history.only_version("s") == "v1"
    assert history.only_version("u") is None


def test_sightings_are_bounded_and_checked() -> None:
    history = VersionHistory()
    history.merge(
        [VersionSighting("s", f"v{n}", 1.0) for n in range(1000)], 10.0
    )
    assert len(history.sightings(10.0)) == MAX_SIGHTINGS
    history = VersionHistory()
    ages_s = (-1.0, RETENTION_S, float("nan"), float("inf"))
    history.merge([VersionSighting("s", "v", age) for age in ages_s], 10.0)
    assert history.sightings(10.0) == ()


def test_beat_without_a_change_makes_nothing_anew(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each node asks at each beat; 600 servers are to be known one day."""
    made: list[str] = []

    def make(service: str, started_ms: int, seen_s: float) -> object:
        made.append(service)
        return process(service, started_ms, seen_s)

    process = version_history._Process
    monkeypatch.setattr(version_history, "_Process", make)
    history = VersionHistory()
    entries = [make_server_entry(f"i-{number}") for number in range(600)]
    for beat in range(100):
        history.observe(entries, beat * 0.2)
    assert len(made) == 600


def test_process_is_remembered_from_its_last_beat() -> None:
    history = VersionHistory()
    first = V1._replace(started_ms=1)
    again = V1._replace(started_ms=2)
    for beat in range(500):
        history.observe([first, V2], beat * 0.2)
    gone_s = 499 * 0.2
    for second in range(1, int(RETENTION_S)):
        history.observe([V2], gone_s + second)
    assert "i-1" in {s.server_id for s in history.starts()["s"]}
    history.observe([again, V2], gone_s + RETENTION_S - 0.1)
    assert history.has_restarted("s", gone_s)
    history.observe([V2], gone_s + RETENTION_S)
    history.observe([V2], gone_s + 2 * RETENTION_S)
    assert {s.server_id for s in history.starts()["s"]} == {"i-2"}


@pytest.mark.parametrize("seed", range(6))
def test_beats_without_a_change_count_like_others(seed: int) -> None:
    rng = random.Random(seed)
    history, reference = VersionHistory(), VersionHistory()
    serving: list[ServerEntry] = []
    now_s = 0.0
    for _ in range(400):
        now_s += rng.choice((0.2, 0.2, 0.2, 5.0, 29.0))
        if rng.random() < 0.3:
            serving = [
                make_server_entry(f"i-{number}")._replace(
                    service=rng.choice("st"),
                    started_ms=rng.randrange(1, 4),
                    software_version=rng.choice(("v1", "v2")),
                )
                for number in rng.sample(range(5), rng.randrange(5))
            ]
        if rng.random() < 0.05:
            noted = [
                make_server_entry("i-1")._replace(
                    started_ms=rng.randrange(1, 4)
                )
            ]
            history.note_starts(noted, now_s)
            reference.note_starts(noted, now_s)
        history.observe(serving, now_s)
        # Makes it look at all servers, as with each beat before.
        reference.note_starts((), now_s)
        reference.observe(serving, now_s)
        assert history.starts() == reference.starts()
        assert history.known_versions() == reference.known_versions()
        assert history.sightings(now_s) == reference.sightings(now_s)
        assert history.uncertain_services(
            now_s
        ) == reference.uncertain_services(now_s)
        for service in "st":
            since_s = now_s - rng.choice((0.0, 1.0, 50.0))
            assert history.has_restarted(
                service, since_s
            ) == reference.has_restarted(service, since_s)
