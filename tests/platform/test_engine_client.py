"""Tests of what engines say of themselves."""

import asyncio

import pytest

from savorylift.platform.engine_client import read_start
from savorylift.wire.listener import Listener
from savorylift.wire.message import Request
from savorylift.wire.request_input import InputLimits
from savorylift.wire.server_connection import ServerConnection
from tests.harness.ports import free_addresses


@pytest.mark.parametrize(
    ("body", "started_ms"),
    [
        (b'{"born": 5}', 5),
        (b'{"born": 5.0}', 0),
        (b'{"born": true}', 0),
        (b'{"born": "5"}', 0),
        (b'{"born": -5}', 0),
        (b'{"born": null}', 0),
        (b"{}", 0),
        (b"[5]", 0),
        (b"5", 0),
        (b"no json", 0),
    ],
)
def test_only_a_whole_number_is_a_start(body: bytes, started_ms: int) -> None:
    async def serve(conn: ServerConnection) -> None:
        assert isinstance(await conn.next_request(), Request)
        conn.respond(200, (), body)
        await conn.channel.drain()
        conn.channel.close()

    async def scenario() -> None:
        host, _, port = free_addresses(1, ["127.0.0.1"])[0].partition(":")
        listener = Listener(serve, InputLimits)
        await listener.start(host, int(port))
        assert await read_start((host, int(port)), 1.0) == started_ms
        listener.stop_accepting()

    asyncio.run(scenario())
