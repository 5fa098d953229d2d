"""The connections for requests at each server that are open."""

import asyncio
import time
import weakref

from savorylift.processes.idle_connections import ProcessPlace
from savorylift.wire.channel import Channel

# A process that ends closes its connections one after the other, each within
# the first time, and all within the second one.
CLOSING_S = 0.05
MAX_CLOSING_S = 0.3
# Connections that are watched at a time.
MAX_WATCHED = 50
# Bounds the memory of servers that are gone.
MAX_SERVERS = 10_000


class RequestConnections:
    """Tells whether a server that takes no connection holds requests."""

    def __init__(self) -> None:
        """Starts without any connection."""
        # By ID and address of the server.
        self._channels: dict[
            tuple[str, tuple[str, int]], weakref.WeakSet[Channel]
        ] = {}
        self._places: weakref.WeakKeyDictionary[Channel, ProcessPlace] = (
            weakref.WeakKeyDictionary()
        )

    def add(self, place: ProcessPlace, channel: Channel) -> None:
        """Adds a connection that has just been opened."""
        server = place.server_id, place.address
        known = self._channels.pop(server, None) or weakref.WeakSet()
        while len(self._channels) >= MAX_SERVERS:
            del self._channels[next(iter(self._channels))]
        self._channels[server] = known
        known.add(channel)
        self._places[channel] = place

    def has_other(self, channel: Channel) -> bool:
        """Whether a server holds other requests that are known to be open.

        Args:
            channel: Connection of the request that has ended.
        """
        return bool(self._others(channel))

    async def any_stays_open(self, channel: Channel) -> bool:
        """Whether a server goes on to hold other requests.

        For the arguments see `has_other`.
        """
        until_s = time.monotonic() + MAX_CLOSING_S
        while others := self._others(channel):
            if time.monotonic() >= until_s:
                return True
            if not await _is_one_closed(others[:MAX_WATCHED]):
                return bool(self._others(channel))
        return False

    def _others(self, channel: Channel) -> list[Channel]:
        place = self._places.get(channel)
        if place is None:
            return []
        server = place.server_id, place.address
        return [
            other
            for other in self._channels.get(server, ())
            if other is not channel and other.is_known_open
        ]


async def _is_one_closed(channels: list[Channel]) -> bool:
    """Waits for `CLOSING_S` at most until any of some connections is closed."""
    waits = [
        asyncio.ensure_future(channel.peer_closed.wait())
        for channel in channels
    ]
    try:
        closed, _ = await asyncio.wait(
            waits, timeout=CLOSING_S, return_when=asyncio.FIRST_COMPLETED
        )
    finally:
        for wait in waits:
            wait.cancel()
    return bool(closed)
