"""TLS contexts from settings."""

import ssl

from savorylift.settings import Tls


def server_context(tls: Tls | None) -> ssl.SSLContext | None:
    """Returns a listener's context, or None for plain connections.

    Raises:
        OSError: A file can't be read, or is not what it should be.
    """
    if tls is None:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(tls.certificate, tls.private_key)
    return context
