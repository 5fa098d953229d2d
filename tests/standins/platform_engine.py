"""A simulated engine of the platform in a process of its own.

Run as `python -m tests.standins.platform_engine`. It reads a line from its
standard input: a JSON object of `PlatformServer` attributes, its port among
them. Then it listens, and prints an `EngineRecord` for this and for all that
follows. Later lines change attributes. SIGTERM closes the listener, then one
connection after the other, and ends the process.
"""

import asyncio
import contextlib
import json
import os
import signal
import sys
import time

from savorylift.wire.client_call import BrokenAnswerError, fetch
from tests.standins.engine_record import (
    EngineCall,
    EngineRecord,
    RecordKind,
    encode_record,
)
from tests.standins.platform_server import (
    COPY_TARGET,
    FIRST_EVENT,
    KvCopy,
    PlatformServer,
)

COPY_TIMEOUT_S = 1.0
# Longest time that a process takes to close its connections: a peer that
# doesn't read delays its own.
MAX_CLOSING_S = 2.0


async def serve() -> None:
    """Serves as its input says, until the process or its input ends."""
    lines = await _open_input()
    first = await lines.readline()
    if not first:
        return
    engine = PlatformEngine()
    _set_attributes(engine, first)
    is_asked_to_end = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, is_asked_to_end.set)
    await engine.start(engine.port)
    _write(RecordKind.LISTENING)
    reading = asyncio.ensure_future(_read_changes(engine, lines))
    ending = asyncio.ensure_future(is_asked_to_end.wait())
    await asyncio.wait({reading, ending}, return_when=asyncio.FIRST_COMPLETED)
    if ending.done():
        await engine.end()


class PlatformEngine(PlatformServer):
    """A `PlatformServer` that is a whole process, and writes its records."""

    def __init__(self) -> None:
        """Creates an engine whose attributes are yet to be set."""
        super().__init__("")
        self.on_event = _write_first_event

    async def end(self) -> None:
        """Stops to listen, and closes its connections one by one."""
        self.stop()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MAX_CLOSING_S):
                await self.end_all(self.close_interval_s)

    async def crash(self) -> None:
        """Ends the process; the test starts another one."""
        os.kill(os.getpid(), signal.SIGKILL)

    def _record_arrival(self) -> None:
        super()._record_arrival()
        _write(RecordKind.ARRIVAL, self.arrivals[-1])

    def _record_report(self) -> None:
        super()._record_report()
        _write(RecordKind.REPORT, self.reports)

    def _record_call(self, attempt_id: str) -> None:
        call = EngineCall(
            attempt_id, self.born, self.says_leaving, time.monotonic()
        )
        _write(RecordKind.CALL, call=call)

    async def _send_copy(self, port: int, handle: str, copy: KvCopy) -> bool:
        """Sends a copy of a run to the process of another engine."""
        body = json.dumps({"handle": handle, **copy._asdict()}).encode()
        try:
            response = await fetch(
                ("127.0.0.1", port),
                "POST",
                COPY_TARGET,
                body=body,
                timeout_s=COPY_TIMEOUT_S,
                connect_timeout_s=COPY_TIMEOUT_S,
            )
        except (OSError, BrokenAnswerError):
            return False
        return response.status == 200


async def _read_changes(
    engine: PlatformEngine, lines: asyncio.StreamReader
) -> None:
    while line := await lines.readline():
        _set_attributes(engine, line)


def _set_attributes(engine: PlatformEngine, line: bytes) -> None:
    for name, value in json.loads(line).items():
        assert hasattr(engine, name), name
        setattr(engine, name, value)


def _write_first_event(number: int) -> None:
    if number == FIRST_EVENT:
        _write(RecordKind.FIRST_EVENT, number)


def _write(
    kind: RecordKind, value: float = 0.0, call: EngineCall | None = None
) -> None:
    sys.stdout.buffer.write(encode_record(EngineRecord(kind, value, call)))
    sys.stdout.buffer.flush()


async def _open_input() -> asyncio.StreamReader:
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    return reader


if __name__ == "__main__":
    asyncio.run(serve())
