"""Certificates of listeners with TLS on loopback."""

import datetime as dt
import ipaddress
import pathlib
import ssl

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec

from savorylift.settings import TlsSettings


def client_context() -> ssl.SSLContext:
    """Returns the context of callers that trust any certificate."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    context.verify_mode = ssl.CERT_NONE
    return context


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
