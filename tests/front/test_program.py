"""Tests of a node's process: settings, signals, start-up."""

import importlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import time

import pytest

from savorylift.front.reload_signal import ReloadSignal
from tests.harness.ports import free_addresses

PROCESS_TIMEOUT_S = 15.0
NODE_ARGS = ["node", "--settings", "s.json"]

pytestmark = pytest.mark.processes


def valid_settings() -> dict[str, object]:
    caller, directory, ready, peer, metrics, store = free_addresses(6)
    return {
        "vm": "vm-1",
        "region": "r",
        "failure_domain": "z",
        "caller_listen": caller,
        "directory_listen": directory,
        "readiness_listen": ready,
        "peer_port": int(peer.rpartition(":")[2]),
        "metrics_port": int(metrics.rpartition(":")[2]),
        "store": store,
        "seeds": [],
        "grace_period_s": 1.0,
        "retry_ratio": 0.2,
        "retry_window_s": 10,
        "retry_slack": 5,
        "entry_ttl_max_s": 5,
    }


def start_node(path: pathlib.Path) -> "subprocess.Popen[str]":
    return subprocess.Popen(
        [sys.executable, "-m", "savorylift.front", str(path)],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        env=os.environ | {"PYTHONUNBUFFERED": "1"},
    )


def read_events_until(process: "subprocess.Popen[str]", name: str) -> list[str]:
    """Returns the logged events up to and including the first `name`."""
    assert process.stdout is not None
    found: list[str] = []
    deadline_s = time.monotonic() + PROCESS_TIMEOUT_S
    while name not in found:
        assert time.monotonic() < deadline_s
        found.append(json.loads(process.stdout.readline())["event"])
    return found


def test_starts_reloads_and_stops(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(valid_settings()))
    process = start_node(path)
    try:
        read_events_until(process, "start")
        path.write_text("{")
        process.send_signal(signal.SIGHUP)
        read_events_until(process, "reload")
        process.send_signal(signal.SIGTERM)
        read_events_until(process, "leaving")
        assert process.wait(PROCESS_TIMEOUT_S) == 0
    finally:
        process.kill()
        process.communicate()


def test_reports_every_error_in_the_settings(tmp_path: pathlib.Path) -> None:
    values = valid_settings() | {"store": "nowhere", "extra": 1}
    del values["vm"]
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(values))
    process = start_node(path)
    _, errors = process.communicate(timeout=PROCESS_TIMEOUT_S)
    assert process.returncode == 2
    for fault in ("vm: missing", "store: ", "extra: unknown key"):
        assert fault in errors


def test_reload_applies_new_seeds(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "settings.json"
    values = valid_settings()
    path.write_text(json.dumps(values))
    process = start_node(path)
    try:
        read_events_until(process, "start")
        path.write_text(json.dumps(values | {"seeds": ["127.0.0.9:1"]}))
        process.send_signal(signal.SIGHUP)
        assert process.stdout is not None
        while True:
            line = json.loads(process.stdout.readline())
            if line["event"] == "reload":
                break
        assert line["changed"] == ["seeds"]
    finally:
        process.kill()
        process.communicate()


@pytest.mark.parametrize("module", ["savorylift.front", "savorylift"])
def test_reload_signal_during_start_up_is_kept(
    module: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    received: list[bool] = []

    def run_node(_path: str, reload_signal: ReloadSignal) -> int:
        os.kill(os.getpid(), signal.SIGHUP)
        received.append(reload_signal.is_received)
        return 0

    before = signal.getsignal(signal.SIGHUP)
    monkeypatch.setattr("savorylift.front.process.run_node", run_node)
    monkeypatch.setattr("savorylift.cli.run_node", run_node)
    args = ["s.json"] if module != "savorylift" else NODE_ARGS
    monkeypatch.setattr(sys, "argv", [module, *args])
    try:
        with pytest.raises(SystemExit, match="0"):
            sys.exit(importlib.import_module(f"{module}.__main__").main())
    finally:
        signal.signal(signal.SIGHUP, before)
    assert received == [True]
