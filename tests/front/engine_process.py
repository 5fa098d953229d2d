"""Engines that are processes, which tests end: the kernel closes all."""

import asyncio
import contextlib
import json
import pathlib
import subprocess
import sys
import time

from tests.harness.process import REPOSITORY_ROOT
from tests.standins.engine_record import (
    EngineCall,
    EngineRecord,
    RecordKind,
    decode_record,
)
from tests.standins.platform_server import PlatformServer

PROGRAM = "tests.standins.platform_engine"
SCALARS = (bool, int, float, str, type(None))
# Attributes that the process counts for itself.
RECORDED = frozenset({"reports", "ended_s"})
# Time after which a process that was asked to end is killed.
PATIENCE_S = 5.0

_Process = subprocess.Popen[bytes]


class EngineProcess(PlatformServer):
    """A `PlatformServer` whose attributes are those of a process.

    Scalar attributes hold there as soon as the process has read them. The
    next process waits for its start beside the one that runs, so that it
    listens at once.

    Attributes:
        calls: Calls that were meant for this engine.
    """

    def __init__(self, server_id: str, directory: pathlib.Path) -> None:
        """Starts no process yet; their errors go to a file in `directory`."""
        self._child: _Process | None = None
        super().__init__(server_id)
        self.ends_in_order = True
        self._log_path = directory / f"{server_id}.log"
        self._next: _Process | None = None
        self._ending: set[_Process] = set()
        self._followers: set[asyncio.Task[None]] = set()
        self._last_born = self.born
        self._earlier_reports = 0
        self.calls: list[EngineCall] = []

    def __setattr__(self, name: str, value: object) -> None:
        """Passes a changed attribute on to the process, if one runs."""
        super().__setattr__(name, value)
        if self._child is not None and _is_passed_on(name, value):
            _send(self._child, {name: value})

    @property
    def is_running(self) -> bool:
        """Whether a process has started and wasn't ended since."""
        return self._child is not None

    async def start(self, port: int) -> None:
        """Lets a process listen, and prepares the next one."""
        assert self._child is None
        self.port = port
        if self.born <= self._last_born:
            self.draw_born()
        self._last_born = self.born
        self._earlier_reports = self.reports
        process = self._next or self._launch()
        self._next = None
        _send(process, self._scalars())
        self._child = process
        lines = await _open_output(process)
        first = await lines.readline()
        assert decode_record(first).kind is RecordKind.LISTENING
        follower = asyncio.ensure_future(self._follow(process, lines))
        self._followers.add(follower)
        self._next = self._launch()

    def draw_born(self) -> None:
        """Sets the time at which the next process is to start, to now."""
        self.born = max(self._last_born + 1, time.time_ns() // 1_000_000)

    def kill(self) -> None:
        """Ends the process with SIGKILL."""
        process, self._child = self._child, None
        if process is not None:
            _kill(process)

    async def terminate(self, patience_s: float = PATIENCE_S) -> None:
        """Ends the process with SIGTERM, and after a time with SIGKILL."""
        process, self._child = self._child, None
        if process is None:
            return
        self._ending.add(process)
        process.terminate()
        with contextlib.suppress(subprocess.TimeoutExpired):
            await asyncio.to_thread(process.wait, patience_s)
        self._ending.discard(process)
        _kill(process)

    def close(self) -> None:
        """Ends all processes."""
        self.kill()
        for process in self._ending:
            _kill(process)
        if self._next is not None:
            _kill(self._next)
            assert self._next.stdout is not None
            self._next.stdout.close()
            self._next = None

    async def _follow(
        self, process: _Process, lines: asyncio.StreamReader
    ) -> None:
        """Takes what a process tells, until its end."""
        while line := await lines.readline():
            self._take(decode_record(line))
        if process is self._child:
            await self._start_after_crash()

    def _take(self, record: EngineRecord) -> None:
        if record.kind is RecordKind.ARRIVAL:
            self.arrivals.append(record.value)
        elif record.kind is RecordKind.REPORT:
            self.reports = self._earlier_reports + int(record.value)
        elif record.kind is RecordKind.FIRST_EVENT:
            self.on_event(int(record.value))
        elif record.call is not None:
            self.calls.append(record.call)

    async def _start_after_crash(self) -> None:
        """Starts again under another ID, as the process ended by itself."""
        self.crashes_s.append(time.monotonic())
        self.kill()
        await asyncio.sleep(self.restart_s)
        earlier_id = self.server_id
        self.server_id = f"{earlier_id.partition('.')[0]}.{self.crashes}"
        await self.start(self.port)
        self.on_restart(earlier_id)

    def _launch(self) -> _Process:
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
            if _is_passed_on(name, value)
        }


def _is_passed_on(name: str, value: object) -> bool:
    if name.startswith("_") or name in RECORDED:
        return False
    return isinstance(value, SCALARS)


def _send(process: _Process, attributes: dict[str, object]) -> None:
    assert process.stdin is not None
    # A process that has crashed reads nothing more.
    with contextlib.suppress(BrokenPipeError):
        process.stdin.write(json.dumps(attributes).encode() + b"\n")
        process.stdin.flush()


async def _open_output(process: _Process) -> asyncio.StreamReader:
    reader = asyncio.StreamReader()
    assert process.stdout is not None
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), process.stdout
    )
    return reader


def _kill(process: _Process) -> None:
    process.kill()
    process.wait()
    assert process.stdin is not None
    with contextlib.suppress(BrokenPipeError):
        process.stdin.close()
