"""Opens connections."""

import asyncio
import contextlib
import socket

from savorylift.wire import metrics
from savorylift.wire.channel import Channel
from savorylift.wire.connection_socket import (
    ANSWER_WINDOW_BYTES,
    limit_receive_buffer,
)
from savorylift.wire.input_timeout import InputTimeout
from savorylift.wire.purpose import Purpose

# Received and not yet read of an answer, beside `ANSWER_WINDOW_BYTES`.
ANSWER_BUFFER_BYTES = 16_384
# There are few of these at once, and they carry long answers.
WIDE_PURPOSES = frozenset({Purpose.STORE, Purpose.COPY, Purpose.OTHER})


async def connect(
    host: str,
    port: int,
    timeout_s: float,
    purpose: Purpose = Purpose.OTHER,
) -> Channel:
    """Opens a connection.

    Args:
        host: Address to connect to.
        port: Port to connect to.
        timeout_s: Timeout of the attempt.
        purpose: What it is for, in metrics.

    Raises:
        OSError: It was refused or reset, or timed out.
    """
    metrics.CONNECTIONS_OPENED.labels(purpose.value).inc()
    loop = asyncio.get_running_loop()
    async with InputTimeout(timeout_s):
        if purpose in WIDE_PURPOSES:
            _, channel = await loop.create_connection(Channel, host, port)
            return channel
        return await _connect_narrow(host, port)


async def _connect_narrow(host: str, port: int) -> Channel:
    """Opens a connection for which the system receives little in advance.

    Raises:
        OSError: It was refused or reset.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    loop = asyncio.get_running_loop()
    with contextlib.ExitStack() as stack:
        sock = stack.enter_context(socket.socket(family))
        sock.setblocking(False)
        # Before it connects: this decides how much may be sent at first.
        limit_receive_buffer(sock, ANSWER_WINDOW_BYTES)
        await loop.sock_connect(sock, (host, port))
        _, channel = await loop.create_connection(Channel, sock=sock)
        stack.pop_all()
    channel.limit_input(ANSWER_BUFFER_BYTES)
    return channel
