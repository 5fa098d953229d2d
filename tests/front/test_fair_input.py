"""Tests that what one connection sends doesn't keep the others waiting."""

import asyncio
import contextlib
import functools
import threading
from collections.abc import Awaitable, Callable, Coroutine, Iterator
from typing import Any

import pytest

from savorylift.wire.message import Headers
from tests.front.environment import HOST, NodeEnvironment, run_in_environment
from tests.front.test_endless_bytes import CHUNKED

# Pace of the bytes without end: a sixtieth of a link of 1,000 Mbit/s.
BLOCK_BYTES = 20_000
BLOCK_INTERVAL_S = 0.01
# Other callers must have their answers by their route's limit.
MAX_ANSWER_S = 2.0
CALLS = 20
CALLERS = 4
TOKEN_COUNTS: dict[str, Headers] = {
    "/safe/": (),
    "/once/": (),
    "/stream/": (("x-savorylift-token-counts", "100,50"),),
}
CALL_INTERVAL_S = 0.1
STREAM_TYPE = b"Content-Type: text/event-stream\r\n"
STRAY = CHUNKED.replace(b"a1", b"another")
CALLER_HEAD = (
    b"POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: key\r\n"
    b"X-Savorylift-Attempt-Id: b1\r\n"
)

_tasks: set[asyncio.Task[None]] = set()


class PacedServer(threading.Thread):
    """Answers each request with a head and a block without end, at a pace.

    It has a thread of its own: nothing that keeps the node's event loop may
    keep it from sending.
    """

    def __init__(self, port: int, head: bytes, block: bytes) -> None:
        super().__init__(daemon=True)
        self._port = port
        self._head = head
        self._block = block * max(BLOCK_BYTES // len(block), 1)
        self._loop = asyncio.new_event_loop()
        self._is_listening = threading.Event()
        self.connections = 0

    def run(self) -> None:
        self._loop.run_until_complete(self._listen())

    async def _listen(self) -> None:
        self._end = asyncio.Event()
        server = await asyncio.start_server(self._serve, HOST, self._port)
        self._is_listening.set()
        await self._end.wait()
        server.close()
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        endings = ConnectionError, EOFError, asyncio.CancelledError
        with contextlib.suppress(*endings), contextlib.closing(writer):
            await reader.readuntil(b"\r\n\r\n")
            self.connections += 1
            writer.write(self._head)
            while True:
                writer.write(self._block)
                await writer.drain()
                await asyncio.sleep(BLOCK_INTERVAL_S)

    @contextlib.contextmanager
    def listening(self) -> Iterator[None]:
        """Listens from now on, until the end of the context."""
        self.start()
        self._is_listening.wait()
        try:
            yield
        finally:
            self._loop.call_soon_threadsafe(self._end.set)
            self.join()
            self._loop.close()


def chunks(data: bytes) -> bytes:
    """Returns each byte of some data in a chunk of its own."""
    return b"".join(b"1\r\n%c\r\n" % byte for byte in data)


def background(work: Coroutine[Any, Any, None]) -> None:
    """Runs a coroutine until the scenario ends."""
    task = asyncio.ensure_future(work)
    _tasks.add(task)
    task.add_done_callback(_tasks.discard)


async def discard(read: Callable[[], Awaitable[bytes]]) -> None:
    """Reads to the end of some input."""
    with contextlib.suppress(ConnectionError):
        while await read():
            pass


async def send_without_end(port: int, head: bytes, block: bytes) -> None:
    """Sends to a node, on a new connection whenever it closes one."""
    blocks = block * (BLOCK_BYTES // len(block))
    while True:
        reader, writer = await asyncio.open_connection(HOST, port)
        answers = asyncio.ensure_future(
            discard(functools.partial(reader.read, 65_536))
        )
        with contextlib.suppress(ConnectionError), contextlib.closing(writer):
            writer.write(head)
            while not answers.done():
                writer.write(blocks)
                await writer.drain()
                await asyncio.sleep(BLOCK_INTERVAL_S)
        answers.cancel()


async def answer_times(env: NodeEnvironment, path: str) -> list[float]:
    """Returns how long other callers wait for their answers."""
    loop = asyncio.get_running_loop()

    async def call(number: int) -> float:
        await asyncio.sleep(number * CALL_INTERVAL_S)
        sent_s = loop.time()
        response = await env.call(path, headers=TOKEN_COUNTS[path])
        assert response.status == 200
        return loop.time() - sent_s

    return await asyncio.gather(*(call(n) for n in range(CALLS)))


@pytest.mark.parametrize(
    ("path", "head", "block"),
    [
        pytest.param("/stream/", CHUNKED, b"4\r\n\n\n\n\n\r\n", id="line ends"),
        pytest.param(
            "/stream/", CHUNKED, b"C\r\n: x\n\n: yyy\n\n\r\n", id="comments"
        ),
        pytest.param(
            "/stream/", CHUNKED, b"7\r\ndata:\n\n\r\n", id="empty events"
        ),
        pytest.param(
            "/stream/", CHUNKED, chunks(b"\n"), id="chunks in streams"
        ),
        pytest.param(
            "/stream/", CHUNKED, chunks(b"data: x\n\n"), id="chunks of events"
        ),
        pytest.param("/once/", CHUNKED, chunks(b"x"), id="chunks in answers"),
        pytest.param("/once/", STRAY, chunks(b"x"), id="other answers"),
        pytest.param(
            "/once/",
            b"",
            b"HTTP/1.1 100 Continue\r\n\r\n",
            id="informational answers",
        ),
    ],
)
def test_calls_are_answered_while_a_server_sends_without_end(
    path: str, head: bytes, block: bytes
) -> None:
    """A server's line ends without end kept nodes from all other work."""

    async def scenario(env: NodeEnvironment) -> None:
        is_stream = path == "/stream/"
        victims = env.pool if is_stream else env.app
        for backend in victims:
            backend.stop()
        whole_head = head.replace(b"\r\n\r\n", b"\r\n" + STREAM_TYPE + b"\r\n")
        with contextlib.ExitStack() as stack:
            servers = [
                PacedServer(v.port, whole_head if is_stream else head, block)
                for v in victims
            ]
            for server in servers:
                stack.enter_context(server.listening())
            for _ in range(CALLERS):
                call = await env.open_call(path, headers=TOKEN_COUNTS[path])
                background(discard(call.channel.read))
            times = await answer_times(
                env, "/safe/" if is_stream else "/stream/"
            )
            assert max(times) < MAX_ANSWER_S
            assert any(server.connections for server in servers)

    run_in_environment(scenario)


@pytest.mark.parametrize(
    ("head", "block"),
    [
        pytest.param(
            CALLER_HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
            chunks(b"x"),
            id="chunks",
        ),
        pytest.param(
            b"",
            b"GET /none/ HTTP/1.1\r\nHost: h.example\r\n\r\n",
            id="requests",
        ),
        pytest.param(b"", b"\r\n", id="line ends"),
    ],
)
def test_calls_are_answered_while_a_caller_sends_without_end(
    head: bytes, block: bytes
) -> None:
    """A caller's bytes must not keep a node from all other work."""

    async def scenario(env: NodeEnvironment) -> None:
        for _ in range(CALLERS):
            background(send_without_end(env.ports[5], head, block))
        times = await answer_times(env, "/safe/")
        assert max(times) < MAX_ANSWER_S

    run_in_environment(scenario)
