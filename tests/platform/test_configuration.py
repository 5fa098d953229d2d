"""Tests of decoding the operators' configuration."""

import json
from collections.abc import Mapping

import pytest
from returns.pipeline import is_successful

from savorylift.platform.configuration import decode_configuration
from savorylift.routing.configuration import Configuration, RouteKind

ROUTE = {
    "name": "r",
    "host": "H.example",
    "pathPrefix": "/a/",
    "kind": "streaming",
    "timeoutMs": 39000,
    "targetLatencyMs": 1800,
    "priority": 1,
    "trafficSplit": [{"service": "s", "weight": 90}],
    "maxAttempts": 2,
    "public": False,
    "streamResumption": True,
    "gapAimMs": 180,
    "newField": 1,
}
SERVICE = {
    "name": "s",
    "healthPath": "/health",
    "coldPerS": 49.0,
    "engine": {
        "slots": 64,
        "kvCapacity": 34415,
        "kvTokenBytes": 35136,
        "linkMbps": 5100.0,
        "moves": True,
        "stride": 4,
    },
}


def decode(fields: Mapping[str, object] = {}) -> Configuration:
    configuration = {"version": 7, "routes": [ROUTE], "services": [SERVICE]}
    return decode_configuration(
        json.dumps(configuration | dict(fields)).encode()
    ).unwrap()


def test_route_times_are_converted_to_seconds() -> None:
    (route,) = decode().routes["h.example"]
    assert route.kind is RouteKind.STREAM
    assert (route.timeout_s, route.objective_s) == (39.0, 1.8)
    assert route.gap_objective_s == 0.18
    assert route.max_attempts == 2
    assert route.is_idempotent


def test_engine_settings_are_decoded() -> None:
    engine = decode().services["s"].engine
    assert engine is not None
    assert (engine.slots, engine.memory_tokens) == (64, 34415)
    assert engine.link_bytes_per_s == 637_500_000
    assert engine.can_move


@pytest.mark.parametrize(
    ("kind", "is_idempotent"),
    [("safe", True), ("unsafe", False), ("streaming", False)],
)
def test_kind_decides_whether_route_is_idempotent(
    kind: str, *, is_idempotent: bool
) -> None:
    route = ROUTE | {"kind": kind, "streamResumption": False}
    (found,) = decode({"routes": [route]}).routes["h.example"]
    assert found.is_idempotent is is_idempotent


def test_routes_are_sorted_by_longest_prefix() -> None:
    routes = [ROUTE | {"pathPrefix": p} for p in ("/", "/a/b/", "/a/")]
    found = decode({"routes": routes}).routes["h.example"]
    assert [route.path_prefix for route in found] == ["/a/b/", "/a/", "/"]


def test_teams_by_key_is_none_only_without_tenants() -> None:
    assert decode().teams_by_key is None
    tenants = [{"name": "t", "apiKeys": ["k1", "k2"], "priority": 1}]
    keys = decode({"tenants": tenants}).teams_by_key
    assert keys is not None
    assert {key: team.name for key, team in keys.items()} == {
        "k1": "t",
        "k2": "t",
    }
    assert decode({"tenants": []}).teams_by_key == {}


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"\xff\xfe",
        b"[]",
        b'{"version": 1}',
        b'{"version": "x", "routes": [], "services": []}',
        json.dumps(
            {"version": 1, "routes": [ROUTE | {"kind": "x"}], "services": []}
        ).encode(),
    ],
)
def test_invalid_configuration_gives_error_message(value: bytes) -> None:
    result = decode_configuration(value)
    assert not is_successful(result)
    assert result.failure()


@pytest.mark.parametrize("path", ["", "/a b", "/\r\nx: y", "/\0", "/\u540d"])
def test_health_path_that_can_not_be_asked_for_is_none(path: str) -> None:
    service = SERVICE | {"healthPath": path}
    assert decode({"services": [service]}).services["s"].health_path is None


@pytest.mark.parametrize("digits", [19, 30, 400])
@pytest.mark.parametrize("name", ["slots", "kvCapacity", "stride"])
def test_number_too_large_for_calculations_is_rejected(
    name: str, digits: int
) -> None:
    engine = {"slots": 1, "kvCapacity": 1, "stride": 1} | {name: 10**digits}
    services = [SERVICE | {"engine": engine}]
    cfg = {"version": 7, "routes": [ROUTE], "services": services}
    assert not is_successful(decode_configuration(json.dumps(cfg).encode()))


@pytest.mark.parametrize("digits", [19, 400])
def test_version_that_none_can_follow_is_rejected(digits: int) -> None:
    cfg = {"version": 10**digits, "routes": [], "services": []}
    assert not is_successful(decode_configuration(json.dumps(cfg).encode()))


@pytest.mark.parametrize("capacity", [0, -5])
def test_engine_without_memory_keeps_no_request_from_an_answer(
    capacity: int,
) -> None:
    service = SERVICE | {"engine": {"slots": 1, "kvCapacity": capacity}}
    engine = decode({"services": [service]}).services["s"].engine
    assert engine is not None
    assert engine.memory_tokens > 0
