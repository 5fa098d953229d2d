"""Tests of the bytes that a connection has yet to hand to its transport."""

import asyncio
from typing import cast

import pytest

from savorylift.wire.send_queue import MAX_WRITE_BYTES, SendQueue


class FakeTransport:
    """Keeps what it gets.

    Attributes:
        sent: What it got, in order.
        closes: Whether it is closing.
    """

    def __init__(self) -> None:
        self.sent: list[bytes] = []
        self.closes = False

    def write(self, data: bytes) -> None:
        self.sent.append(bytes(data))

    def is_closing(self) -> bool:
        return self.closes

    def get_write_buffer_size(self) -> int:
        return 0


def make_queue() -> tuple[SendQueue, FakeTransport]:
    transport = FakeTransport()
    return SendQueue(cast("asyncio.Transport", transport)), transport


@pytest.mark.parametrize("is_shared", [False, True])
def test_order_is_kept_while_the_peer_reads_slowly(*, is_shared: bool) -> None:
    queue, transport = make_queue()
    queue.pause()
    body = bytes(MAX_WRITE_BYTES) + b"rest"
    (queue.write_shared if is_shared else queue.write_large)(body)
    queue.write(b"end")
    assert transport.sent == []
    assert queue.unsent_bytes == len(body) + 3
    queue.resume()
    assert transport.sent == [bytes(MAX_WRITE_BYTES), b"rest", b"end"]
    assert queue.unsent_bytes == 0


def test_flush_hands_over_all_although_the_peer_reads_slowly() -> None:
    queue, transport = make_queue()
    queue.pause()
    queue.write_shared(b"a")
    queue.write(b"b")
    queue.flush()
    assert transport.sent == [b"a", b"b"]


def test_connection_that_closes_gets_nothing_more() -> None:
    queue, transport = make_queue()
    transport.closes = True
    queue.write(b"a")
    queue.write_shared(b"b")
    queue.flush()
    assert transport.sent == []
    assert queue.unsent_bytes == 0
