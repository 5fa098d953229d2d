"""Tests of a node whose backend servers send bytes without end."""

import asyncio
import contextlib
import itertools
from collections.abc import AsyncIterator, Iterator

import pytest

from savorylift.wire.buffer_budget import RESPONSE_BUFFERS
from tests.front.environment import NodeEnvironment, run_in_environment
from tests.standins.platform_server import RESPONSE_SIGNATURE_HEADER

# A quarter of the smallest VM's memory, with what the system buffers.
MAX_BYTES_SENT = 32_000_000
MAX_ANSWER_S = 1.5
SIGNATURE = ": ".join(RESPONSE_SIGNATURE_HEADER).encode()
HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Savorylift-Attempt-Id: a1\r\n" + SIGNATURE + b"\r\n"
)
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
BLOCK = b"x" * 65_536


class EndlessServer:
    """Sends a beginning and then the same block until the caller closes."""

    def __init__(self, beginning: bytes, block: bytes) -> None:
        self._beginning = beginning
        self._block = block
        self.requests = 0
        self.bytes_sent = 0
        self.is_closed = asyncio.Event()

    @contextlib.asynccontextmanager
    async def listen(self, port: int) -> AsyncIterator[None]:
        server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        try:
            yield
        finally:
            server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError:
            writer.close()
            return
        self.requests += 1
        try:
            for part in self._parts():
                writer.write(part)
                await writer.drain()
                self.bytes_sent += len(part)
        except ConnectionError:
            self.is_closed.set()
        finally:
            writer.close()

    def _parts(self) -> Iterator[bytes]:
        return itertools.chain([self._beginning], itertools.repeat(self._block))


async def call_endless(
    env: NodeEnvironment, path: str, server: EndlessServer
) -> int:
    """Makes all servers endless; returns the status that the caller gets."""
    for backend in (*env.app, *env.pool):
        backend.stop()
    async with contextlib.AsyncExitStack() as stack:
        for backend in (*env.app, *env.pool):
            await stack.enter_async_context(server.listen(backend.port))
        headers = (("x-savorylift-token-counts", "100,50"),)
        extra = headers if path == "/stream/" else ()
        async with asyncio.timeout(MAX_ANSWER_S):
            response = await env.call(path, headers=extra)
            await server.is_closed.wait()
        return response.status


@pytest.mark.parametrize("path", ["/once/", "/stream/"])
@pytest.mark.parametrize(
    ("beginning", "block"),
    [
        pytest.param(b"", BLOCK, id="no head"),
        pytest.param(HEAD, b"x: y\r\n" * 1000, id="head"),
        pytest.param(
            b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1000, id="informational"
        ),
        pytest.param(HEAD + b"\r\n", BLOCK, id="body"),
        pytest.param(CHUNKED, b"10000\r\n" + BLOCK + b"\r\n", id="chunks"),
        pytest.param(CHUNKED, b"1" * 1000, id="chunk size"),
        pytest.param(CHUNKED + b"0\r\n", b"x: y\r\n" * 1000, id="trailer"),
    ],
)
def test_bytes_without_end_are_cut_off(
    path: str, beginning: bytes, block: bytes
) -> None:
    async def scenario(env: NodeEnvironment) -> None:
        server = EndlessServer(beginning, block)
        assert await call_endless(env, path, server) == 502
        assert server.requests == 1
        assert server.bytes_sent < MAX_BYTES_SENT
        assert RESPONSE_BUFFERS.in_use == 0

    run_in_environment(scenario)
