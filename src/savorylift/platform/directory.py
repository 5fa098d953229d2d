"""HTTP handlers for node discovery and the platform's readiness checks."""

from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple

import msgspec

from savorylift.platform.codec import JSON_CONTENT_TYPE, query_value
from savorylift.wire.message import Request, Response

RESOLVE_PATH = "/resolution"
READINESS_PATH = "/readiness"
NOT_FOUND = Response(404, ())


class Lookup(NamedTuple):
    """A caller's request for the addresses of nodes.

    Attributes:
        host: Host name that the caller wants to reach.
        region: Region of the caller; None if not given.
        failure_domain: Failure domain of the caller; None if not given.
    """

    host: str
    region: str | None
    failure_domain: str | None


class Addresses(NamedTuple):
    """Addresses of nodes that a caller may connect to.

    Attributes:
        addresses: Addresses of nodes, as IP:PORT.
        ttl_s: How long a caller may cache the addresses.
    """

    addresses: Sequence[str]
    ttl_s: float


def directory_handler(
    resolve: Callable[[Lookup], Addresses],
) -> Callable[[Request], Awaitable[Response]]:
    """Returns the handler for requests to resolve a host name to nodes."""

    async def handle(req: Request) -> Response:
        if req.target.partition("?")[0] != RESOLVE_PATH:
            return NOT_FOUND
        found = resolve(
            Lookup(
                query_value(req.target, "name") or "",
                query_value(req.target, "region"),
                query_value(req.target, "zone"),
            )
        )
        body = {"addresses": list(found.addresses), "ttlS": found.ttl_s}
        return Response(200, (JSON_CONTENT_TYPE,), msgspec.json.encode(body))

    return handle


def readiness_handler(
    is_ready: Callable[[], bool],
) -> Callable[[Request], Awaitable[Response]]:
    """Returns the handler for the platform's readiness checks."""

    async def handle(req: Request) -> Response:
        if req.target.partition("?")[0] != READINESS_PATH:
            return NOT_FOUND
        return Response(200 if is_ready() else 503, ())

    return handle
