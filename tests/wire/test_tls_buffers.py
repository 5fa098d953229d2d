"""Tests of what TLS buffers for a connection."""

import asyncio
import pathlib
from typing import Any, cast

from savorylift.tls import server_context
from savorylift.wire.body_budget import SMALL_BODY_BYTES
from savorylift.wire.channel import MAX_READ_BUFFER_BYTES
from savorylift.wire.listener import Listener, connection_handler
from savorylift.wire.message import Request, Response
from savorylift.wire.request_input import InputLimits
from savorylift.wire.server_connection import ServerConnection
from savorylift.wire.tls_buffers import MAX_INPUT_BYTES
from tests.harness.certificates import client_context, write_certificate
from tests.harness.ports import free_addresses
from tests.wire.loopback import run_with_timeout

RECORD_BYTES = 16_384
BODY_BYTES = 3_000_000
# No divisor of a record, or of what is received at once.
PIECE_BYTES = 7919


async def open_caller(
    listener: Listener, directory: pathlib.Path
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Starts a listener with TLS; returns a connection to it."""
    host, _, port = free_addresses(1)[0].rpartition(":")
    tls = server_context(write_certificate(directory))
    await listener.start(host, int(port), tls)
    return await asyncio.open_connection(
        host, int(port), ssl=client_context(), server_hostname=host
    )


def test_input_that_nobody_reads_takes_little(tmp_path: pathlib.Path) -> None:
    """Each of such connections held a quarter of a megabyte."""

    async def scenario() -> None:
        conns: list[ServerConnection] = []

        async def serve(conn: ServerConnection) -> None:
            conns.append(conn)
            await asyncio.Event().wait()

        listener = Listener(serve, InputLimits)
        _, writer = await open_caller(listener, tmp_path)
        writer.write(bytes(BODY_BYTES))
        # Nothing more is received once as much is held as may be.
        sizes = [-1]
        while not conns or sizes[-1] != sizes[0] or len(sizes) < 10:
            await asyncio.sleep(0.05)
            if conns:
                transport = cast("Any", conns[0].channel.transport)
                sizes = [*sizes[-9:], transport.get_read_buffer_size()]
        assert sizes[-1] <= MAX_INPUT_BYTES + RECORD_BYTES
        assert conns[0].channel.unread_bytes <= MAX_READ_BUFFER_BYTES
        writer.transport.abort()
        listener.close()

    run_with_timeout(scenario())


def test_large_body_arrives_whole_over_tls(tmp_path: pathlib.Path) -> None:
    """In pieces that end anywhere in records, while reading is paused."""
    body = bytes(range(251)) * (BODY_BYTES // 251)
    assert len(body) > SMALL_BODY_BYTES
    received: list[bytes] = []

    async def respond(req: Request) -> Response:
        received.append(req.body)
        return Response(200, (), b"whole")

    async def scenario() -> None:
        listener = Listener(connection_handler(respond), InputLimits)
        reader, writer = await open_caller(listener, tmp_path)
        head = f"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: {len(body)}"
        writer.write(head.encode() + b"\r\nConnection: close\r\n\r\n")
        for start in range(0, len(body), PIECE_BYTES):
            writer.write(body[start : start + PIECE_BYTES])
            await writer.drain()
        assert (await reader.read()).endswith(b"whole")
        listener.close()

    run_with_timeout(scenario())
    assert received == [body]
