"""Answers of scripted servers, and what a caller of a node gets of them."""

import asyncio
import enum
from collections.abc import Callable
from typing import NamedTuple

from savorylift.wire.client_call import BrokenAnswerError
from savorylift.wire.message import Headers
from tests.front.environment import NodeEnvironment
from tests.standins.scripted_server import (
    Script,
    ScriptedRequest,
    ScriptedServer,
)

ATTEMPT_ID = "x-savorylift-attempt-id"
TOKEN_COUNTS: Headers = (("x-savorylift-token-counts", "100,50"),)
STREAM_PATHS = ("/stream/", "/resumable/")
PATHS = (*STREAM_PATHS, "/safe/", "/once/")
EVENTS = [b"id: %d\ndata: x\n\n" % number for number in range(1, 9)]
BEGUN = b"".join(EVENTS[:4])
WHOLE = b"".join(EVENTS)
CLOSED_S = 0.5

NOT_RUN = "X-Savorylift-Not-Executed: 1\r\nRetry-After: 0.1\r\n"
SEAL = "X-Savorylift-Response-Seal: seal\r\n"
STREAM_TYPE = "Content-Type: text/event-stream\r\n"
CHUNKED = "Transfer-Encoding: chunked\r\n"


def head(status: int, attempt: str, fields: str = "") -> bytes:
    """Returns the head of an answer to an attempt; empty for no id."""
    echoed = f"X-Savorylift-Attempt-Id: {attempt}\r\n" if attempt else ""
    return f"HTTP/1.1 {status} X\r\n{echoed}{fields}\r\n".encode()


def framed(status: int, attempt: str, body: bytes, fields: str = "") -> bytes:
    """Returns an answer with a length."""
    fields += f"Content-Length: {len(body)}\r\n"
    return head(status, attempt, fields) + body


def chunk(data: bytes) -> bytes:
    """Returns a chunk of a body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def whole(path: str, attempt: str) -> bytes:
    """Returns the whole answer to a request."""
    if path not in STREAM_PATHS:
        return framed(200, attempt, WHOLE, SEAL)
    fields = SEAL + STREAM_TYPE + CHUNKED
    return head(200, attempt, fields) + chunk(WHOLE) + chunk(b"")


class View(enum.Enum):
    """What a caller can tell of the end of an answer."""

    WHOLE = "complete"
    BROKEN = "incomplete"


class Reply(NamedTuple):
    """What a caller got; status 0 for no head."""

    status: int
    body: bytes
    view: View


async def call(env: NodeEnvironment, path: str, headers: Headers = ()) -> Reply:
    """Sends a request as a caller does, and returns what comes back."""
    if path in STREAM_PATHS:
        headers = (*headers, *TOKEN_COUNTS)
    conn = await env.open_call(path, "a1", headers)
    body = b""
    status = 0
    view = View.BROKEN
    try:
        status = (await conn.read_head()).status
        while (data := await conn.read_body_chunk()) is not None:
            body += data
        view = View.WHOLE
    except BrokenAnswerError:
        pass
    finally:
        conn.close()
    return Reply(status, body, view)


async def replace_servers(
    env: NodeEnvironment,
    path: str,
    get_script: Callable[[ScriptedRequest], Script],
    early: bytes = b"",
) -> list[ScriptedServer]:
    """Puts scripted servers in the place of those that serve a path."""
    servers = []
    for replaced in env.pool if path in STREAM_PATHS else env.app:
        replaced.stop()
        server = ScriptedServer(get_script, early)
        await server.start(replaced.port)
        servers.append(server)
    return servers


async def check_all_closed(servers: list[ScriptedServer]) -> None:
    """Checks that the node keeps no connection to a server open."""
    async with asyncio.timeout(CLOSED_S):
        while any(server.open_connections for server in servers):
            await asyncio.sleep(0.01)
