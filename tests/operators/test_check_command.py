"""Tests of the command that checks a configuration, and its exit codes."""

import asyncio
import json
import pathlib
import threading
from collections.abc import Iterator
from typing import Any

import pytest

from savorylift.cli import main
from savorylift.platform.store import OPERATORS_TOPIC
from tests.front.environment import configuration, end_other_tasks
from tests.harness.ports import free_addresses
from tests.standins.platform_store import PlatformStore

RULES = "model vine version v1 # noor: first\n"
SETTING = RULES + "set a 1 # ada: trial\n"


def run(*arguments: str) -> int:
    codes: list[int] = []
    main(["rules", "check", *arguments], codes.append)
    return codes[0]


def write(path: pathlib.Path, text: str) -> str:
    path.write_text(text)
    return str(path)


@pytest.fixture
def stored(tmp_path: pathlib.Path) -> Iterator[str]:
    """Yields the address of a store that holds a configuration."""
    (address,) = free_addresses(1)
    loop = asyncio.new_event_loop()
    store = PlatformStore()
    port = int(address.rpartition(":")[2])
    loop.run_until_complete(store.start(port))
    store.add(OPERATORS_TOPIC, "config", configuration(7))
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    yield f"127.0.0.1:{port}"
    loop.call_soon_threadsafe(loop.stop)
    thread.join()
    loop.run_until_complete(end_other_tasks())
    loop.close()


@pytest.mark.parametrize(
    ("text", "code", "out", "err"),
    [
        (RULES, 0, "f: no faults", ""),
        (json.dumps(configuration()), 0, "f: no faults", ""),
        (
            SETTING,
            1,
            "f:2: no_effect: this release doesn't read 'a' (asked for by ada",
            "",
        ),
        (
            json.dumps(configuration() | {"limits": {"maxBodyBytes": 0}}),
            1,
            "f: $.limits.maxBodyBytes: contradiction: 0 lets no request",
            "",
        ),
        ("model vine\n", 2, "", "f:1:11: expected "),
        ("{}", 2, "", "f: $: "),
    ],
)
def test_exit_code_tells_what_was_found(
    text: str,
    code: int,
    out: str,
    err: str,
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    monkeypatch.chdir(tmp_path)
    write(tmp_path / "f", text)
    assert run("f") == code
    printed = capsys.readouterr()
    assert out in printed.out
    assert err in printed.err


def test_missing_file_is_unreadable(tmp_path: pathlib.Path) -> None:
    assert run(str(tmp_path / "none")) == 2


def test_json_has_findings_and_changes(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    old = write(tmp_path / "old", RULES)
    new = write(tmp_path / "new", SETTING)
    assert run(new, "--against", old, "--json") == 1
    printed: dict[str, Any] = json.loads(capsys.readouterr().out)
    assert printed == {
        "file": new,
        "format": "rules",
        "findings": [
            {
                "kind": "no_effect",
                "message": "this release doesn't read 'a'",
                "asked_by": "ada: trial",
                "line": 2,
            }
        ],
        "changes": [
            {
                "kind": "added",
                "entry": "set a",
                "detail": "set a 1",
                "asked_by": "ada: trial",
                "line": 2,
            }
        ],
        "exit_code": 1,
    }


def test_faults_in_json_exit_as_in_text(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert run(write(tmp_path / "f", "model vine\n"), "--json") == 2
    printed = json.loads(capsys.readouterr().out)
    assert printed["exit_code"] == 2
    assert {f["kind"] for f in printed["findings"]} == {"unreadable"}


@pytest.mark.parametrize(
    ("version", "code", "line"),
    [
        (7, 0, "no difference"),
        (
            8,
            0,
            "changed route r-safe- ($.routes[0]): timeoutMs 2000 -> 9000",
        ),
        (6, 1, "contradiction: version 6 isn't above 7"),
    ],
)
def test_configuration_is_compared_with_that_in_force(
    version: int,
    code: int,
    line: str,
    stored: str,
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    cfg: dict[str, Any] = configuration(version)
    if version != 7:
        cfg["routes"][0]["timeoutMs"] = 9000
    path = write(tmp_path / "f", json.dumps(cfg))
    assert run(path, "--against", stored) == code
    assert line in capsys.readouterr().out


def test_rules_are_compared_with_none_in_force(
    stored: str, tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert run(write(tmp_path / "f", RULES), "--against", stored) == 0
    assert "added model vine (line 1, asked" in capsys.readouterr().out


def test_unreadable_configuration_is_not_called_the_same(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    other = write(tmp_path / "other", json.dumps(configuration()))
    assert run(write(tmp_path / "f", "{}"), "--against", other) == 2
    assert "no difference" not in capsys.readouterr().out


@pytest.mark.parametrize("against", ["{}", RULES])
def test_other_version_that_cannot_be_read_is_no_finding(
    against: str, tmp_path: pathlib.Path
) -> None:
    path = write(tmp_path / "f", json.dumps(configuration()))
    other = write(tmp_path / "other", against)
    assert run(path, "--against", other) == 2


def test_store_that_does_not_answer_is_no_finding(
    tmp_path: pathlib.Path,
) -> None:
    (address,) = free_addresses(1)
    path = write(tmp_path / "f", RULES)
    assert run(path, "--against", address) == 2


@pytest.mark.parametrize("options", [[], ["--json"]])
def test_bytes_that_are_not_utf8_are_shown_as_such(
    options: list[str],
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """The comparison ended with a traceback."""
    path = tmp_path / "f"
    path.write_bytes(b"set a 1 # ada: \xff\n")
    other = write(tmp_path / "other", "")
    assert run(str(path), "--against", other, *options) == 2
    printed = capsys.readouterr()
    assert "ada: \ufffd" in printed.out
    printed.out.encode()


def test_path_that_cannot_be_looked_up_is_no_finding(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """The check ended with a traceback."""
    path = write(tmp_path / "f", RULES)
    assert run(path, "--against", "x" * 5000) == 2
    assert "name too long" in capsys.readouterr().err
