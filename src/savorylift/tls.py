"""TLS contexts from settings."""

import ssl

from savorylift.settings import Tls


def server_context(
    tls: Tls | None, *, asks_certificate: bool = False
) -> ssl.SSLContext | None:
    """Returns a listener's context, or None for plain connections.

    Args:
        tls: Files of the listener.
        asks_certificate: True to accept only clients whose certificate is
            signed by one of the authorities.

    Raises:
        OSError: A file can't be read, or is not what it should be.
    """
    if tls is None:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(tls.certificate, tls.private_key)
    if asks_certificate:
        context.load_verify_locations(tls.authorities)
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def client_context(tls: Tls | None) -> ssl.SSLContext | None:
    """Returns the context of connections between nodes, or None.

    Raises:
        OSError: A file can't be read, or is not what it should be.
    """
    if tls is None:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    # Nodes are named by IP number; the authority vouches for membership.
    context.check_hostname = False
    context.load_verify_locations(tls.authorities)
    context.load_cert_chain(tls.certificate, tls.private_key)
    return context
