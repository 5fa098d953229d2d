"""Tests of decoding the entries of backend servers."""

import json
from typing import Any

import pytest
from returns.pipeline import is_successful

from savorylift.platform.backend_servers import decode_server

ENTRY = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "coldRemainingMs": 1500,
    "sequence": 3,
    "born": 99,
}


def test_entry_fields_are_decoded() -> None:
    entry = decode_server("i", json.dumps(ENTRY).encode()).unwrap()
    assert entry.address == ("10.0.0.1", 80)
    assert entry.cold_s == 1.5
    assert not entry.is_leaving
    assert (entry.started_ms, entry.sequence) == (99, 3)
    assert entry.software_version == "v1"


DEEP = 100_000


@pytest.mark.parametrize(
    "value",
    [
        b"[" * DEEP,
        b"[" * DEEP + b"]" * DEEP,
        b'{"a":' * DEEP + b"1" + b"}" * DEEP,
        b'{"service":' + b"[" * DEEP + b"]" * DEEP + b"}",
        b'{"x":' + b'{"y":' * DEEP + b"1" + b"}" * (DEEP + 1),
        json.dumps(ENTRY)[:-1].encode() + b',"x":' + b"[" * DEEP,
    ],
)
def test_deeply_nested_entry_is_rejected(value: bytes) -> None:
    assert not is_successful(decode_server("i", value))


@pytest.mark.parametrize("field", ["slots", "sequence", "born"])
@pytest.mark.parametrize("number", ["9" * 30, "9" * 400, "9" * 9999, "1e999"])
def test_entry_with_a_number_too_large_is_rejected(
    field: str, number: str
) -> None:
    entry = json.dumps(ENTRY | {field: 7777}).replace("7777", number)
    assert not is_successful(decode_server("i", entry.encode()))


@pytest.mark.parametrize("port", ["9" * 5000, "0" * 5000 + "80", "\u0661", ""])
def test_entry_with_an_endless_port_keeps_no_other_from_being_read(
    port: str,
) -> None:
    entry = json.dumps(ENTRY | {"address": f"10.0.0.1:{port}"}).encode()
    assert not is_successful(decode_server("i", entry))


@pytest.mark.parametrize(
    "server_id", ["", "a\r\nb: c", "\0", "a\x7f", " a", "a ", "\u540d"]
)
def test_server_whose_id_no_header_can_hold_gets_no_requests(
    server_id: str,
) -> None:
    entry = json.dumps(ENTRY).encode()
    assert not is_successful(decode_server(server_id, entry))


@pytest.mark.parametrize(
    "server_id", ["i", "pool-3.f7a1", "a b", "a/b:c~1", "\xe9"]
)
def test_usual_server_ids_are_accepted(server_id: str) -> None:
    assert is_successful(decode_server(server_id, json.dumps(ENTRY).encode()))


def test_draining_state_marks_server_as_leaving() -> None:
    value = json.dumps(ENTRY | {"state": "draining"}).encode()
    assert decode_server("i", value).unwrap().is_leaving


@pytest.mark.parametrize(
    "change",
    [
        {"state": "resting"},
        {"state": None},
        {"service": 3},
        {"address": "host:80"},
        {"address": "10.0.0.1"},
        {"address": "10.0.0.1:0"},
        {"address": "10.0.0.1:99999"},
        {"slots": "6"},
        {"slots": 0},
        {"sequence": 1.5},
        {"zone": []},
        {"version": 1},
    ],
)
def test_entry_with_invalid_field_is_rejected(change: dict[str, Any]) -> None:
    result = decode_server("i", json.dumps(ENTRY | change).encode())
    assert not is_successful(result)


@pytest.mark.parametrize("field", ["service", "address", "zone", "state"])
def test_entry_without_required_field_is_rejected(field: str) -> None:
    entry = {key: value for key, value in ENTRY.items() if key != field}
    assert not is_successful(decode_server("i", json.dumps(entry).encode()))


@pytest.mark.parametrize("value", [b"", b"\xff", b"null", b"{", b"3"])
def test_undecodable_value_is_rejected(value: bytes) -> None:
    assert not is_successful(decode_server("i", value))
