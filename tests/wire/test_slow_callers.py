"""Tests of callers that read too slowly as the process that answers ends."""

import socket
import time

import pytest

from tests.wire.serving_process import END_MARK, HOST, serving

REQUEST = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
TIMEOUT_S = 10.0
MAX_RECEIVE_BYTES = 65_536
RECEIVE_BUFFER_BYTES = 4096
# What the system takes at once, and more than it ever holds.
HELD_BYTES = 20_000
LARGE_BYTES = 16_000_000
SERVING_S = 0.6
LONG_S = 20.0


def read_to_end(caller: socket.socket) -> tuple[bytes, bool]:
    """Returns what came, and whether the connection ended in order."""
    data = bytearray()
    try:
        while part := caller.recv(MAX_RECEIVE_BYTES):
            data += part
    except ConnectionError:
        return bytes(data), False
    return bytes(data), True


@pytest.mark.parametrize("is_killed", [False, True])
@pytest.mark.parametrize(
    ("size", "is_ended", "looks_whole"),
    [
        (HELD_BYTES, True, True),
        (HELD_BYTES, False, False),
        (LARGE_BYTES, True, False),
        (LARGE_BYTES, False, False),
    ],
)
def test_unframed_response_to_a_slow_caller_looks_whole_only_with_all_of_it(
    size: int,
    is_ended: bool,  # noqa: FBT001
    looks_whole: bool,  # noqa: FBT001
    is_killed: bool,  # noqa: FBT001
) -> None:
    serving_s = LONG_S if is_killed else SERVING_S
    with serving(None, size, serving_s, is_ended=is_ended) as (port, process):
        caller = socket.socket()
        caller.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        caller.settimeout(TIMEOUT_S)
        caller.connect((HOST, port))
        caller.sendall(REQUEST)
        caller.recv(1, socket.MSG_PEEK)
        time.sleep(SERVING_S)
        if is_killed:
            process.kill()
        process.join()
        data, is_in_order = read_to_end(caller)
        caller.close()
    assert is_in_order is looks_whole
    assert data.endswith(END_MARK) or not looks_whole
