"""Tests of a node's memory while many callers send requests ahead."""

import asyncio
import pathlib
import time

import pytest

from tests.front.misbehaving_callers import (
    CrowdedFleet,
    Place,
    Script,
    run_caller,
)
from tests.front.test_endless_memory import peak_kb
from tests.harness.unread_input import unread_bytes

CALLERS = 1000
BODY_BYTES = 40_000
REQUESTS = 12
DESCRIPTORS = 4100
WATCHED_S = 8.0
ARRIVING_S = 2.0
SAMPLE_S = 0.2
BYTES_PER_KB = 1024
SERVER_DELAY_S = 30.0

pytestmark = [pytest.mark.processes, pytest.mark.alone]


def send_ahead(place: Place) -> Script:
    for _ in range(REQUESTS):
        yield place.head(f"Content-Length: {BODY_BYTES}") + bytes(BODY_BYTES)


@pytest.mark.parametrize("memory_mb", [150, 300])
def test_requests_ahead_leave_a_node_its_memory(
    memory_mb: int, tmp_path: pathlib.Path
) -> None:
    """What it had received and not read took a node above its VM's memory."""

    async def scenario() -> None:
        changes = {"memory_mb": memory_mb}
        fleet = CrowdedFleet(tmp_path, DESCRIPTORS, changes)
        async with fleet.running():
            await fleet.admit_large_requests()
            for server in fleet.service("/safe/"):
                server.delay_s = SERVER_DELAY_S
            process = fleet.processes[fleet.ip]
            place = fleet.places()[0]
            crowd = [
                asyncio.ensure_future(
                    run_caller(
                        fleet.ip,
                        place,
                        send_ahead(place),
                        ARRIVING_S * number / CALLERS,
                    )
                )
                for number in range(CALLERS)
            ]
            unread = 0
            until_s = time.monotonic() + WATCHED_S
            while time.monotonic() < until_s:
                unread = max(unread, unread_bytes(process.pid))
                await asyncio.sleep(SAMPLE_S)
            assert process.is_running
            held = peak_kb(process.pid) * BYTES_PER_KB + unread
            for caller in crowd:
                caller.cancel()
            assert 0 < held <= memory_mb * 1_000_000

    asyncio.run(scenario())
