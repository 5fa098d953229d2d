"""Tests of reading and validating settings files."""

import json
import pathlib
from typing import Any

import pytest
from returns.pipeline import is_successful

from savorylift.front.settings import FrontSettings
from savorylift.settings_file import (
    check_settings,
    read_settings,
    read_unknown,
)

VALID: dict[str, Any] = {
    "vm": "vm-1",
    "region": "r",
    "failure_domain": "anjara",
    "caller_listen": "127.0.0.1:8001",
    "directory_listen": "127.0.0.1:8002",
    "readiness_listen": "127.0.0.1:8003",
    "peer_port": 8004,
    "metrics_port": 8005,
    "store": "127.0.0.1:9000",
    "seeds": [],
    "grace_period_s": 8,
    "retry_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 5,
    "entry_ttl_max_s": 5,
}


def faults(change: dict[str, Any], drop: str = "") -> list[str]:
    data = {k: v for k, v in (VALID | change).items() if k != drop}
    result = check_settings(data, "s.json", FrontSettings)
    assert not is_successful(result)
    return [str(fault) for fault in result.failure()]


def test_missing_optional_settings_get_defaults() -> None:
    settings = check_settings(VALID, "s.json", FrontSettings).unwrap()
    assert settings.interface == "platform"
    assert settings.request_timeout_s == 60.0
    assert settings.caller_tls is None


def test_nested_objects_and_mappings_are_read() -> None:
    tls = {"certificate": "c.pem", "private_key": "k.pem"}
    change = {"caller_tls": tls, "regions": {"anjara": "ajloun"}}
    settings = check_settings(VALID | change, "s.json", FrontSettings).unwrap()
    assert settings.caller_tls is not None
    assert settings.caller_tls.private_key == "k.pem"
    assert settings.regions == {"anjara": "ajloun"}


@pytest.mark.parametrize(
    ("change", "drop", "expected"),
    [
        ({}, "failure_domain", "s.json: failure_domain: missing"),
        ({"vm": 3}, "", "s.json: vm: expected str, got int"),
        (
            {"caller_listen": "127.0.0.999:80"},
            "",
            (
                "s.json: caller_listen: bad address '127.0.0.999:80', "
                "expected ip:port"
            ),
        ),
        (
            {"store": "127.0.0.1:99999"},
            "",
            "s.json: store: bad address '127.0.0.1:99999', expected ip:port",
        ),
        (
            {"grace_period_s": -1.0},
            "",
            "s.json: grace_period_s: expected float > 0.0",
        ),
        (
            {"caller_tls": {"certificat": "x"}},
            "",
            "s.json: caller_tls: unknown key 'certificat'",
        ),
        (
            {"caller_tls": {"certificate": "x"}},
            "",
            "s.json: caller_tls: missing key 'private_key'",
        ),
        (
            {"interface": "other"},
            "",
            "s.json: interface: invalid enum value 'other'",
        ),
    ],
)
def test_each_fault_names_its_key(
    change: dict[str, Any], drop: str, expected: str
) -> None:
    assert faults(change, drop) == [expected]


@pytest.mark.parametrize("key", ["color", "retry_slak"])
def test_unknown_keys_are_ignored_and_named(
    key: str, tmp_path: pathlib.Path
) -> None:
    path = tmp_path / "s.json"
    path.write_text(json.dumps(VALID | {key: 1}))
    settings = read_settings(str(path), FrontSettings).unwrap()
    assert settings == check_settings(VALID, "", FrontSettings).unwrap()
    ignored = read_unknown(str(path), FrontSettings)
    assert [str(fault) for fault in ignored] == [f"{path}: {key}: unknown key"]


def test_keys_without_a_value_have_their_default() -> None:
    for key, default in FrontSettings._field_defaults.items():
        data = VALID | {key: None}
        settings = check_settings(data, "s.json", FrontSettings).unwrap()
        assert getattr(settings, key) == default


@pytest.mark.parametrize("key", ["vm", "caller_listen", "peer_port", "store"])
def test_needed_keys_without_a_value_are_faults(key: str) -> None:
    assert [line.split(": ")[1] for line in faults({key: None})] == [key]


def test_whole_numbers_may_be_written_with_a_fraction() -> None:
    change = {"memory_mb": 300.0, "descriptors": 4100.0, "peer_port": 8004.0}
    settings = check_settings(VALID | change, "s.json", FrontSettings).unwrap()
    assert (settings.memory_mb, settings.descriptors) == (300, 4100)
    assert isinstance(settings.memory_mb, int)
    assert faults({"memory_mb": 300.5}) != []


def test_all_faults_are_reported_at_once() -> None:
    assert len(faults({"color": 1, "vm": 3}, drop="peer_port")) == 3


def test_unreadable_files_are_reported(tmp_path: pathlib.Path) -> None:
    missing = read_settings(str(tmp_path / "none.json"), FrontSettings)
    assert "no such file" in str(missing.failure()[0])
    broken = tmp_path / "broken.json"
    broken.write_text("{")
    found = read_settings(str(broken), FrontSettings)
    assert "not JSON" in str(found.failure()[0])
    broken.write_text("[" * 100_000)
    found = read_settings(str(broken), FrontSettings)
    assert "not JSON" in str(found.failure()[0])
    broken.write_text(json.dumps(VALID))
    assert is_successful(read_settings(str(broken), FrontSettings))
