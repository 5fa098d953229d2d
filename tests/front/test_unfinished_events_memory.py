"""Tests of a node's memory while many streams stop within an event."""

import asyncio
import contextlib
import pathlib
import re

import pytest

from tests.front.process_fleet import ProcessFleet
from tests.front.test_endless_bytes import CHUNKED
from tests.front.test_endless_memory import MAX_NODE_KB, peak_kb
from tests.front.test_fair_input import PacedServer

# Each takes some two dozen streams of a node.
SERVERS = 36
CALLS = 800
# What one event may have, but for the last few kilobytes.
UNFINISHED = b"data: a\n\ndata: " + b"x" * 250_000
CHUNK = b"%x\r\n%b\r\n" % (len(UNFINISHED), UNFINISHED)
WATCHED_S = 4.0
ATTEMPT = re.compile(rb"(?i)x-savorylift-attempt-id: *([^\r]*)")

pytestmark = pytest.mark.processes


class StoppingServer(PacedServer):
    """Sends a beginning, and then nothing until the caller closes."""

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        endings = ConnectionError, EOFError, asyncio.CancelledError
        with contextlib.suppress(*endings), contextlib.closing(writer):
            request = await reader.readuntil(b"\r\n\r\n")
            self.connections += 1
            found = ATTEMPT.search(request)
            attempt = b"" if found is None else found[1]
            writer.write(self._head.replace(b"a1", attempt, 1))
            await reader.read()


def test_unfinished_events_of_many_streams_leave_a_node_its_memory(
    tmp_path: pathlib.Path,
) -> None:
    """Each event was bounded, but not what all streams held together."""

    async def scenario() -> None:
        fleet = ProcessFleet(1, SERVERS, tmp_path)
        async with fleet.running(), contextlib.AsyncExitStack() as stack:
            stopping = []
            for server in fleet.service("/stream/"):
                server.stop()
                stopping.append(
                    StoppingServer(server.port, CHUNKED + CHUNK, b"x")
                )
                stack.enter_context(stopping[-1].listening())
            (ip,) = fleet.ips
            for _ in range(CALLS):
                fleet.start_call(ip, "/stream/")
            await asyncio.sleep(WATCHED_S)
            process = fleet.processes[ip]
            assert process.is_running
            assert sum(each.connections for each in stopping) > CALLS // 2
            assert peak_kb(process.pid) < MAX_NODE_KB

    asyncio.run(scenario())
