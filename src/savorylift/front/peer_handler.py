"""Serves connections from other nodes."""

from collections.abc import Awaitable, Callable

from savorylift.front.relay_headers import RELAY_HEADER, RELAYED, without_mark
from savorylift.wire.message import Request, Response
from savorylift.wire.request_input import BadRequest
from savorylift.wire.server_connection import ServerConnection


def peer_connection_handler(
    handle_request: Callable[[Request], Awaitable[Response]],
    serve_relayed: Callable[[ServerConnection, Request], Awaitable[None]],
    refuse_unreadable: Callable[[ServerConnection, BadRequest], None],
) -> Callable[[ServerConnection], Awaitable[None]]:
    """Returns a handler of connections from other nodes.

    Args:
        handle_request: Answers what concerns only the nodes.
        serve_relayed: Serves a caller's request that a node hands over.
        refuse_unreadable: Refuses a request that wasn't read whole.
    """

    async def serve(conn: ServerConnection) -> None:
        req = await conn.next_request()
        if isinstance(req, BadRequest) and req.retry_after_s is not None:
            # Without an answer, it would count as run.
            conn.add_headers(RELAYED)
            refuse_unreadable(conn, req)
            await conn.channel.close_gracefully()
            return
        if not isinstance(req, Request):
            return
        if req.header_values(RELAY_HEADER):
            conn.add_headers(RELAYED)
            await serve_relayed(conn, without_mark(req))
            return
        conn.is_closing = True
        response = await handle_request(req)
        conn.respond(response.status, response.headers, response.body)
        await conn.flush()
        await conn.channel.close_gracefully()

    return serve
