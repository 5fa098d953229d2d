"""Tests of reading requests and writing responses on a connection."""

import asyncio
import multiprocessing
import multiprocessing.connection
import socket

import pytest

from savorylift.wire.channel import Channel
from savorylift.wire.connecting import connect
from savorylift.wire.listener import Listener
from savorylift.wire.message import Request
from savorylift.wire.request_input import BadRequest, CloseReason, InputLimits
from savorylift.wire.server_connection import ServerConnection
from tests.wire.loopback import open_connection_pair, run_with_timeout

HEAD_START = b"POST /a/ HTTP/1.1\r\nHost: h\r\n"
CHUNKED = HEAD_START + b"Transfer-Encoding: chunked\r\n\r\n"
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


def test_pipelined_requests_are_each_read_once() -> None:
    """Requests sent behind one another were read, and ran, again and again."""

    async def scenario() -> None:
        conn, caller = await open_connection_pair(TIGHT_LIMITS)
        sent = [b"1", b"2", b"3", b"4"]
        for body in sent:
            caller.write(HEAD_START + b"Content-Length: 1\r\n\r\n" + body)
        bodies = []
        while isinstance(req := await conn.next_request(), Request):
            bodies.append(req.body)
            conn.respond(200, (), b"ok")
            assert conn.prepare_next_request()
            if len(bodies) > len(sent):
                break
        assert bodies == sent

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


async def start_unframed(conn: ServerConnection, body: bytes) -> None:
    """Begins a response that nothing but the close of `conn` ends."""
    assert isinstance(await conn.next_request(), Request)
    conn.start_response(200, (), is_close_delimited=True)
    conn.send_body(body)


async def read_to_end(caller: Channel) -> bytes:
    """Returns all input.

    Raises:
        ConnectionError: The connection was reset.
    """
    data = b""
    while part := await caller.read():
        data += part
    return data


def test_unframed_response_to_a_caller_that_is_gone_is_no_error() -> None:
    async def scenario() -> None:
        conn, caller = await open_connection_pair()
        caller.write(HEAD_START + b"\r\n")
        assert isinstance(await conn.next_request(), Request)
        caller.reset_on_close()
        caller.close()
        await conn.channel.peer_closed.wait()
        await asyncio.sleep(0)
        conn.respond_unframed(200, (), b"whole")
        await conn.flush()
        await conn.channel.close_gracefully()

    run_with_timeout(scenario())


@pytest.mark.parametrize("is_ended", [True, False])
def test_unframed_response_ends_with_a_close_only_if_it_is_ended(
    is_ended: bool,  # noqa: FBT001
) -> None:
    async def scenario() -> None:
        conn, caller = await open_connection_pair()
        caller.write(HEAD_START + b"\r\n")
        await start_unframed(conn, b"part")
        assert not conn.prepare_next_request()
        if is_ended:
            conn.end_response()
            await conn.flush()
        closing = asyncio.ensure_future(conn.channel.close_gracefully())
        if is_ended:
            data = await read_to_end(caller)
            assert data.endswith(b"\r\n\r\npart")
            assert b"chunked" not in data
        else:
            with pytest.raises(ConnectionError):
                await read_to_end(caller)
        caller.abort()
        await closing

    run_with_timeout(scenario())


@pytest.mark.parametrize("earlier", [1, 2])
@pytest.mark.parametrize("is_pipelined", [False, True])
def test_earlier_responses_do_not_end_one_that_is_cut_off(
    earlier: int,
    is_pipelined: bool,  # noqa: FBT001
) -> None:
    async def scenario() -> None:
        conn, caller = await open_connection_pair()
        for _ in range(earlier):
            caller.write(HEAD_START + b"\r\n")
            assert isinstance(await conn.next_request(), Request)
            conn.respond(200, (), b"whole")
            await conn.flush()
            assert conn.prepare_next_request()
        caller.write((HEAD_START + b"\r\n") * (1 + is_pipelined))
        await start_unframed(conn, b"part")
        await conn.flush()
        assert not conn.prepare_next_request()
        await conn.channel.close_gracefully()
        with pytest.raises(ConnectionError):
            await read_to_end(caller)

    run_with_timeout(scenario())


def test_added_headers_are_those_of_one_response() -> None:
    async def scenario() -> None:
        conn, caller = await open_connection_pair()
        for added in ((("x-added", "1"),), ()):
            caller.write(HEAD_START + b"\r\n")
            assert isinstance(await conn.next_request(), Request)
            conn.add_headers(added or conn.added_headers)
            conn.respond(200, (), b"")
            assert (b"x-added" in await caller.read()) == bool(added)
            assert conn.prepare_next_request()

    run_with_timeout(scenario())


def test_slow_caller_gets_the_whole_of_an_unframed_response() -> None:
    async def scenario() -> None:
        conn, caller = await open_connection_pair()
        caller.write(HEAD_START + b"\r\n")
        caller.transport.pause_reading()
        body = b"x" * 8_000_000
        await start_unframed(conn, body)
        conn.end_response()
        flushing = asyncio.ensure_future(conn.flush())
        await asyncio.sleep(0.1)
        assert not flushing.done()
        caller.transport.resume_reading()
        reading = asyncio.ensure_future(read_to_end(caller))
        await flushing
        await conn.channel.close_gracefully()
        assert (await reading).endswith(body)

    run_with_timeout(scenario())


