"""Tests of what the system receives for connections that aren't read."""

import asyncio

import pytest

from savorylift.wire.connecting import connect
from savorylift.wire.listener import Listener
from savorylift.wire.purpose import Purpose
from savorylift.wire.request_input import InputLimits
from savorylift.wire.server_connection import ServerConnection
from tests.harness.ports import free_addresses
from tests.harness.unread_input import unread_bytes

MAX_UNREAD_BYTES = 32_768
SENT_BYTES = 2_000_000
SETTLE_S = 0.5


def test_requests_ahead_of_a_caller_stay_with_it() -> None:
    """The system held hundreds of KB of each, and a node counted none."""

    async def serve(conn: ServerConnection) -> None:
        await conn.next_request()
        await asyncio.Event().wait()

    async def scenario() -> None:
        host, _, port = free_addresses(1)[0].rpartition(":")
        listener = Listener(serve, InputLimits)
        await listener.start(host, int(port))
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        writer.write(bytes(SENT_BYTES))
        await asyncio.sleep(SETTLE_S)
        assert 0 < unread_bytes(port=int(port)) <= MAX_UNREAD_BYTES
        writer.transport.abort()
        listener.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("purpose", [Purpose.REQUEST, Purpose.RELAY])
def test_answers_that_are_not_read_stay_with_their_server(
    purpose: Purpose,
) -> None:
    """The system held hundreds of KB of each, and a node counted none."""

    async def send(
        _reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(bytes(SENT_BYTES))

    async def scenario() -> None:
        host, _, port = free_addresses(1)[0].rpartition(":")
        server = await asyncio.start_server(send, host, int(port))
        channel = await connect(host, int(port), 1.0, purpose)
        await asyncio.sleep(SETTLE_S)
        assert 0 < unread_bytes(port=int(port)) <= MAX_UNREAD_BYTES
        assert channel.unread_bytes <= MAX_UNREAD_BYTES
        channel.abort()
        server.close()

    asyncio.run(scenario())
