"""Tests of reading requests and writing responses on a connection."""

import asyncio

import pytest

from savorylift.wire.message import Request
from savorylift.wire.server_connection import (
    BadRequest,
    Closing,
    InputLimits,
)
from tests.wire.pair import pair, run

HEAD = b"POST /a/ HTTP/1.1\r\nHost: h\r\n"
SMALL = InputLimits(head_bytes=200, body_bytes=10, head_s=0.2, idle_s=0.3)


@pytest.mark.parametrize(
    ("data", "body"),
    [
        (HEAD + b"\r\n", b""),
        (HEAD + b"Content-Length: 3\r\n\r\nabc", b"abc"),
        (
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
            b"2\r\nab\r\n1;x=y\r\nc\r\n0\r\n\r\n",
            b"abc",
        ),
        (b"\r\n\r\n" + HEAD + b"Content-Length: 1\r\n\r\nz", b"z"),
    ],
)
@pytest.mark.parametrize("step", [1, 1000])
def test_reads_a_request(data: bytes, body: bytes, step: int) -> None:
    async def scene() -> None:
        conn, caller = await pair()
        reading = asyncio.ensure_future(conn.next_request())
        for start in range(0, len(data), step):
            caller.write(data[start : start + step])
            await asyncio.sleep(0)
        req = await reading
        assert isinstance(req, Request)
        assert (req.method, req.target, req.body) == ("POST", "/a/", body)

    run(scene())


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (HEAD + b"X: " + b"a" * 300 + b"\r\n\r\n", 431),
        (HEAD + b"X: " + b"a" * 300, 431),
        (HEAD + b"Content-Length: 11\r\n\r\n", 413),
        (
            HEAD + b"Transfer-Encoding: chunked\r\n\r\nb\r\n" + b"a" * 11,
            413,
        ),
        (HEAD + b"Content-Length: +1\r\n\r\na", 400),
        (HEAD + b"Transfer-Encoding: gzip\r\n\r\n", 501),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n1\na\r\n", 400),
        (HEAD + b"X : a\r\n\r\n", 400),
        (HEAD, 408),
        (HEAD + b"Content-Length: 3\r\n\r\na", 408),
    ],
)
def test_refuses_what_it_cannot_read(data: bytes, status: int) -> None:
    async def scene() -> None:
        conn, caller = await pair(SMALL)
        caller.write(data)
        req = await conn.next_request()
        assert isinstance(req, BadRequest)
        assert req.status == status

    run(scene())


def test_tells_silence_from_the_end() -> None:
    async def scene() -> None:
        conn, caller = await pair(SMALL)
        assert await conn.next_request() is Closing.IDLE
        caller.close()
        assert await conn.next_request() is Closing.ENDED

    run(scene())


def test_serves_requests_sent_together() -> None:
    async def scene() -> None:
        conn, caller = await pair()
        caller.write((HEAD + b"Content-Length: 1\r\n\r\na") * 2)
        for _ in range(2):
            req = await conn.next_request()
            assert isinstance(req, Request)
            conn.respond(200, (), b"ok")
            assert conn.can_go_on()
        answers = b""
        while answers.count(b"ok") < 2:
            answers += await caller.read()

    run(scene())


def test_says_that_it_closes() -> None:
    async def scene() -> None:
        conn, caller = await pair()
        caller.write(HEAD + b"\r\n")
        await conn.next_request()
        conn.is_closing = True
        conn.respond(200, (), b"ok")
        assert not conn.can_go_on()
        assert b"connection: close" in (await caller.read()).lower()

    run(scene())


def test_notices_a_caller_that_leaves() -> None:
    async def scene() -> None:
        conn, caller = await pair()
        caller.write(HEAD + b"\r\n")
        await conn.next_request()
        assert not conn.channel.gone.is_set()
        caller.abort()
        await asyncio.wait_for(conn.channel.gone.wait(), 0.5)

    run(scene())


def test_answer_survives_unread_input() -> None:
    async def scene() -> None:
        conn, caller = await pair(SMALL)
        caller.write(HEAD + b"Content-Length: 500000\r\n\r\n" + b"a" * 400_000)
        assert isinstance(await conn.next_request(), BadRequest)
        conn.is_closing = True
        conn.respond(413, (), b"too large")
        closing = asyncio.ensure_future(conn.channel.close_gently())
        answer = b""
        while b"too large" not in answer:
            data = await caller.read()
            assert data
            answer += data
        caller.close()
        await closing

    run(scene())
