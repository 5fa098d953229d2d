"""Decodes what servers of the completion interface say of their plans."""

from savorylift.exchange.server_notice import ServerNotice
from savorylift.wire.message import ResponseHead
from savorylift.wire.retry_after import parse_retry_after

DRAINING_HEADER = "savorylift-draining"
UNAVAILABLE_STATUS = 503


def decode_notice(head: ResponseHead) -> ServerNotice:
    """Returns the notice in the head of a server's answer."""
    hold_s = None
    if head.status == UNAVAILABLE_STATUS:
        hold_s = parse_retry_after(
            head.header_values("retry-after"), head.header("date")
        )
    return ServerNotice(head.header(DRAINING_HEADER) is not None, hold_s)
