"""Connects to a server, without a request, to find out whether it listens."""

import asyncio
import enum
import time

from savorylift.wire.channel import Channel
from savorylift.wire.connecting import connect
from savorylift.wire.purpose import Purpose

# A timeout that is seen so much too late is one of this node.
LATE_S = 0.05
MAX_ATTEMPTS = 2
# A process that is ending may accept a connection that it resets within this
# time.
SETTLE_S = 0.01


class NoContact(enum.Enum):
    """Why there is no connection.

    Attributes:
        REFUSED: Nothing listens at the address.
        UNREACHABLE: There was no reply in time, or the connection was reset.
    """

    REFUSED = "refused"
    UNREACHABLE = "unreachable"


async def open_contact(
    address: tuple[str, int], timeout_s: float
) -> Channel | NoContact:
    """Connects; tries again if this node was late, and not the server.

    Args:
        address: Host and port.
        timeout_s: For how long to wait for each connection.
    """
    for _ in range(MAX_ATTEMPTS):
        began_s = time.monotonic()
        try:
            return await connect(*address, timeout_s, Purpose.CONTACT)
        except ConnectionRefusedError:
            return NoContact.REFUSED
        except TimeoutError:
            if time.monotonic() - began_s < timeout_s + LATE_S:
                break
        except OSError:
            break
    return NoContact.UNREACHABLE


async def is_accepting(
    address: tuple[str, int], timeout_s: float
) -> bool | None:
    """Whether a server accepts a connection and leaves it open.

    Args:
        address: Host and port.
        timeout_s: For how long to wait for the connection.

    Returns:
        False if it refuses; None if that isn't known.
    """
    contact = await open_contact(address, timeout_s)
    if isinstance(contact, NoContact):
        return False if contact is NoContact.REFUSED else None
    try:
        await asyncio.sleep(SETTLE_S)
        return True if contact.is_known_open else None
    finally:
        contact.abort()
