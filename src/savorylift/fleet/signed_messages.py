"""Messages between nodes with their authentication codes."""

from returns.result import Failure, Result

from savorylift.fleet.codec import Message, decode
from savorylift.fleet.message_auth import MessageAuthenticator


def decode_signed(
    data: bytes, authenticator: MessageAuthenticator
) -> Result[Message, str]:
    """Returns the message in a datagram, or why it isn't taken."""
    message = authenticator.verify(data)
    if message is None:
        return Failure("message authentication failed with every peer key")
    return decode(message)
