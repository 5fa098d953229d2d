"""Tests of connections that callers use for more than one request."""

import asyncio
import pathlib
from typing import NamedTuple

import pytest

from savorylift.wire.channel import Channel
from savorylift.wire.client_call import BrokenAnswerError, ClientCall
from savorylift.wire.connecting import connect
from savorylift.wire.message import Headers
from tests.front.environment import run_with_timeout
from tests.front.process_fleet import ProcessFleet

CALLERS = 10
# Longer than the node serves after SIGTERM.
EVENTS = 400
EVENT_INTERVAL_S = 0.02
BEGUN_S = 0.6
CALL_TIMEOUT_S = 8.0
HEADERS: Headers = (
    ("host", "h.example"),
    ("x-savorylift-deadline-remaining", "6000"),
    ("x-api-key", "key"),
    ("x-savorylift-token-counts", "100,50"),
)
# What a caller may have asked for on its connection before.
EARLIER_PATHS = ("/unknown/x", "/once/x")


class Stream(NamedTuple):
    """What a caller got of a stream.

    Attributes:
        status: Status of the response; 0 if there was none.
        events: Number of complete events.
        looks_whole: Whether the connection ended in order.
    """

    status: int
    events: int
    looks_whole: bool


async def call(channel: Channel, path: str, attempt: str) -> Stream:
    """Sends a request on an open connection and reads its response."""
    status, data = 0, b""
    try:
        async with asyncio.timeout(CALL_TIMEOUT_S):
            conn = ClientCall(channel)
            headers = (*HEADERS, ("x-savorylift-attempt-id", attempt))
            conn.send("POST", path, headers, b"question " + attempt.encode())
            status = (await conn.read_head()).status
            while (chunk := await conn.read_body_chunk()) is not None:
                data += chunk
    except (BrokenAnswerError, OSError):
        return Stream(status, data.count(b"\n\n"), looks_whole=False)
    return Stream(status, data.count(b"\n\n"), looks_whole=True)


@pytest.mark.processes
@pytest.mark.parametrize("earlier", [None, *EARLIER_PATHS])
@pytest.mark.parametrize("path", ["/resumable/x", "/stream/x"])
def test_stream_cut_off_by_the_end_of_its_node_does_not_look_whole(
    path: str, earlier: str | None, tmp_path: pathlib.Path
) -> None:
    async def caller(fleet: ProcessFleet, number: int) -> Stream:
        channel = await connect(fleet.ips[0], fleet.caller_port, 1.0)
        if earlier is not None:
            first = await call(channel, earlier, f"first{number}")
            assert first.status in (200, 404)
            assert first.looks_whole
        return await call(channel, path, f"s{number}")

    async def scenario() -> None:
        fleet = ProcessFleet(1, 5, tmp_path)
        async with fleet.running():
            for server in fleet.pool:
                server.has_unframed_streams = True
                server.events_per_stream = EVENTS
                server.event_interval_s = EVENT_INTERVAL_S
            calls = [
                asyncio.ensure_future(caller(fleet, number))
                for number in range(CALLERS)
            ]
            await asyncio.sleep(BEGUN_S)
            process = fleet.processes[fleet.ips[0]]
            process.terminate()
            streams = await asyncio.gather(*calls)
        begun = [stream for stream in streams if stream.status == 200]
        assert len(begun) == CALLERS
        assert all(0 < stream.events < EVENTS for stream in begun)
        assert not [stream for stream in begun if stream.looks_whole]

    run_with_timeout(scenario())
