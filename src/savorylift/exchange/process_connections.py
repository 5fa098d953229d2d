"""Tells which connections lead to the same process of a server.

The end of a process closes all its connections. So one that stays open shows,
without a request, that the process has not ended.
"""

import asyncio
import time
import weakref
from collections.abc import Collection
from typing import NamedTuple

from savorylift.backends.registry import BackendServer
from savorylift.wire.channel import Channel

# A process that ends closes its connections one after the other, each within
# the first time, and all within the second one.
CLOSING_S = 0.05
MAX_CLOSING_S = 0.3
# How long to wait for a moment at which nothing of an answer is unread, and how
# often to look.
JOIN_S = 0.2
JOIN_INTERVAL_S = 0.002
# Connections that are watched at a time.
MAX_WATCHED = 50


class ProcessPlace(NamedTuple):
    """Where a process listens.

    Attributes:
        server_id: ID of its server.
        address: Host and port.
        starts_ms: Starts of the server that are known, as Unix times in
            milliseconds.
    """

    server_id: str
    address: tuple[str, int]
    starts_ms: frozenset[int]


class _Process:
    """Connections to one process."""

    def __init__(self) -> None:
        self.channels: weakref.WeakSet[Channel] = weakref.WeakSet()

    def open_channels(self) -> list[Channel]:
        """Returns the connections that are open, and forgets closed ones."""
        for channel in list(self.channels):
            if channel.is_peer_closed or channel.transport.is_closing():
                self.channels.discard(channel)
        return [c for c in self.channels if c.is_known_open]


class ProcessConnections:
    """The connections to servers, by the process that they lead to."""

    def __init__(self) -> None:
        """Starts without any connection."""
        self._newest: weakref.WeakValueDictionary[ProcessPlace, _Process] = (
            weakref.WeakValueDictionary()
        )
        self._processes: weakref.WeakKeyDictionary[Channel, _Process] = (
            weakref.WeakKeyDictionary()
        )
        self._idle: weakref.WeakSet[Channel] = weakref.WeakSet()

    def add(self, place: ProcessPlace, channel: Channel) -> None:
        """Adds a connection for a request, which has just been opened.

        It leads to the same process as an earlier one that is open still: the
        process that had accepted that one can't have ended before.

        Args:
            place: Where the process listens.
            channel: The connection.
        """
        process = self._newest.get(place)
        is_same = (
            process is not None
            and channel.is_known_open
            and bool(process.open_channels())
        )
        if process is None or not is_same:
            process = self._newest[place] = _Process()
        process.channels.add(channel)
        self._processes[channel] = process

    async def add_idle(
        self,
        place: ProcessPlace,
        channel: Channel,
        answers: Collection[Channel],
    ) -> None:
        """Adds a connection without a request, which has just been opened.

        Args:
            place: Where the process listens.
            channel: The connection.
            answers: Connections of answers, which lead to the same process if
                any of them is open still, and known to be at some moment.
        """
        self._idle.add(channel)
        until_s = time.monotonic() + JOIN_S
        while not self._join(channel, answers):
            if time.monotonic() >= until_s or not channel.is_open:
                self.add(place, channel)
                return
            await asyncio.sleep(JOIN_INTERVAL_S)

    def _join(self, channel: Channel, answers: Collection[Channel]) -> bool:
        """Adds a connection to the process of others, if they are open now."""
        if not channel.is_known_open:
            return False
        found = [
            self._processes[answer]
            for answer in answers
            if answer in self._processes and answer.is_known_open
        ]
        if not found:
            return False
        process = found[0]
        process.channels.add(channel)
        self._processes[channel] = process
        for other in found[1:]:
            self._merge(other, process)
        return True

    def _merge(self, other: _Process, process: _Process) -> None:
        """Takes two processes that live at the same place now for one."""
        for channel in list(other.channels):
            process.channels.add(channel)
            self._processes[channel] = process

    def others(
        self, channel: Channel, *, counts_idle: bool = True
    ) -> list[Channel]:
        """Returns the other open connections to the process of one.

        Args:
            channel: The connection, of which the process may have ended.
            counts_idle: Whether those without a request count.
        """
        process = self._processes.get(channel)
        if process is None:
            return []
        return [
            other
            for other in process.open_channels()
            if other is not channel and (counts_idle or other not in self._idle)
        ]

    async def any_stays_open(
        self, channel: Channel, *, counts_idle: bool = True
    ) -> bool:
        """Whether a process lives though it has closed a connection.

        For the arguments see `others`.
        """
        until_s = time.monotonic() + MAX_CLOSING_S
        while others := self.others(channel, counts_idle=counts_idle):
            if time.monotonic() >= until_s:
                return True
            if not await _is_one_closed(others[:MAX_WATCHED]):
                return bool(self.others(channel, counts_idle=counts_idle))
        return False


def known_place(server: BackendServer, said_ms: int | None) -> ProcessPlace:
    """Returns the place of a server's process.

    Args:
        server: The server.
        said_ms: The start that it has said and its entry hasn't, if any.
    """
    starts_ms = {server.entry.started_ms}
    if said_ms is not None:
        starts_ms.add(said_ms)
    entry = server.entry
    return ProcessPlace(entry.server_id, entry.address, frozenset(starts_ms))


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
