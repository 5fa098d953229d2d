"""The calls by which callers find nodes and the platform checks them."""

from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple

import msgspec

from savorylift.platform.ingress import JSON_TYPE, query_value
from savorylift.wire.message import Request, Response

RESOLVE_PATH = "/resolution"
READY_PATH = "/readiness"
NOT_FOUND = Response(404, ())


class Lookup(NamedTuple):
    """A caller's question where to connect.

    Attributes:
        host: Name that it wants to reach.
        region: Its region, if it says so.
        failure_domain: Its failure domain, if it says so.
    """

    host: str
    region: str | None
    failure_domain: str | None


class Addresses(NamedTuple):
    """Where callers may connect.

    Attributes:
        addresses: IP:PORT of nodes.
        ttl_s: How long a caller may keep the answer.
    """

    addresses: Sequence[str]
    ttl_s: float


def directory_handler(
    resolve: Callable[[Lookup], Addresses],
) -> Callable[[Request], Awaitable[Response]]:
    """Returns the handler of the directory's address."""

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
        return Response(200, (JSON_TYPE,), msgspec.json.encode(body))

    return handle


def readiness_handler(
    is_ready: Callable[[], bool],
) -> Callable[[Request], Awaitable[Response]]:
    """Returns the handler of the address at which readiness is asked."""

    async def handle(req: Request) -> Response:
        if req.target.partition("?")[0] != READY_PATH:
            return NOT_FOUND
        return Response(200 if is_ready() else 503, ())

    return handle