def test_http_1_0_caller_can_tell_a_stream_that_was_cut() -> None:
    async def scenario() -> None:
        conn, caller = await open_connection_pair()
        caller.write(HEAD_START.replace(b"1.1", b"1.0") + b"\r\n")
        assert isinstance(await conn.next_request(), Request)
        conn.start_response(200, ())
        conn.send_body(b"part")
        await conn.channel.close_gracefully()
        with pytest.raises(ConnectionError):
            await read_to_end(caller)

    run_with_timeout(scenario())


def serve_until_killed(
    port_sender: multiprocessing.connection.Connection,
) -> None:
    """Begins an unframed response to one caller, in a process of its own."""

    async def serve(conn: ServerConnection) -> None:
        await start_unframed(conn, b"part")
        await asyncio.Event().wait()

    async def run() -> None:
        sock = socket.create_server(("127.0.0.1", 0))
        port = sock.getsockname()[1]
        sock.close()
        await Listener(serve, InputLimits).start("127.0.0.1", port)
        port_sender.send(port)
        await asyncio.Event().wait()

    asyncio.run(run())


def test_unframed_response_of_a_killed_process_is_reset() -> None:
    async def scenario(port: int) -> None:
        caller = await connect("127.0.0.1", port, 2.0)
        caller.write(HEAD_START + b"\r\n")
        data = b""
        while not data.endswith(b"part"):
            data += await caller.read()
        process.kill()
        with pytest.raises(ConnectionError):
            await read_to_end(caller)

    context = multiprocessing.get_context("spawn")
    receiver, sender = context.Pipe(duplex=False)
    process = context.Process(target=serve_until_killed, args=(sender,))
    process.start()
    try:
        run_with_timeout(scenario(receiver.recv()))
    finally:
        process.kill()
        process.join()


def test_connection_is_not_closed_after_a_response_that_did_not_say_so() -> (
    None
):
    async def scenario() -> None:
        conn, caller = await open_connection_pair()
        caller.write(HEAD_START + b"\r\n")
        assert isinstance(await conn.next_request(), Request)
        conn.respond(200, (), b"x")
        # A planned stop begins before the next request is waited for.
        conn.is_closing = True
        assert conn.prepare_next_request()

    run_with_timeout(scenario())


@pytest.mark.parametrize(
    "line",
    [
        pytest.param(b"1;" + b"a" * 300, id="chunk extension"),
        pytest.param(b"0\r\n" + b"a:b\r\n" * 60, id="trailers"),
    ],
)
def test_lines_between_chunks_are_bounded_like_a_head(line: bytes) -> None:
    """A megabyte of them was kept for each connection."""

    async def scenario() -> None:
        conn, caller = await open_connection_pair(TIGHT_LIMITS)
        reading = asyncio.ensure_future(conn.next_request())
        caller.write(CHUNKED + line)
        refused = await reading
        assert isinstance(refused, BadRequest)
        assert refused.status == 431

    run_with_timeout(scenario())


def test_connection_whose_caller_reads_nothing_is_closed() -> None:
    """It stayed open for as long as its caller did."""

    async def scenario() -> None:
        conn, caller = await open_connection_pair(TIGHT_LIMITS)
        caller.transport.pause_reading()
        caller.write(HEAD_START + b"\r\n")
        assert isinstance(await conn.next_request(), Request)
        conn.respond(200, (), bytes(20_000_000))
        await conn.flush()
        assert conn.channel.transport.is_closing()

    run_with_timeout(scenario())


def test_slow_caller_that_goes_on_reading_gets_all() -> None:
    async def scenario() -> None:
        conn, caller = await open_connection_pair(TIGHT_LIMITS)
        caller.write(HEAD_START + b"\r\n")
        assert isinstance(await conn.next_request(), Request)
        conn.respond(200, (), bytes(20_000_000))
        flushing = asyncio.ensure_future(conn.flush())
        received = 0
        while received < 20_000_000:
            # Longer than the time-out in all.
            if received % 4_000_000 < 16_384:
                await asyncio.sleep(TIGHT_LIMITS.idle_timeout_s / 4)
            received += len(await caller.read())
        await flushing

    run_with_timeout(scenario())


def test_body_of_single_bytes_has_an_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A small body could go on for as long as each byte came in time."""
    monkeypatch.setattr("savorylift.wire.body_reader.MAX_BODY_S", 0.5)

    async def scenario() -> None:
        conn, caller = await open_connection_pair(TIGHT_LIMITS)
        reading = asyncio.ensure_future(conn.next_request())
        caller.write(HEAD_START + b"Content-Length: 10\r\n\r\n")
        for _ in range(9):
            await asyncio.sleep(0.1)
            caller.write(b"x")
        refused = await reading
        assert isinstance(refused, BadRequest)
        assert refused.status == 408

    run_with_timeout(scenario())
