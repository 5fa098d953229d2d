"""Tests of calls whose answers are whole, broken or strange."""

import socket
import struct

import pytest

from savorylift.wire.channel import Channel
from savorylift.wire.client_call import BrokenAnswerError, fetch
from savorylift.wire.message import Response
from tests.wire.pair import run, serve_bytes

OK = b"HTTP/1.1 200 OK\r\n"


async def call(answer: bytes) -> Response:
    async def serve(channel: Channel) -> None:
        await channel.read()
        channel.write(answer)
        channel.close()

    server, port = await serve_bytes(serve)
    try:
        return await fetch(
            ("127.0.0.1", port), "GET", "/", timeout_s=2.0, connect_s=1.0
        )
    finally:
        server.close()


@pytest.mark.parametrize(
    ("answer", "body"),
    [
        (OK + b"Content-Length: 2\r\n\r\nab", b"ab"),
        (OK + b"Content-Length: 2\r\n\r\nabextra", b"ab"),
        (OK + b"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n", b"a"),
        (OK + b"\r\nab", b"ab"),
        (b"HTTP/1.1 100 Continue\r\n\r\n" + OK + b"\r\nab", b"ab"),
        (b"HTTP/1.1 204 No Content\r\n\r\n", b""),
    ],
)
def test_reads_whole_answers(answer: bytes, body: bytes) -> None:
    assert run(call(answer)).body == body


@pytest.mark.parametrize(
    "answer",
    [
        b"",
        b"no http at all\r\n\r\n",
        OK + b"Content-Length: 3\r\n\r\nab",
        OK + b"Transfer-Encoding: chunked\r\n\r\n5\r\nab",
        OK + b"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n",
        OK,
    ],
)
def test_never_takes_a_part_for_the_whole(answer: bytes) -> None:
    with pytest.raises(BrokenAnswerError):
        run(call(answer))


def test_reset_does_not_end_an_answer_without_length() -> None:
    async def serve(channel: Channel) -> None:
        # Unread input makes the close a reset.
        channel.write(OK + b"\r\nab")
        channel.transport.pause_reading()
        await channel.drain()
        sock = channel.transport.get_extra_info("socket")
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        channel.abort()

    async def scene() -> None:
        server, port = await serve_bytes(serve)
        with pytest.raises(BrokenAnswerError):
            await fetch(
                ("127.0.0.1", port), "GET", "/", timeout_s=2.0, connect_s=1.0
            )
        server.close()

    run(scene())


def test_refused_connection_is_an_os_error() -> None:
    async def scene() -> None:
        with pytest.raises(OSError, match=r".+"):
            await fetch(
                ("127.0.0.1", 1), "GET", "/", timeout_s=2.0, connect_s=1.0
            )

    run(scene())
