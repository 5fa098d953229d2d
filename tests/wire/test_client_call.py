"""Tests of the HTTP client with whole, broken and unusual responses."""

import socket
import struct

import pytest

from savorylift.wire.channel import Channel
from savorylift.wire.client_call import BrokenAnswerError, fetch
from savorylift.wire.message import Response
from tests.wire.loopback import run_with_timeout, serve_bytes

OK = b"HTTP/1.1 200 OK\r\n"


async def fetch_raw(answer: bytes) -> Response:
    """Returns what `fetch` makes of the bytes that a server sends."""

    async def serve(channel: Channel) -> None:
        await channel.read()
        channel.write(answer)
        channel.close()

    server, port = await serve_bytes(serve)
    try:
        return await fetch(
            ("127.0.0.1", port),
            "GET",
            "/",
            timeout_s=2.0,
            connect_timeout_s=1.0,
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
def test_reads_whole_responses(answer: bytes, body: bytes) -> None:
    assert run_with_timeout(fetch_raw(answer)).body == body


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
def test_incomplete_response_is_an_error(answer: bytes) -> None:
    with pytest.raises(BrokenAnswerError):
        run_with_timeout(fetch_raw(answer))


@pytest.mark.parametrize(
    "status",
    ["000", "099", "199", "600", "999", "20", "2000", "+20", " 200", ""],
)
def test_answer_with_no_status_of_the_protocol_is_none(status: str) -> None:
    """Answers of 600 and 999 were passed on to callers."""
    answer = f"HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n"
    with pytest.raises(BrokenAnswerError):
        run_with_timeout(fetch_raw(answer.encode()))


@pytest.mark.parametrize(
    "head",
    [
        b"HTTP/0.9 200 OK\r\n",
        b"HTTP/2.0 200 OK\r\n",
        OK + b"Content-Length: 1\r\nContent-Length: 2\r\n",
        OK + b"Content-Length: 6\r\nTransfer-Encoding: chunked\r\n",
        OK + b"Transfer-Encoding: chunked, gzip\r\n",
    ],
)
def test_answer_whose_head_contradicts_itself_is_none(head: bytes) -> None:
    """Answers with a length and chunks, or of other versions, were taken."""
    body = b"1\r\na\r\n0\r\n\r\n"
    with pytest.raises(BrokenAnswerError):
        run_with_timeout(fetch_raw(head + b"\r\n" + body))


def test_reset_is_not_taken_for_end_of_body_without_length() -> None:
    async def serve(channel: Channel) -> None:
        # With a linger time of 0, the close sends RST instead of FIN.
        channel.write(OK + b"\r\nab")
        channel.transport.pause_reading()
        await channel.drain()
        sock = channel.transport.get_extra_info("socket")
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        channel.abort()

    async def scenario() -> None:
        server, port = await serve_bytes(serve)
        with pytest.raises(BrokenAnswerError):
            await fetch(
                ("127.0.0.1", port),
                "GET",
                "/",
                timeout_s=2.0,
                connect_timeout_s=1.0,
            )
        server.close()

    run_with_timeout(scenario())


def test_refused_connection_is_an_os_error() -> None:
    async def scenario() -> None:
        with pytest.raises(OSError, match=r".+"):
            await fetch(
                ("127.0.0.1", 1),
                "GET",
                "/",
                timeout_s=2.0,
                connect_timeout_s=1.0,
            )

    run_with_timeout(scenario())


@pytest.mark.parametrize(
    ("target", "header"),
    [
        ("/a b", "v"),
        ("/\r\nx: y", "v"),
        ("/\u540d", "v"),
        ("/", "a\r\nb: c"),
        ("/", "\0"),
        ("/", " v"),
        ("/", "\u540d"),
    ],
)
def test_request_that_can_not_be_sent_is_a_failed_call(
    target: str, header: str
) -> None:
    async def serve(channel: Channel) -> None:
        await channel.read()

    async def scenario() -> None:
        server, port = await serve_bytes(serve)
        with pytest.raises(BrokenAnswerError):
            await fetch(
                ("127.0.0.1", port),
                "GET",
                target,
                headers=(("x", header),),
                timeout_s=2.0,
                connect_timeout_s=1.0,
            )
        server.close()

    run_with_timeout(scenario())
