"""Tests of a listener with TLS."""

import asyncio
import datetime as dt
import ipaddress
import pathlib
import ssl

import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec

from savorylift.settings import TlsSettings
from savorylift.tls import server_context
from savorylift.wire.listener import Listener, connection_handler
from savorylift.wire.message import Request, Response
from savorylift.wire.request_input import InputLimits
from tests.harness.ports import free_addresses
from tests.wire.loopback import run_with_timeout


def write_certificate(folder: pathlib.Path) -> TlsSettings:
    """Writes a self-signed certificate for loopback."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, "node")])
    now = dt.datetime.now(dt.UTC)
    address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - dt.timedelta(minutes=1))
        .not_valid_after(now + dt.timedelta(hours=1))
        .add_extension(x509.SubjectAlternativeName([address]), critical=False)
        .sign(key, hashes.SHA256())
    )
    pem = serialization.Encoding.PEM
    files = TlsSettings(str(folder / "cert.pem"), str(folder / "key.pem"))
    pathlib.Path(files.certificate).write_bytes(certificate.public_bytes(pem))
    pathlib.Path(files.private_key).write_bytes(
        key.private_bytes(
            pem,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return files


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
