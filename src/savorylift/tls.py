"""Creates TLS contexts from settings."""

import asyncio.sslproto
import ssl

from savorylift.settings import TlsSettings

# That of a record. asyncio fills a buffer for each connection as it begins.
BUFFER_BYTES = 16_384


def server_context(tls: TlsSettings | None) -> ssl.SSLContext | None:
    """Returns the TLS context of a listener; None for plain connections.

    Raises:
        OSError: A file can't be read or isn't a matching PEM certificate chain
            or key.
    """
    if tls is None:
        return None
    asyncio.sslproto.SSLProtocol.max_size = BUFFER_BYTES
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(tls.certificate, tls.private_key)
    return context
