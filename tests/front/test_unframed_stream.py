"""Tests of streams that end with their connection."""

import asyncio

import pytest

from savorylift.wire.client_call import BrokenAnswerError
from tests.front.environment import (
    NodeEnvironment,
    event_numbers,
    run_in_environment,
)
from tests.standins.platform_server import RESPONSE_SIGNATURE_HEADER

HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Savorylift-Attempt-Id: a1\r\n"
    + ": ".join(RESPONSE_SIGNATURE_HEADER).encode()
    + b"\r\n\r\n"
)
REPORT = b'HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n{"born": 1}'
TOKEN_COUNTS = (("x-savorylift-token-counts", "100,50"),)


async def call_with_stream(env: NodeEnvironment, stream: bytes) -> bytes:
    """Lets the engines send a stream without length or chunks.

    Raises:
        BrokenAnswerError: The caller can tell that it is incomplete.
    """

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        request = await reader.readuntil(b"\r\n\r\n")
        is_report = request.startswith(b"GET /report ")
        writer.write(REPORT if is_report else HEAD + stream)
        writer.close()

    for engine in env.pool:
        engine.stop()
        await asyncio.start_server(serve, "127.0.0.1", engine.port)
    return (await env.call("/stream/", headers=TOKEN_COUNTS)).body


def test_stream_that_ends_after_an_event_is_complete() -> None:
    async def scenario(env: NodeEnvironment) -> None:
        body = await call_with_stream(env, b"id: 1\n\nid: 2\ndata: x\n\n")
        assert event_numbers(body) == [1, 2]

    run_in_environment(scenario)


@pytest.mark.parametrize("rest", [b"i", b"id: 2\nda", b"id: 2\ndata: x\n"])
def test_stream_that_ends_within_an_event_is_not_passed_on_as_complete(
    rest: bytes,
) -> None:
    async def scenario(env: NodeEnvironment) -> None:
        with pytest.raises(BrokenAnswerError):
            await call_with_stream(env, b"id: 1\ndata: x\n\n" + rest)

    run_in_environment(scenario)
