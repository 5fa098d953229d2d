"""Options of the link between nodes."""

import logging
import ssl
from collections.abc import Callable
from typing import NamedTuple

from savorylift.identity import NodeRef
from savorylift.peers.auth import PeerKeys
from savorylift.peers.counters import LinkCounters

# Failed handshakes are counted; anyone who finds the port can cause them.
QUIET = logging.Logger("peer-websockets", logging.CRITICAL)


class LinkOptions(NamedTuple):
    """Everything a link needs.

    Attributes:
        own: This node.
        host: IP number to listen on.
        port: Port to listen on; 0 for any free one.
        address_of: Finds the `ip:port` of a node's listener, if known.
        is_ended: Tells whether an incarnation is known to have ended.
        counters: Where messages and drops are counted.
        keys: Shared secrets; empty to rely on mutual TLS or a closed network.
        server_tls: Context of the listener; None for plain TCP.
        client_tls: Context of opened connections; None for plain TCP.
        max_message_bytes: Largest frame accepted.
        max_queue: Frames that may wait for one connection.
        open_timeout_s: Bound on opening a connection.
        ping_interval_s: The opening side pings when nothing has come back for
            this long after it sent something.
        ping_timeout_s: Silence after a ping that ends a connection.
        close_timeout_s: Bound on the closing handshake.
        idle_s: An unused connection is closed after this long.
        retry_s: Time after a failed opening in which messages are dropped.
    """

    own: NodeRef
    host: str
    port: int
    address_of: Callable[[NodeRef], str | None]
    is_ended: Callable[[NodeRef], bool]
    counters: LinkCounters
    keys: PeerKeys = PeerKeys()
    server_tls: ssl.SSLContext | None = None
    client_tls: ssl.SSLContext | None = None
    max_message_bytes: int = 1 << 20
    max_queue: int = 1024
    open_timeout_s: float = 1.0
    ping_interval_s: float = 1.0
    ping_timeout_s: float = 1.0
    close_timeout_s: float = 0.2
    idle_s: float = 30.0
    retry_s: float = 0.2


def seed_ref(address: str) -> NodeRef:
    """Returns the name of whichever incarnation listens at `address`."""
    return NodeRef(address, "")
