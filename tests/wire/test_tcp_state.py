"""Tests of what the system says of a connection."""

import asyncio
import socket
import time
from collections.abc import Iterator
from typing import NamedTuple

import pytest

from savorylift.boot_clock import boot_time_s
from savorylift.wire.channel import MAX_CURRENT_BYTES, Channel, connect
from savorylift.wire.tcp_state import TcpState

PAUSE_S = 0.1
SLACK_S = 0.05


class Pair(NamedTuple):
    """Two ends of a connection."""

    near: socket.socket
    far: socket.socket


@pytest.fixture
def pair() -> Iterator[Pair]:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        near = socket.create_connection(listener.getsockname())
        far, _ = listener.accept()
        with near, far:
            yield Pair(near, far)


def test_peer_was_heard_when_bytes_arrived(pair: Pair) -> None:
    state = TcpState(pair.near)
    time.sleep(PAUSE_S)
    sent_s = boot_time_s()
    pair.far.send(b"x")
    time.sleep(PAUSE_S)
    assert state.heard_s() is None
    pair.near.recv(1)
    heard_s = state.heard_s()
    assert heard_s is not None
    assert sent_s - SLACK_S <= heard_s <= sent_s + SLACK_S


def test_peer_that_sends_nothing_was_heard_as_it_accepted(pair: Pair) -> None:
    state = TcpState(pair.near)
    time.sleep(PAUSE_S)
    heard_s = state.heard_s()
    assert heard_s is not None
    assert heard_s <= state.opened_s


@pytest.mark.parametrize("is_reset", [False, True])
def test_end_shows_before_what_came_first_is_read(
    pair: Pair, *, is_reset: bool
) -> None:
    """Input that nobody reads hid the end of a connection."""
    state = TcpState(pair.near)
    pair.far.send(b"x")
    if is_reset:
        pair.near.send(b"y")
        time.sleep(PAUSE_S)
    pair.far.close()
    time.sleep(PAUSE_S)
    assert state.heard_s() is None


def test_own_end_shows(pair: Pair) -> None:
    state = TcpState(pair.near)
    pair.near.close()
    assert state.heard_s() is None


def test_time_that_the_system_was_suspended_hides_what_it_heard(
    pair: Pair, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The system doesn't count it, so that bytes seem to have come later."""
    state = TcpState(pair.near)
    monkeypatch.setattr(
        "savorylift.wire.tcp_state.boot_time_s", lambda: boot_time_s() + 5.0
    )
    assert state.heard_s() is None


@pytest.mark.parametrize(
    ("size", "is_heard"), [(100, True), (20 * MAX_CURRENT_BYTES, False)]
)
def test_peer_of_a_reader_that_was_behind_shows_nothing(
    size: int, *, is_heard: bool
) -> None:
    """What a process had queued as it ended arrives after its end."""

    async def scenario() -> None:
        server = await asyncio.start_server(
            lambda _, writer: writer.write(bytes(size)), "127.0.0.1", 0
        )
        async with server:
            port = server.sockets[0].getsockname()[1]
            channel = await connect("127.0.0.1", port, 1.0)
            await read(channel, size)
            assert (channel.heard_s() is not None) is is_heard
            channel.abort()

    asyncio.run(scenario())


async def read(channel: Channel, size: int) -> None:
    """Reads later than bytes arrive."""
    await asyncio.sleep(PAUSE_S)
    while size:
        size -= len(await channel.read())
