"""Tests of nodes that start while something isn't as it should be."""

import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Iterator

import pytest

from tests.front.test_program import PROCESS_TIMEOUT_S, valid_settings

WRITING_S = 0.5
POLL_S = 0.02

pytestmark = pytest.mark.processes


class StartedNode:
    """A node's process, whose output goes to a file."""

    def __init__(self, directory: pathlib.Path) -> None:
        self.settings_path = directory / "settings.json"
        self._log_path = directory / "log"
        self._process: subprocess.Popen[bytes] | None = None

    def start(self, before: Callable[[], object] | None = None) -> None:
        """Starts the process.

        Args:
            before: Called in the process before the program.
        """
        with self._log_path.open("wb") as log:
            self._process = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "savorylift.front",
                    str(self.settings_path),
                ],
                stdout=log,
                stderr=log,
                preexec_fn=before,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        assert self._process is not None
        self._process.send_signal(number)

    def wait_for_event(self, name: str) -> dict[str, object]:
        """Returns the first line logged for an event."""
        until_s = time.monotonic() + PROCESS_TIMEOUT_S
        while True:
            for event in self._events():
                if event["event"] == name:
                    return event
            assert self.is_running, self._log_path.read_text()
            assert time.monotonic() < until_s
            time.sleep(POLL_S)

    def count_events(self, name: str) -> int:
        """Returns how many lines were logged for an event."""
        return sum(event["event"] == name for event in self._events())

    def _events(self) -> Iterator[dict[str, object]]:
        for line in self._log_path.read_text().splitlines():
            if line.startswith("{"):
                yield json.loads(line)

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process is not None and self._process.poll() is None

    def kill(self) -> None:
        """Ends the process."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()


@pytest.fixture
def node(tmp_path: pathlib.Path) -> Iterator[StartedNode]:
    started = StartedNode(tmp_path)
    yield started
    started.kill()


@pytest.mark.parametrize("share", [None, 0.0, 0.3, 0.99])
def test_node_starts_once_its_settings_are_written(
    share: float | None, node: StartedNode
) -> None:
    text = json.dumps(valid_settings())
    if share is not None:
        node.settings_path.write_text(text[: int(share * len(text))])
    node.start()
    time.sleep(WRITING_S)
    assert node.is_running
    node.settings_path.write_text(text)
    node.wait_for_event("start")


def test_node_starts_with_settings_of_a_later_build(node: StartedNode) -> None:
    change = {
        "new_field": {"a": 1},
        "memory_mb": 300.0,
        "descriptors": None,
        "seeds": None,
        "retry_slack": None,
    }
    node.settings_path.write_text(json.dumps(valid_settings() | change))
    node.start()
    node.wait_for_event("start")
    assert node.wait_for_event("setting_ignored")["key"] == "new_field"


def test_node_whose_settings_are_being_written_reloads_them_once_whole(
    node: StartedNode,
) -> None:
    settings = valid_settings()
    node.settings_path.write_text(json.dumps(settings))
    node.start()
    node.wait_for_event("start")
    text = json.dumps(settings | {"seeds": ["127.0.0.9:1"]})
    node.settings_path.write_text(text[:100])
    node.send_signal(signal.SIGHUP)
    assert "faults" in node.wait_for_event("reload")
    time.sleep(WRITING_S)
    node.settings_path.write_text(text)
    until_s = time.monotonic() + PROCESS_TIMEOUT_S
    while node.count_events("reload") < 2:
        assert time.monotonic() < until_s
        time.sleep(POLL_S)


@pytest.mark.parametrize("closed", [(1,), (0, 1, 2)])
def test_node_starts_without_standard_streams(
    closed: tuple[int, ...], node: StartedNode
) -> None:
    def close() -> None:
        for descriptor in closed:
            os.close(descriptor)

    node.settings_path.write_text(json.dumps(valid_settings()))
    node.start(close)
    time.sleep(WRITING_S)
    assert node.is_running


@pytest.mark.parametrize("stream", ["reader_gone", "full_disk", "unread_pipe"])
def test_node_whose_errors_nobody_reads_starts_once_its_settings_are_written(
    stream: str, node: StartedNode
) -> None:
    reader, writer = os.pipe()
    if stream == "reader_gone":
        os.close(reader)
    elif stream == "full_disk":
        os.close(writer)
        writer = os.open("/dev/full", os.O_WRONLY)
    else:
        os.set_blocking(writer, False)
        with contextlib.suppress(BlockingIOError):
            while True:
                os.write(writer, b"x" * 4096)
        os.set_blocking(writer, True)
    node.settings_path.write_text("")
    node.start(lambda: os.dup2(writer, 2))
    time.sleep(WRITING_S)
    assert node.is_running
    node.settings_path.write_text(json.dumps(valid_settings()))
    node.wait_for_event("start")
