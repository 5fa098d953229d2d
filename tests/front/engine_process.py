"""Engines that are processes, which tests kill: the kernel closes all."""

import asyncio
import json
import pathlib
import subprocess
import sys

from tests.harness.process import REPOSITORY_ROOT
from tests.standins.platform_server import PlatformServer

PROGRAM = "tests.standins.platform_engine"
SCALARS = (bool, int, float, str, type(None))


class EngineProcess(PlatformServer):
    """A `PlatformServer` whose attributes are those of a process.

    Attributes that are set before `start` hold there. The next process waits
    for its start beside the one that runs, so that it listens at once.
    """

    def __init__(self, server_id: str, directory: pathlib.Path) -> None:
        """Starts no process yet; their errors go to a file in `directory`."""
        super().__init__(server_id)
        self.ends_in_order = True
        self._log_path = directory / f"{server_id}.log"
        self._next: subprocess.Popen[bytes] | None = None
        self._running_process: subprocess.Popen[bytes] | None = None

    @property
    def is_running(self) -> bool:
        """Whether a process has started and was not killed since."""
        return self._running_process is not None

    async def start(self, port: int) -> None:
        """Lets a process listen, and prepares the next one."""
        assert self._running_process is None
        self.port = port
        process = self._next or self._launch()
        self._next = None
        assert process.stdin is not None
        assert process.stdout is not None
        process.stdin.write(json.dumps(self._scalars()).encode() + b"\n")
        process.stdin.flush()
        line = await asyncio.to_thread(process.stdout.readline)
        self.born = int(line)
        self._running_process = process
        self._next = self._launch()

    def kill(self) -> None:
        """Ends the process with SIGKILL."""
        process, self._running_process = self._running_process, None
        _end(process)

    def close(self) -> None:
        """Ends all processes."""
        self.kill()
        process, self._next = self._next, None
        _end(process)

    def _launch(self) -> subprocess.Popen[bytes]:
        with self._log_path.open("ab") as log:
            return subprocess.Popen(
                [sys.executable, "-m", PROGRAM],
                cwd=REPOSITORY_ROOT,
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=log,
            )

    def _scalars(self) -> dict[str, object]:
        return {
            name: value
            for name, value in vars(self).items()
            if not name.startswith("_") and isinstance(value, SCALARS)
        }


def _end(process: subprocess.Popen[bytes] | None) -> None:
    if process is None:
        return
    process.kill()
    process.wait()
    assert process.stdin is not None
    assert process.stdout is not None
    process.stdin.close()
    process.stdout.close()
