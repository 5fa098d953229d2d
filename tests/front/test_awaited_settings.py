"""Tests of settings that are read while they are being written."""

import json
import pathlib
import time
from collections.abc import Callable

import pytest
from returns.pipeline import is_successful

from savorylift.front import awaited_settings
from savorylift.front.awaited_settings import await_settings
from tests.harness.virtual_time import VirtualClock
from tests.test_settings_file import VALID


class Writer:
    """Writes a settings file while somebody waits for it."""

    def __init__(
        self, monkeypatch: pytest.MonkeyPatch, steps: list[Callable[[], object]]
    ) -> None:
        self.sleeps = 0
        self._clock = VirtualClock()
        self._steps = steps
        monkeypatch.setattr("time.monotonic", self._clock.monotonic)
        monkeypatch.setattr("time.sleep", self._sleep)

    def _sleep(self, duration_s: float) -> None:
        self.sleeps += 1
        self._clock.now_s += duration_s
        if self._steps:
            self._steps.pop(0)()


def test_file_that_is_missing_empty_or_half_written_is_waited_for(
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
    capfd: pytest.CaptureFixture[str],
) -> None:
    path = tmp_path / "s.json"
    text = json.dumps(VALID)
    writer = Writer(
        monkeypatch,
        [
            lambda: path.write_text(""),
            lambda: path.write_text(text[:100]),
            lambda: path.write_text(text),
        ],
    )
    assert await_settings(str(path)).unwrap().vm == VALID["vm"]
    assert writer.sleeps == 3
    errors = capfd.readouterr().err.splitlines()
    assert errors == [f"{path}: no such file or directory; waiting"]


def test_file_that_never_comes_is_reported_after_a_while(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    Writer(monkeypatch, [])
    began_s = time.monotonic()
    result = await_settings(str(tmp_path / "none.json"))
    assert not is_successful(result)
    waited_s = time.monotonic() - began_s
    assert waited_s == pytest.approx(awaited_settings.MAX_WAIT_S, abs=0.1)


def test_faults_of_a_whole_file_are_reported_at_once(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "s.json"
    path.write_text(json.dumps(VALID | {"vm": 3}))
    writer = Writer(monkeypatch, [])
    assert len(await_settings(str(path)).failure()) == 1
    assert writer.sleeps == 0
