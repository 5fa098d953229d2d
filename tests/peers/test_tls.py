"""Mutual TLS between nodes."""

import datetime as dt
import ipaddress
import pathlib
import ssl

import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec

from savorylift.identity import NodeRef
from tests.peers.linkkit import Network, Peer


def write_certificate(folder: pathlib.Path) -> tuple[str, str]:
    """Writes a self-signed certificate for loopback; returns file names."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, "peer")])
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
    certificate_file, key_file = folder / "cert.pem", folder / "key.pem"
    certificate_file.write_bytes(certificate.public_bytes(pem))
    key_file.write_bytes(
        key.private_bytes(
            pem,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return str(certificate_file), str(key_file)


def contexts(files: tuple[str, str]) -> tuple[ssl.SSLContext, ssl.SSLContext]:
    """Returns the listener's and the opener's context."""
    server = ssl.create_default_context(
        ssl.Purpose.CLIENT_AUTH, cafile=files[0]
    )
    server.verify_mode = ssl.CERT_REQUIRED
    client = ssl.create_default_context(cafile=files[0])
    for context in (server, client):
        context.load_cert_chain(*files)
    return server, client


@pytest.mark.parametrize(
    ("is_same", "expected"), [(True, "HI"), (False, "unsent")]
)
def test_only_trusted_certificates_talk(
    tmp_path: pathlib.Path, *, is_same: bool, expected: str
) -> None:
    (tmp_path / "other").mkdir()
    server, client = contexts(write_certificate(tmp_path))
    if not is_same:
        _, client = contexts(write_certificate(tmp_path / "other"))
    network = Network()
    a, b = (
        Peer(network, NodeRef(vm, "1"), server_tls=server, client_tls=client)
        for vm in ("a", "b")
    )
    assert a.ask(b.ref, "hi") == expected
    assert a.link.stop()
    assert b.link.stop()
