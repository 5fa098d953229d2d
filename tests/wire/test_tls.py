"""Tests of a listener with TLS."""

import asyncio
import pathlib
import ssl

import pytest

from savorylift.settings import TlsSettings
from savorylift.tls import server_context
from savorylift.wire.listener import Listener, connection_handler
from savorylift.wire.message import Request, Response
from savorylift.wire.request_input import InputLimits
from tests.harness.certificates import write_certificate
from tests.harness.ports import free_addresses
from tests.wire.loopback import run_with_timeout


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


def test_missing_certificate_file_is_reported(tmp_path: pathlib.Path) -> None:
    missing = str(tmp_path / "none.pem")
    with pytest.raises(OSError, match="No such file"):
        server_context(TlsSettings(missing, missing))
