"""A server in trouble, whose answers have statuses that don't exist."""

import contextlib
import json
from collections.abc import AsyncIterator

from savorylift.wire import metrics
from savorylift.wire.channel import Channel
from tests.wire.loopback import serve_bytes

STATUSES = ["000", "099", "199", "600", "999"]
# What each question would take for an answer, if the status were one.
BODY = json.dumps(
    {
        "born": 1,
        "state": "draining",
        "handle": "h",
        "createdRev": 3,
        "cold": False,
        "leaving": True,
        "items": [],
        "end": 7,
        "offset": 7,
    }
).encode()


def lying_answer(status: str, body: bytes = BODY) -> bytes:
    """Returns an answer that is sound but for its status."""
    head = (
        f"HTTP/1.1 {status} X\r\nserver-leaving: 1\r\n"
        f"content-length: {len(body)}\r\nconnection: close\r\n\r\n"
    )
    return head.encode() + body


@contextlib.asynccontextmanager
async def lying_server(status: str) -> AsyncIterator[tuple[str, int]]:
    """Answers each request with a status; yields its address."""

    async def answer(channel: Channel) -> None:
        await channel.read()
        channel.write(lying_answer(status))
        await channel.close_gracefully()

    server, port = await serve_bytes(answer)
    try:
        yield "127.0.0.1", port
    finally:
        server.close()


def count_unreadable() -> float:
    """Returns how many answers were counted that are no valid HTTP/1."""
    counts = metrics.ANSWERS_UNREADABLE.children.values()
    return sum(count.value for count in counts)
