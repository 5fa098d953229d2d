"""Tests of the settings file's checks."""

import json
import pathlib
from typing import Any

import pytest
from returns.pipeline import is_successful

from savorylift.settings_file import check_settings, read_settings

GOOD: dict[str, Any] = {
    "vm": "entry-1",
    "failure_domain": "anjara",
    "caller_listen": "127.0.0.1:8001",
    "peer_listen": "127.0.0.1:8002",
    "operator_listen": "127.0.0.1:8003",
    "log_urls": ["http://127.0.0.1:9000"],
    "vm_list_urls": ["http://127.0.0.1:9001"],
    "ticket_keys": [{"key_id": "k1", "secret": "0123456789abcdef"}],
}


def faults(change: dict[str, Any], drop: str = "") -> list[str]:
    data = {k: v for k, v in (GOOD | change).items() if k != drop}
    result = check_settings(data, "s.json")
    assert not is_successful(result)
    return [str(fault) for fault in result.failure()]


def test_good_settings_get_defaults() -> None:
    settings = check_settings(GOOD, "s.json").unwrap()
    assert settings.timing.stale_after_s == 2.0
    assert settings.ticket_keys[0].secret == "0123456789abcdef"
    assert "0123456789abcdef" not in repr(settings)


def test_nested_settings_are_read() -> None:
    change = {"timing": {"stale_after_s": 1}, "caller_tls": None}
    settings = check_settings(GOOD | change, "s.json").unwrap()
    assert settings.timing.stale_after_s == 1.0


@pytest.mark.parametrize(
    ("change", "drop", "expected"),
    [
        ({"color": 1}, "", "s.json: color: unknown key"),
        ({}, "failure_domain", "s.json: failure_domain: missing"),
        (
            {"vm": 3},
            "",
            "s.json: vm: expected str, got int",
        ),
        (
            {"caller_listen": "127.0.0.999:80"},
            "",
            (
                "s.json: caller_listen: bad address '127.0.0.999:80', "
                "expected ip:port"
            ),
        ),
        (
            {"log_urls": ["http://127.0.0.1:99999"]},
            "",
            "s.json: log_urls: bad address '127.0.0.1:99999', expected ip:port",
        ),
        (
            {"timing": {"stale_after_s": -1.0}},
            "",
            "s.json: timing.stale_after_s: expected float > 0.0",
        ),
        ({"bounds": 3}, "", "s.json: bounds: expected an object"),
        (
            {"ticket_keys": [{"key_id": "a", "secrt": "x"}]},
            "",
            "s.json: ticket_keys: unknown key 'secrt'",
        ),
        (
            {"ticket_keys": [{"key_id": "a"}]},
            "",
            "s.json: ticket_keys: missing key 'secret'",
        ),
    ],
)
def test_each_fault_names_its_key(
    change: dict[str, Any], drop: str, expected: str
) -> None:
    assert faults(change, drop) == [expected]


def test_all_faults_come_in_one_run() -> None:
    assert len(faults({"color": 1, "vm": 3}, drop="peer_listen")) == 3


def test_unreadable_files_are_faults(tmp_path: pathlib.Path) -> None:
    missing = read_settings(str(tmp_path / "none.json"))
    assert "no such file" in str(missing.failure()[0])
    broken = tmp_path / "broken.json"
    broken.write_text("{")
    assert "not JSON" in str(read_settings(str(broken)).failure()[0])
    broken.write_text(json.dumps(GOOD))
    assert is_successful(read_settings(str(broken)))
