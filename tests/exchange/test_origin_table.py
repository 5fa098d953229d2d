"""Tests of the table of streams' origins."""

import math

import pytest

from savorylift.exchange.origin_table import MAX_ORIGINS, OriginTable
from savorylift.fleet.origin_messages import (
    UNKNOWN_VERSION,
    ServerProcess,
    StreamOrigin,
)

ORIGIN = StreamOrigin("a1", "s", "v1", 30.0)
PROCESS = ServerProcess("i-1", 5, "v1")
UNCERTAIN = ORIGIN._replace(software_version=UNKNOWN_VERSION)


def test_origin_is_found_for_its_time(monkeypatch: pytest.MonkeyPatch) -> None:
    now_s = 100.0
    monkeypatch.setattr("time.monotonic", lambda: now_s)
    table = OriginTable()
    assert table.put(ORIGIN)
    now_s = 110.0
    assert table.find("a1") == ORIGIN._replace(ttl_s=20.0)
    now_s = 130.0
    assert table.find("a1") is None
    table.drop_expired()
    assert list(table) == []


def test_age_of_a_stream_grows_while_it_is_held(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    now_s = 100.0
    monkeypatch.setattr("time.monotonic", lambda: now_s)
    table = OriginTable()
    table.put(UNCERTAIN._replace(process=PROCESS._replace(age_s=2.0)))
    now_s = 110.0
    found = table.find("a1")
    assert found is not None
    assert found.process == PROCESS._replace(age_s=12.0)


def test_stream_begins_once() -> None:
    table = OriginTable()
    table.put(ORIGIN)
    table.put(ORIGIN._replace(software_version="v2"))
    found = table.find("a1")
    assert found is not None
    assert found.software_version == "v1"


@pytest.mark.parametrize(
    ("versions", "kept"),
    [
        ((UNKNOWN_VERSION, "v1"), "v1"),
        ((UNKNOWN_VERSION, "v1", "v2"), "v1"),
        (("v1", UNKNOWN_VERSION), "v1"),
        ((UNKNOWN_VERSION, UNKNOWN_VERSION), UNKNOWN_VERSION),
    ],
)
def test_version_that_becomes_known_later_is_kept(
    versions: tuple[str, ...], kept: str
) -> None:
    table = OriginTable()
    for version in versions:
        assert table.put(ORIGIN._replace(software_version=version))
    found = table.find("a1")
    assert found is not None
    assert found.software_version == kept
    assert found.is_certain is (kept != UNKNOWN_VERSION)


@pytest.mark.parametrize(
    ("origins", "kept"),
    [
        ((UNCERTAIN._replace(process=PROCESS), ORIGIN), ORIGIN),
        ((UNCERTAIN._replace(process=PROCESS), UNCERTAIN), UNCERTAIN),
        ((UNCERTAIN, UNCERTAIN._replace(process=PROCESS)), UNCERTAIN),
        ((ORIGIN, UNCERTAIN._replace(process=PROCESS)), ORIGIN),
    ],
)
def test_process_that_another_one_replaced_is_not_kept(
    monkeypatch: pytest.MonkeyPatch,
    origins: tuple[StreamOrigin, ...],
    kept: StreamOrigin,
) -> None:
    monkeypatch.setattr("time.monotonic", lambda: 100.0)
    table = OriginTable()
    for origin in origins:
        assert table.put(origin)
    assert table.find("a1") == kept


@pytest.mark.parametrize(
    "change",
    [
        {"ttl_s": 0.0},
        {"ttl_s": float("nan")},
        {"ttl_s": float("inf")},
        {"ttl_s": 1e9},
        {"attempt_id": ""},
        {"attempt_id": "a" * 201},
        {"software_version": "v" * 201},
        {"process": PROCESS._replace(age_s=-1.0)},
        {"process": PROCESS._replace(age_s=math.nan)},
        {"process": ServerProcess("i" * 201, 5, "v1")},
        {"process": ServerProcess("i-1", 5, "v" * 201)},
    ],
)
def test_unsound_origin_is_not_kept(change: dict[str, object]) -> None:
    table = OriginTable()
    values = ORIGIN._asdict() | change
    assert not table.put(StreamOrigin(**values))


def test_oldest_origins_yield() -> None:
    table = OriginTable()
    for number in range(MAX_ORIGINS + 5):
        table.put(ORIGIN._replace(attempt_id=f"a{number}"))
    assert len(list(table)) == MAX_ORIGINS
    assert table.find("a0") is None
