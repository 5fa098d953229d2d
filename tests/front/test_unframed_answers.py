"""Tests of answers that have no length and end with their connection."""

import asyncio
import enum
from collections.abc import Callable

import pytest

from savorylift.wire.client_call import BrokenAnswerError
from savorylift.wire.message import Headers
from tests.front.environment import NodeEnvironment, run_in_environment
from tests.standins.platform_server import RESPONSE_SIGNATURE_HEADER

TOKEN_COUNTS: Headers = (("x-savorylift-token-counts", "100,50"),)
EVENTS = [b"id: %d\ndata: x\n\n" % number for number in range(1, 11)]
PARTS = [b"part%d " % number for number in range(10)]
SENT_WHEN_BROKEN = 4
STREAM_PATHS = ("/stream/", "/resumable/")
PATHS = (*STREAM_PATHS, "/safe/", "/once/")
FRAMINGS = ("", "Connection: close\r\n")
FRAMING_IDS = ("none", "close")


class CallerView(enum.Enum):
    """What a caller can tell of the end of an answer."""

    FRAMED = "complete by its length or its last chunk"
    UNFRAMED = "ended with the connection"
    BROKEN = "incomplete"


class RawServer:
    """Answers with a head and pieces of a body, and closes the connection.

    Attributes:
        requests: Number of requests that it got.
        is_gone: Whether it stops listening before it closes.
    """

    def __init__(self, framing: str, pieces: list[bytes]) -> None:
        self.requests = 0
        self.is_gone = False
        self._framing = framing
        self._pieces = pieces
        self._server: asyncio.Server | None = None

    async def start(self, port: int) -> None:
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", port
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            request = await reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError:
            writer.close()
            return
        self.requests += 1
        seal = ": ".join(RESPONSE_SIGNATURE_HEADER)
        attempt = _header(request, b"x-savorylift-attempt-id")
        writer.write(
            f"HTTP/1.1 200 OK\r\nX-Savorylift-Attempt-Id: {attempt}\r\n"
            f"{seal}\r\n{self._framing}\r\n".encode()
        )
        for piece in self._pieces:
            writer.write(piece)
            await asyncio.sleep(0.005)
        if self.is_gone and self._server is not None:
            self._server.close()
        writer.close()


def _header(request: bytes, name: bytes) -> str:
    for line in request.split(b"\r\n"):
        key, _, value = line.partition(b": ")
        if key == name:
            return value.decode()
    return ""


def pieces_of(path: str) -> list[bytes]:
    return EVENTS if path in STREAM_PATHS else PARTS


async def replace_servers(
    env: NodeEnvironment, path: str, make: Callable[[], RawServer]
) -> list[RawServer]:
    """Puts other servers in the place of those that serve a path."""
    replaced = env.pool if path in STREAM_PATHS else env.app
    servers = []
    for server in replaced:
        server.stop()
        raw = make()
        await raw.start(server.port)
        servers.append(raw)
    return servers


async def call(
    env: NodeEnvironment, path: str, attempt: str = "a1"
) -> tuple[int, bytes, CallerView]:
    """Returns status, body and what the caller can tell of its end."""
    headers = TOKEN_COUNTS if path in STREAM_PATHS else ()
    conn = await env.open_call(path, attempt, headers)
    body = b""
    status = 0
    try:
        head = await conn.read_head()
        status = head.status
        while (chunk := await conn.read_body_chunk()) is not None:
            body += chunk
    except BrokenAnswerError:
        return status, body, CallerView.BROKEN
    finally:
        conn.close()
    is_framed = head.header("content-length") or head.header(
        "transfer-encoding"
    )
    view = CallerView.FRAMED if is_framed else CallerView.UNFRAMED
    return status, body, view


@pytest.mark.parametrize("framing", FRAMINGS, ids=FRAMING_IDS)
@pytest.mark.parametrize("path", PATHS)
def test_answer_broken_off_by_a_close_is_not_framed_as_complete(
    path: str, framing: str
) -> None:
    async def scenario(env: NodeEnvironment) -> None:
        sent = pieces_of(path)[:SENT_WHEN_BROKEN]
        await replace_servers(env, path, lambda: RawServer(framing, sent))
        status, body, view = await call(env, path)
        assert status == 200
        assert b"".join(sent).startswith(body)
        assert view is not CallerView.FRAMED

    run_in_environment(scenario)


@pytest.mark.parametrize("framing", FRAMINGS, ids=FRAMING_IDS)
@pytest.mark.parametrize("path", PATHS)
def test_answer_of_a_server_that_has_just_gone_does_not_look_whole(
    path: str, framing: str
) -> None:
    async def scenario(env: NodeEnvironment) -> None:
        sent = pieces_of(path)[:SENT_WHEN_BROKEN]
        servers = await replace_servers(
            env, path, lambda: RawServer(framing, sent)
        )
        for server in servers:
            server.is_gone = True
        status, _, view = await call(env, path)
        assert status == 502 or view is CallerView.BROKEN

    run_in_environment(scenario)
