"""Decodes what servers on the users' platform say of their plans."""

from savorylift.exchange.server_notice import ServerNotice
from savorylift.platform.headers import RETRY_AFTER, SERVER_LEAVING
from savorylift.wire.message import ResponseHead
from savorylift.wire.retry_after import parse_retry_after

MISDIRECTED_STATUS = 421
UNAVAILABLE_STATUS = 503


def decode_notice(head: ResponseHead) -> ServerNotice:
    """Returns the notice in the head of a server's answer.

    A 421 says nothing of the server that was meant.
    """
    if head.status == MISDIRECTED_STATUS:
        return ServerNotice()
    return ServerNotice(
        is_leaving=head.header(SERVER_LEAVING) is not None,
        hold_s=_decode_hold(head),
    )


def _decode_hold(head: ResponseHead) -> float | None:
    """Returns for how long the server wants no requests of this node."""
    if head.status != UNAVAILABLE_STATUS:
        return None
    return parse_retry_after(
        head.header_values(RETRY_AFTER), head.header("date")
    )
