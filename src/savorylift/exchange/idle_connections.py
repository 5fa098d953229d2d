"""Keeps an idle connection to each server that answers without framing.

It stays open as long as the process does, whatever becomes of the answers.
"""

import asyncio
import contextlib
import time
import weakref

from savorylift.exchange import metrics
from savorylift.exchange.process_connections import (
    ProcessConnections,
    ProcessPlace,
)
from savorylift.wire.channel import Channel, connect

CONNECT_TIMEOUT_S = 0.2
# For how long a connection is kept after the latest need of it, and a service
# counts as one that answers without framing.
KEEP_S = 10.0
# Well below that: an answer that has just ended needs it for a moment.
LOOK_INTERVAL_S = 3.0
# A server that closes it earlier is asked for another one with the next answer
# only.
MIN_LIFE_S = 0.5
# Bounds the memory of services that are gone.
MAX_SERVICES = 1000


class IdleConnections:
    """At most one connection without a request to each process."""

    def __init__(self, connections: ProcessConnections) -> None:
        """Opens no connection yet.

        Args:
            connections: Where the connections are added.
        """
        self._connections = connections
        self._tasks: dict[ProcessPlace, asyncio.Task[None]] = {}
        # Connections of answers without framing.
        self._under_way: dict[ProcessPlace, weakref.WeakSet[Channel]] = {}
        self._needed_s: dict[ProcessPlace, float] = {}
        # Monotonic time of the latest answer without framing, by service; None
        # if all answers had one.
        self._unframed_s: dict[str, float | None] = {}

    def prepare(self, place: ProcessPlace, service: str) -> None:
        """Opens a connection if the answer to a request may need it.

        Args:
            place: Where the request goes.
            service: The service of that server.
        """
        if self._may_be_unframed(service):
            self._need(place)

    def record_head(self, service: str, *, is_close_delimited: bool) -> None:
        """Records how a service frames an answer."""
        if service not in self._unframed_s:
            while len(self._unframed_s) >= MAX_SERVICES:
                del self._unframed_s[next(iter(self._unframed_s))]
            self._unframed_s[service] = None
        if is_close_delimited:
            self._unframed_s[service] = time.monotonic()

    def begin(self, place: ProcessPlace, channel: Channel) -> None:
        """Holds a connection until that of an answer without framing closes."""
        self._under_way.setdefault(place, weakref.WeakSet()).add(channel)
        self._need(place)

    def _may_be_unframed(self, service: str) -> bool:
        if service not in self._unframed_s:
            return True
        unframed_s = self._unframed_s[service]
        return unframed_s is not None and time.monotonic() - unframed_s < KEEP_S

    def _need(self, place: ProcessPlace) -> None:
        self._needed_s[place] = time.monotonic()
        if place in self._tasks:
            return
        task = asyncio.get_running_loop().create_task(self._keep(place))
        self._tasks[place] = task

    async def _keep(self, place: ProcessPlace) -> None:
        """Keeps a connection open for as long as it is needed."""
        try:
            while self._is_needed(place):
                if not await self._hold_one(place):
                    return
        finally:
            del self._tasks[place]
            del self._needed_s[place]
            self._under_way.pop(place, None)

    async def _hold_one(self, place: ProcessPlace) -> bool:
        """Holds one connection; returns whether another one may follow."""
        try:
            channel = await connect(*place.address, CONNECT_TIMEOUT_S)
        except OSError:
            metrics.IDLE_CONNECTIONS.labels("failed").inc()
            return False
        metrics.IDLE_CONNECTIONS.labels("opened").inc()
        opened_s = time.monotonic()
        self._connections.add(place, channel, is_idle=True)
        try:
            await self._wait_while_needed(place, channel)
        finally:
            channel.abort()
        return time.monotonic() - opened_s >= MIN_LIFE_S

    async def _wait_while_needed(
        self, place: ProcessPlace, channel: Channel
    ) -> None:
        while self._is_needed(place) and channel.is_open:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(LOOK_INTERVAL_S):
                    await channel.peer_closed.wait()

    def _is_needed(self, place: ProcessPlace) -> bool:
        now_s = time.monotonic()
        channels = self._under_way.get(place, ())
        if any(not channel.transport.is_closing() for channel in channels):
            self._needed_s[place] = now_s
        return now_s - self._needed_s[place] < KEEP_S
