"""A server whose answers have no length, and what its callers can tell."""

import asyncio
import enum
import time
from collections.abc import Callable

from savorylift.platform.store import SERVERS_TOPIC
from savorylift.wire.client_call import BrokenAnswerError
from savorylift.wire.message import Headers
from tests.front.environment import NodeEnvironment
from tests.standins.platform_server import RESPONSE_SIGNATURE_HEADER

TOKEN_COUNTS: Headers = (("x-savorylift-token-counts", "100,50"),)
EVENTS = [b"id: %d\ndata: x\n\n" % number for number in range(1, 11)]
PARTS = [b"part%d " % number for number in range(10)]
SENT_WHEN_BROKEN = 4
# Time after which a change in the store has reached the node.
REGISTRY_S = 0.3
# Time after which an answer has begun, and is known to have.
BEGUN_S = 0.1
# A wait that callers would not feel.
PROMPT_S = 0.1
# When the servers that are replaced started, as their entries say.
ENTRY_BORN = 1
STREAM_PATHS = ("/stream/", "/resumable/")
PATHS = (*STREAM_PATHS, "/safe/", "/once/")
NO_COPY = b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"


class CallerView(enum.Enum):
    """What a caller can tell of the end of an answer."""

    FRAMED = "complete by its length or its last chunk"
    UNFRAMED = "ended with the connection"
    BROKEN = "incomplete"


class RawServer:
    """Answers with a head and pieces of a body, and closes the connection.

    Attributes:
        requests: Number of requests that it got, but for reports and copies.
        connections: Number of connections that it accepted.
        closed_s: Monotonic time at which it last closed a connection.
        is_gone: Whether it stops listening before it closes.
        restarts: Whether it then listens again at once.
        ends: Whether it closes all its connections with the first one, as a
            process that ends does.
        hangs: Whether it answers no request.
        is_full: Whether it resets all new connections.
        born: Unix time in milliseconds of its start, as its reports say, and
            as its entry does at first; None if they don't.
        next_born: The same after it restarts.
        may_begin: Set to let it answer.
        may_end: Set to let it close its connections.
    """

    def __init__(self, framing: str, pieces: list[bytes]) -> None:
        self.requests = 0
        self.connections = 0
        self.closed_s = 0.0
        self.is_gone = False
        self.restarts = False
        self.ends = False
        self.hangs = False
        self.is_full = False
        self.born: int | None = ENTRY_BORN
        self.next_born: int | None = None
        self.may_begin = asyncio.Event()
        self.may_begin.set()
        self.may_end = asyncio.Event()
        self.may_end.set()
        self._port = 0
        self._framing = framing
        self._pieces = pieces
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int) -> None:
        self._port = port
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", port
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        if self.is_full:
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            request = await reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError:
            writer.close()
            return
        if request.startswith(b"GET /report "):
            writer.write(_report(self.born))
            writer.close()
            return
        if request.startswith(b"POST /kv-move "):
            writer.write(NO_COPY)
            writer.close()
            return
        self.requests += 1
        if self.hangs:
            await reader.read()
            return
        await self.may_begin.wait()
        seal = ": ".join(RESPONSE_SIGNATURE_HEADER)
        attempt = _header(request, b"x-savorylift-attempt-id")
        writer.write(
            f"HTTP/1.1 200 OK\r\nX-Savorylift-Attempt-Id: {attempt}\r\n"
            f"{seal}\r\n{self._framing}\r\n".encode()
        )
        for piece in self._pieces:
            writer.write(piece)
            await asyncio.sleep(0.005)
        await self.may_end.wait()
        if self.is_gone and self._server is not None:
            self._server.close()
        if self.restarts:
            self.born = self.next_born
            await self.start(self._port)
        self.closed_s = time.monotonic()
        writer.close()
        if self.ends:
            for other in self._writers:
                other.close()


def _report(born: int | None) -> bytes:
    body = b"{}" if born is None else b'{"born": %d}' % born
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (
        len(body),
        body,
    )


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


async def replace_by_one(
    env: NodeEnvironment, path: str, pieces: list[bytes], framing: str = ""
) -> RawServer:
    """Leaves one server for a path, which sends the pieces without framing."""
    replaced = env.pool if path in STREAM_PATHS else env.app
    env.store.add(SERVERS_TOPIC, replaced[1].server_id, None)
    await asyncio.sleep(REGISTRY_S)
    servers = await replace_servers(
        env, path, lambda: RawServer(framing, pieces)
    )
    return servers[0]


async def check_whole(
    env: NodeEnvironment, path: str, server: RawServer, max_wait_s: float
) -> None:
    """Checks that a whole answer reaches its caller soon after its end."""
    status, body, view = await call(env, path)
    assert (status, body) == (200, b"".join(pieces_of(path)))
    assert view is CallerView.UNFRAMED
    assert time.monotonic() - server.closed_s < max_wait_s


def replace_at_end(server: RawServer) -> None:
    """Lets another process take a server's place as its answer ends."""
    server.is_gone = server.restarts = server.ends = True
    server.born = server.born or 1
    server.next_born = server.born + 1
