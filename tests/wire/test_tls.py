"""Tests of a listener with TLS."""

import asyncio
import gc
import pathlib
import ssl
import time
import weakref
from typing import Any

import pytest

from savorylift.settings import TlsSettings
from savorylift.tls import server_context
from savorylift.wire.channel import LINGER_TIMEOUT_S, Channel
from savorylift.wire.connection_limit import ConnectionLimit
from savorylift.wire.listener import Listener, connection_handler
from savorylift.wire.message import Request, Response
from savorylift.wire.request_input import InputLimits
from tests.harness.certificates import client_context, write_certificate
from tests.harness.ports import free_addresses
from tests.harness.tls_caller import End, TlsCaller
from tests.wire.loopback import run_with_timeout
from tests.wire.serving_process import END_MARK, HOST, serving

REQUEST = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
# More than the system and the process buffer of one connection.
LARGE_BYTES = 16_000_000
SMALL_BYTES = 10
# The process that serves ends so long after it has written its response.
SERVING_S = 0.6
# A caller is not kept waiting for an end that is there.
AT_ONCE_S = 0.5


async def _echo_target(req: Request) -> Response:
    return Response(200, (), req.target.encode())


def test_only_tls_clients_that_trust_the_certificate_get_a_response(
    tmp_path: pathlib.Path,
) -> None:
    files = write_certificate(tmp_path)
    (address,) = free_addresses(1)
    host, _, port = address.rpartition(":")

    async def send_request(tls: ssl.SSLContext | None) -> bytes:
        reader, writer = await asyncio.open_connection(host, int(port), ssl=tls)
        writer.write(b"GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
        try:
            return await reader.read()
        finally:
            writer.close()

    async def scenario() -> None:
        listener = Listener(connection_handler(_echo_target), InputLimits)
        await listener.start(host, int(port), server_context(files))
        trusting_context = ssl.create_default_context(cafile=files.certificate)
        assert (await send_request(trusting_context)).endswith(b"/x")
        with pytest.raises(ssl.SSLError):
            await send_request(ssl.create_default_context())
        assert await send_request(None) == b""

    run_with_timeout(scenario())


def test_connection_counts_until_its_caller_has_closed_it_too(
    tmp_path: pathlib.Path,
) -> None:
    """It kept its descriptor for half a minute, and counted no more."""
    files = write_certificate(tmp_path)
    (address,) = free_addresses(1)
    host, _, port = address.rpartition(":")

    async def scenario() -> None:
        limit = ConnectionLimit(2)
        listener = Listener(
            connection_handler(_echo_target), InputLimits, limit=limit
        )
        await listener.start(host, int(port), server_context(files))
        caller = await asyncio.to_thread(TlsCaller, host, int(port))
        await asyncio.to_thread(caller.send, b"nonsense\r\n\r\n")
        await asyncio.sleep(LINGER_TIMEOUT_S + AT_ONCE_S)
        assert limit.size == 1
        _, end = await asyncio.to_thread(caller.read_to_end)
        assert end is End.NOTICE
        while limit.size:
            await asyncio.sleep(0.01)

    run_with_timeout(scenario())


def test_handshake_counts_and_ends_with_its_connection(
    tmp_path: pathlib.Path,
) -> None:
    files = write_certificate(tmp_path)
    (address,) = free_addresses(1)
    host, _, port = address.rpartition(":")

    async def scenario() -> None:
        limit = ConnectionLimit(2)
        listener = Listener(
            connection_handler(_echo_target), InputLimits, limit=limit
        )
        await listener.start(host, int(port), server_context(files))
        _, writer = await asyncio.open_connection(host, int(port))
        while not limit.size:
            await asyncio.sleep(0.01)
        writer.close()
        while limit.size:
            await asyncio.sleep(0.01)

    run_with_timeout(scenario())


def test_lost_connection_holds_no_buffers_of_tls(
    tmp_path: pathlib.Path,
) -> None:
    """They were freed by the garbage collector only, many at a time."""
    files = write_certificate(tmp_path)
    (address,) = free_addresses(1)
    host, _, port = address.rpartition(":")
    protocols: list[weakref.ref[object]] = []

    def accept() -> Channel:
        def on_connect(channel: Channel) -> None:
            # The protocol of TLS, which has no public name.
            tls: Any = channel.transport
            protocols.append(weakref.ref(tls._ssl_protocol))

        return Channel(on_connect)

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            accept, host, int(port), ssl=server_context(files)
        )
        _, writer = await asyncio.open_connection(
            host, int(port), ssl=client_context()
        )
        while not protocols:
            await asyncio.sleep(0.01)
        writer.transport.abort()
        while protocols[0]() is not None:
            await asyncio.sleep(0.01)
        server.close()

    gc.disable()
    try:
        run_with_timeout(scenario())
    finally:
        gc.enable()


def test_missing_certificate_file_is_reported(tmp_path: pathlib.Path) -> None:
    missing = str(tmp_path / "none.pem")
    with pytest.raises(OSError, match="No such file"):
        server_context(TlsSettings(missing, missing))


@pytest.mark.parametrize("size", [SMALL_BYTES, LARGE_BYTES])
def test_unframed_response_over_tls_ends_with_a_notice_at_once(
    size: int, tmp_path: pathlib.Path
) -> None:
    files = write_certificate(tmp_path)
    with serving(files, size, 20.0, is_ended=True) as (port, _):
        caller = TlsCaller(HOST, port)
        caller.send(REQUEST)
        if size == LARGE_BYTES:
            time.sleep(SERVING_S)
        began_s = time.monotonic()
        data, end = caller.read_to_end()
    assert end is End.NOTICE
    assert data.endswith(b"\r\n\r\n" + b"x" * size + END_MARK)
    if size == SMALL_BYTES:
        assert time.monotonic() - began_s < AT_ONCE_S


@pytest.mark.parametrize("is_killed", [False, True])
@pytest.mark.parametrize(
    ("size", "is_ended"),
    [(SMALL_BYTES, False), (LARGE_BYTES, False), (LARGE_BYTES, True)],
)
def test_unframed_response_over_tls_that_is_cut_off_is_reset(
    size: int,
    is_ended: bool,  # noqa: FBT001
    is_killed: bool,  # noqa: FBT001
    tmp_path: pathlib.Path,
) -> None:
    files = write_certificate(tmp_path)
    serving_s = 20.0 if is_killed else SERVING_S
    with serving(files, size, serving_s, is_ended=is_ended) as (port, process):
        caller = TlsCaller(HOST, port)
        caller.send(REQUEST)
        if size == SMALL_BYTES:
            caller.read_until(b"x" * size + END_MARK)
        else:
            time.sleep(SERVING_S)
        if is_killed:
            process.kill()
        process.join()
        data, end = caller.read_to_end()
    assert end is End.RESET
    if size == LARGE_BYTES:
        assert not data.endswith(END_MARK)
