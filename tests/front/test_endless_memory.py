"""Tests of a node's memory while servers send bytes without end."""

import asyncio
import contextlib
import pathlib

import pytest

from tests.front.process_fleet import ProcessFleet
from tests.front.test_endless_bytes import BLOCK, CHUNKED, HEAD
from tests.front.test_fair_input import PacedServer

# Memory of the smallest VM.
MAX_NODE_KB = 150_000
CALLS = 400
# Longer than the calls may take.
WATCHED_S = 5.0
SERVERS = 2

pytestmark = pytest.mark.processes


def peak_kb(pid: int) -> int:
    """Returns the largest resident size of a process so far."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    lines = dict(line.split(":", 1) for line in status.splitlines())
    return int(lines["VmHWM"].split()[0])


@pytest.mark.parametrize(
    ("path", "head", "block"),
    [
        pytest.param("/once/", HEAD + b"\r\n", BLOCK, id="body"),
        pytest.param("/once/", HEAD, b"x: y\r\n" * 1000, id="head"),
        pytest.param("/safe/", b"", BLOCK, id="no head"),
        pytest.param(
            "/stream/", CHUNKED, b"10000\r\n" + BLOCK + b"\r\n", id="stream"
        ),
    ],
)
def test_many_answers_without_end_leave_a_node_its_memory(
    path: str, head: bytes, block: bytes, tmp_path: pathlib.Path
) -> None:
    """A node that kept what faulty servers sent ran out of memory."""

    async def scenario() -> None:
        fleet = ProcessFleet(1, SERVERS, tmp_path)
        async with fleet.running(), contextlib.AsyncExitStack() as stack:
            for server in fleet.service(path):
                server.stop()
                endless = PacedServer(server.port, head, block)
                stack.enter_context(endless.listening())
            (ip,) = fleet.ips
            for _ in range(CALLS):
                fleet.start_call(ip, path)
            await asyncio.sleep(WATCHED_S)
            process = fleet.processes[ip]
            assert process.is_running
            assert peak_kb(process.pid) < MAX_NODE_KB

    asyncio.run(scenario())
