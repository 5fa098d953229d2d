"""The connections for requests at each server that are open."""

import asyncio
import time
import weakref

from savorylift.exchange.idle_connections import ProcessPlace
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
    """Tells whether a server that refuses connections holds requests."""

    def __init__(self) -> None:
        """Starts without any connection."""
        # By ID and address of the server.
        self._channels: dict[
            tuple[str, tuple[str, int]], weakref.WeakSet[Channel]
        ] = {}

    def add(self, place: ProcessPlace, channel: Channel) -> None:
        """Adds a connection that has just been opened."""
        server = place.server_id, place.address
        known = self._channels.pop(server, None) or weakref.WeakSet()
        while len(self._channels) >= MAX_SERVERS:
            del self._channels[next(iter(self._channels))]
        self._channels[server] = known
        known.add(channel)

    def has_other(self, place: ProcessPlace, channel: Channel) -> bool:
        """Whether other connections than one are open.

        For the arguments see `any_stays_open`.
        """
        return bool(self._others(place, channel))

    async def any_stays_open(
        self, place: ProcessPlace, channel: Channel
    ) -> bool:
        """Whether a server holds other requests than one that has ended.

        Args:
            place: The server.
            channel: Connection of the request that has ended.
        """
        until_s = time.monotonic() + MAX_CLOSING_S
        while others := self._others(place, channel):
            if time.monotonic() >= until_s:
                return True
            if not await _is_one_closed(others[:MAX_WATCHED]):
                return bool(self._others(place, channel))
        return False

    def _others(self, place: ProcessPlace, channel: Channel) -> list[Channel]:
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
