"""Tests of reading requests and writing responses on a connection."""

import asyncio

import pytest

from savorylift.wire.message import Request
from savorylift.wire.server_connection import (
    BadRequest,
    CloseReason,
    InputLimits,
)
from tests.wire.loopback import open_connection_pair, run_with_timeout

HEAD_START = b"POST /a/ HTTP/1.1\r\nHost: h\r\n"
TIGHT_LIMITS = InputLimits(
    max_head_bytes=200,
    max_body_bytes=10,
    head_timeout_s=0.2,
    idle_timeout_s=0.3,
)


@pytest.mark.parametrize(
    ("data", "body"),
    [
        (HEAD_START + b"\r\n", b""),
        (HEAD_START + b"Content-Length: 3\r\n\r\nabc", b"abc"),
        (
            HEAD_START + b"Transfer-Encoding: chunked\r\n\r\n"
            b"2\r\nab\r\n1;x=y\r\nc\r\n0\r\n\r\n",
            b"abc",
        ),
        (b"\r\n\r\n" + HEAD_START + b"Content-Length: 1\r\n\r\nz", b"z"),
    ],
)
@pytest.mark.parametrize("step", [1, 1000])
def test_reads_a_request(data: bytes, body: bytes, step: int) -> None:
    async def scenario() -> None:
        conn, caller = await open_connection_pair()
        reading = asyncio.ensure_future(conn.next_request())
        for start in range(0, len(data), step):
            caller.write(data[start : start + step])
            await asyncio.sleep(0)
        req = await reading
        assert isinstance(req, Request)
        assert (req.method, req.target, req.body) == ("POST", "/a/", body)

    run_with_timeout(scenario())


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (HEAD_START + b"X: " + b"a" * 300 + b"\r\n\r\n", 431),
        (HEAD_START + b"X: " + b"a" * 300, 431),
        (HEAD_START + b"Content-Length: 11\r\n\r\n", 413),
        (
            HEAD_START + b"Transfer-Encoding: chunked\r\n\r\nb\r\n" + b"a" * 11,
            413,
        ),
        (HEAD_START + b"Content-Length: +1\r\n\r\na", 400),
        (HEAD_START + b"Transfer-Encoding: gzip\r\n\r\n", 501),
        (HEAD_START + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400),
        (HEAD_START + b"Transfer-Encoding: chunked\r\n\r\n1\na\r\n", 400),
        (HEAD_START + b"X : a\r\n\r\n", 400),
        (HEAD_START, 408),
        (HEAD_START + b"Content-Length: 3\r\n\r\na", 408),
    ],
)
def test_bad_request_gets_its_status_code(data: bytes, status: int) -> None:
    async def scenario() -> None:
        conn, caller = await open_connection_pair(TIGHT_LIMITS)
        caller.write(data)
        req = await conn.next_request()
        assert isinstance(req, BadRequest)
        assert req.status == status

    run_with_timeout(scenario())


def test_idle_time_out_differs_from_closed_connection() -> None:
    async def scenario() -> None:
        conn, caller = await open_connection_pair(TIGHT_LIMITS)
        assert await conn.next_request() is CloseReason.IDLE
        caller.close()
        assert await conn.next_request() is CloseReason.ENDED

    run_with_timeout(scenario())


def test_serves_pipelined_requests() -> None:
    async def scenario() -> None:
        conn, caller = await open_connection_pair()
        caller.write((HEAD_START + b"Content-Length: 1\r\n\r\na") * 2)
        for _ in range(2):
            req = await conn.next_request()
            assert isinstance(req, Request)
            conn.respond(200, (), b"ok")
            assert conn.prepare_next_request()
        responses = b""
        while responses.count(b"ok") < 2:
            responses += await caller.read()

    run_with_timeout(scenario())


def test_closing_connection_sends_connection_close() -> None:
    async def scenario() -> None:
        conn, caller = await open_connection_pair()
        caller.write(HEAD_START + b"\r\n")
        await conn.next_request()
        conn.is_closing = True
        conn.respond(200, (), b"ok")
        assert not conn.prepare_next_request()
        assert b"connection: close" in (await caller.read()).lower()

    run_with_timeout(scenario())


def test_detects_client_disconnect() -> None:
    async def scenario() -> None:
        conn, caller = await open_connection_pair()
        caller.write(HEAD_START + b"\r\n")
        await conn.next_request()
        assert not conn.channel.peer_closed.is_set()
        caller.abort()
        await asyncio.wait_for(conn.channel.peer_closed.wait(), 0.5)

    run_with_timeout(scenario())


def test_response_arrives_although_input_is_unread() -> None:
    async def scenario() -> None:
        conn, caller = await open_connection_pair(TIGHT_LIMITS)
        caller.write(
            HEAD_START + b"Content-Length: 500000\r\n\r\n" + b"a" * 400_000
        )
        assert isinstance(await conn.next_request(), BadRequest)
        conn.is_closing = True
        conn.respond(413, (), b"too large")
        closing = asyncio.ensure_future(conn.channel.close_gracefully())
        response = b""
        while b"too large" not in response:
            data = await caller.read()
            assert data
            response += data
        caller.close()
        await closing

    run_with_timeout(scenario())
