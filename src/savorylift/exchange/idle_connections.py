"""Keeps idle connections to servers that answer without framing.

One stays open as long as its process does, whatever becomes of the answers.
"""

import asyncio
import time
import weakref
from collections.abc import Callable

from savorylift.exchange import metrics
from savorylift.exchange.process_connections import (
    ProcessConnections,
    ProcessPlace,
)
from savorylift.wire.channel import Channel, connect

CONNECT_TIMEOUT_S = 0.2
# For how long a connection is kept for answers to come, and a service counts as
# one that answers without framing.
KEEP_S = 10.0
# How often to look for answers whose requests were given up.
LOOK_INTERVAL_S = 1.0
# A server that closes it earlier gets another one with the next answer only.
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
        self._keepers: dict[ProcessPlace, _Keeper] = {}
        # Monotonic time of the latest answer without framing, by service.
        self._unframed_s: dict[str, float] = {}

    def prepare(self, place: ProcessPlace, service: str) -> None:
        """Opens a connection if the answer to a request may need it.

        Args:
            place: Where the request goes.
            service: The service of that server.
        """
        unframed_s = self._unframed_s.get(service)
        if unframed_s is not None and time.monotonic() - unframed_s < KEEP_S:
            self._keeper(place).keep_until(time.monotonic() + KEEP_S)

    def begin(
        self, place: ProcessPlace, service: str, channel: Channel
    ) -> None:
        """Keeps a connection while an answer without framing is under way.

        Args:
            place: Where the request went.
            service: The service of that server.
            channel: Connection of the answer.
        """
        self._unframed_s.pop(service, None)
        while len(self._unframed_s) >= MAX_SERVICES:
            del self._unframed_s[next(iter(self._unframed_s))]
        self._unframed_s[service] = time.monotonic()
        self._keeper(place).begin(channel)

    def end(self, place: ProcessPlace, channel: Channel) -> None:
        """Ends `begin`, once it is known whether the process lives."""
        keeper = self._keepers.get(place)
        if keeper is not None:
            keeper.end(channel)

    def _keeper(self, place: ProcessPlace) -> "_Keeper":
        keeper = self._keepers.get(place)
        if keeper is None:
            keeper = self._keepers[place] = _Keeper(place, self._connections)
            keeper.start(lambda: self._keepers.pop(place))
        return keeper


class _Keeper:
    """Keeps a connection to one process for as long as it is needed."""

    def __init__(
        self, place: ProcessPlace, connections: ProcessConnections
    ) -> None:
        self._place = place
        self._connections = connections
        self._answers: weakref.WeakSet[Channel] = weakref.WeakSet()
        # Those that were closed at the latest look.
        self._closed: weakref.WeakSet[Channel] = weakref.WeakSet()
        self._until_s = float("-inf")
        self._look = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def start(self, on_end: Callable[[], object]) -> None:
        """Opens the connection soon; calls `on_end` when none is needed."""
        self._task = asyncio.get_running_loop().create_task(self._run())
        self._task.add_done_callback(lambda _: on_end())

    def keep_until(self, until_s: float) -> None:
        """Keeps the connection until a monotonic time, at least."""
        self._until_s = max(self._until_s, until_s)

    def begin(self, channel: Channel) -> None:
        """Keeps the connection until the end of an answer."""
        self._answers.add(channel)

    def end(self, channel: Channel) -> None:
        """Ends `begin`."""
        self._answers.discard(channel)
        if not self._answers:
            self._look.set()

    async def _run(self) -> None:
        while self._is_needed():
            if not await self._hold_one():
                return

    async def _hold_one(self) -> bool:
        """Holds one connection; returns whether another one may follow."""
        try:
            channel = await connect(*self._place.address, CONNECT_TIMEOUT_S)
        except OSError:
            metrics.IDLE_CONNECTIONS.labels("failed").inc()
            return False
        metrics.IDLE_CONNECTIONS.labels("opened").inc()
        opened_s = time.monotonic()
        try:
            await self._connections.add_idle(
                self._place, channel, self._answers
            )
            while self._is_needed() and channel.is_open:
                await self._wait(channel)
        finally:
            channel.abort()
        return time.monotonic() - opened_s >= MIN_LIFE_S

    async def _wait(self, channel: Channel) -> None:
        """Waits until there may be a reason to close the connection."""
        self._look.clear()
        self._forget_closed()
        waits = [
            asyncio.ensure_future(self._look.wait()),
            asyncio.ensure_future(channel.peer_closed.wait()),
        ]
        try:
            await asyncio.wait(
                waits,
                timeout=LOOK_INTERVAL_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            for wait in waits:
                wait.cancel()

    def _forget_closed(self) -> None:
        """Forgets answers that were closed for a while without an end."""
        closed = [c for c in self._answers if c.transport.is_closing()]
        for channel in closed:
            if channel in self._closed:
                self._answers.discard(channel)
        self._closed = weakref.WeakSet(closed)

    def _is_needed(self) -> bool:
        return bool(self._answers) or time.monotonic() < self._until_s
