"""Tests of listeners that are closed while connections arrive."""

import asyncio
import socket
import time

import pytest

from savorylift.wire.listener import Listener, connection_handler
from savorylift.wire.message import Request, Response
from savorylift.wire.request_input import InputLimits
from tests.harness.ports import free_addresses

CONNECTIONS = 20
CLOSING_S = 0.3
REQUEST = b"GET / HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n"


async def respond(_: Request) -> Response:
    return Response(200, (), b"whole")


def open_connection(port: int) -> socket.socket:
    """Sends a request without letting the event loop run."""
    conn = socket.create_connection(("127.0.0.1", port), timeout=1.0)
    conn.sendall(REQUEST)
    return conn


@pytest.mark.parametrize("loop_iterations", range(6))
def test_connections_that_were_just_accepted_are_served(
    loop_iterations: int,
) -> None:
    async def scenario() -> list[bytes]:
        port = int(free_addresses(1)[0].rpartition(":")[2])
        listener = Listener(connection_handler(respond), InputLimits)
        await listener.start("127.0.0.1", port)
        conns = [open_connection(port) for _ in range(CONNECTIONS)]
        for _ in range(loop_iterations):
            await asyncio.sleep(0)
        await listener.close_when_served(CLOSING_S)
        return [conn.recv(65_536) for conn in conns]

    responses = asyncio.run(scenario())
    assert all(response.endswith(b"whole") for response in responses)


def be_late(loop: asyncio.AbstractEventLoop, late_s: float) -> None:
    """Makes each pass of the event loop last so long, after its other work."""
    time.sleep(late_s)
    loop.call_later(0.0, be_late, loop, late_s)


@pytest.mark.parametrize("late_s", [0.06, 0.15])
def test_connections_accepted_at_the_end_of_a_late_node_are_served(
    late_s: float,
) -> None:
    async def scenario() -> list[bytes]:
        port = int(free_addresses(1)[0].rpartition(":")[2])
        listener = Listener(connection_handler(respond), InputLimits)
        await listener.start("127.0.0.1", port)
        closing = asyncio.ensure_future(listener.close_when_served(CLOSING_S))
        await asyncio.sleep(0)
        conns = [open_connection(port) for _ in range(CONNECTIONS)]
        be_late(asyncio.get_running_loop(), late_s)
        await closing
        return [conn.recv(65_536) for conn in conns]

    responses = asyncio.run(scenario())
    assert all(response.endswith(b"whole") for response in responses)
