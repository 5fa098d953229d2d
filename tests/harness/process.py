"""A child process that is ended with the process that started it."""

import atexit
import pathlib
import signal
import subprocess
import sys
import time
from typing import IO

ROOT = pathlib.Path(__file__).parents[2]
STOP_TIMEOUT_S = 10.0
TAIL_CHARACTERS = 2000


class Process:
    """A Python module run as a child, its output kept in a file."""

    def __init__(self, name: str, directory: pathlib.Path) -> None:
        """Keeps output in `directory` under `name`."""
        self.name = name
        self.log_path = directory / f"{name}.log"
        self._child: subprocess.Popen[str] | None = None

    def start(self, *arguments: str) -> None:
        """Runs `python ARGUMENTS` from the root."""
        with self.log_path.open("a") as log:
            self._start(arguments, log)

    def start_piped(self, *arguments: str) -> IO[str]:
        """Runs `python ARGUMENTS`; returns its standard output."""
        with self.log_path.open("a") as log:
            self._start(arguments, log, subprocess.PIPE)
        assert self._child is not None
        assert self._child.stdout is not None
        return self._child.stdout

    @property
    def is_running(self) -> bool:
        """True until the process has ended."""
        return self._child is not None and self._child.poll() is None

    @property
    def pid(self) -> int:
        """Id of the process."""
        assert self._child is not None
        return self._child.pid

    def freeze(self) -> None:
        """Pauses the process until `thaw`."""
        self._signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Lets a frozen process go on."""
        self._signal(signal.SIGCONT)

    def kill(self) -> None:
        """Ends the process at once."""
        atexit.unregister(self.kill)
        self._signal(signal.SIGKILL)
        self._reap()

    def terminate(self) -> None:
        """Asks the process to end gracefully, without waiting for it."""
        self._signal(signal.SIGTERM)

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Waits for the end and returns the exit code.

        Raises:
            subprocess.TimeoutExpired: It still runs.
        """
        assert self._child is not None
        return self._child.wait(timeout_s)

    def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> None:
        """Ends the process gracefully, or at once after `timeout_s`."""
        self.thaw()
        self.terminate()
        deadline_s = time.monotonic() + timeout_s
        while self.is_running and time.monotonic() < deadline_s:
            time.sleep(0.01)
        self.kill()

    def log_tail(self) -> str:
        """Returns the end of its log file."""
        return self.log_path.read_text(errors="replace")[-TAIL_CHARACTERS:]

    def _start(
        self,
        arguments: tuple[str, ...],
        log: IO[str],
        output: IO[str] | int | None = None,
    ) -> None:
        assert not self.is_running
        self._child = subprocess.Popen(
            [sys.executable, *arguments],
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            stdout=output or log,
            stderr=log,
            text=True,
        )
        atexit.register(self.kill)

    def _signal(self, number: signal.Signals) -> None:
        if self._child is not None and self.is_running:
            self._child.send_signal(number)

    def _reap(self) -> None:
        if self._child is None:
            return
        self._child.wait()
        if self._child.stdout is not None:
            self._child.stdout.close()
