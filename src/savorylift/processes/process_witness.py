"""Shows which process of a server lives, without a request.

The end of a process closes all its connections. So one without a request that
stays open shows that the process which accepted it lives, and an entry that is
written meanwhile is that process's own.
"""

import asyncio
import enum
import time
from collections.abc import Callable, Iterable
from typing import NamedTuple

from savorylift.backends.registry import BackendServer
from savorylift.backends.server import ServerEntry
from savorylift.boot_clock import boot_time_s
from savorylift.fleet.server_sightings import WitnessedProcess
from savorylift.processes.process_connection import KEEP_S, ProcessConnection
from savorylift.wire.channel import Channel

# Bounds the connections that are kept.
MAX_SERVERS = 1000
# By then other nodes have told which process lives, if they know.
MAX_NEWS_WAIT_S = 0.9
POLL_S = 0.05
# For how long a process that may have ended is told of.
TELL_END_S = 15.0
# Processes in one message; they take turns if they are more.
MAX_TOLD = 16


class Proof(enum.Enum):
    """What is known of the process of an entry.

    Attributes:
        NONE: Nothing.
        BELIEVED: It lives, if it did as the connection was opened.
        SHOWN: It lives.
    """

    NONE = "none"
    BELIEVED = "believed"
    SHOWN = "shown"


class ProcessWitness:
    """Keeps one connection to each server that can't say which process it is.

    Another process may have taken the place of that of the server's entry
    before the first connection. So that one counts as one to the process of the
    entry only where servers name no versions, unless another node knows that
    this process may have ended.
    """

    def __init__(
        self,
        find_entry: Callable[[str], ServerEntry | None],
        entries_read_s: Callable[[], float | None],
        has_versions: Callable[[str], bool],
        on_end: Callable[[], object],
    ) -> None:
        """Keeps no connection yet.

        Args:
            find_entry: Returns the newest entry of a server by its ID.
            entries_read_s: Returns the monotonic time of the last reading of
                entries that this node has heard of; None before the first.
            has_versions: Returns whether servers of a service may name
                versions.
            on_end: Called when a process may have ended that was known.
        """
        self._find_entry = find_entry
        self._entries_read_s = entries_read_s
        self._has_versions = has_versions
        self._on_end = on_end
        # By the ID of the server.
        self._keepers: dict[str, ProcessConnection] = {}
        self._ended: dict[str, _Ended] = {}
        self._next_told = 0

    def note(self, server: BackendServer, channel: Channel) -> None:
        """Notes whether a connection leads to the process that is known now.

        For the arguments see `holds`.
        """
        keeper = self._keepers.get(server.entry.server_id)
        if keeper is not None and keeper.is_at(server.entry.address):
            keeper.match(channel)

    async def holds(
        self,
        server: BackendServer,
        channel: Channel,
        since_s: float,
        max_wait_s: float,
    ) -> Proof:
        """Returns whether a connection leads to the process of an entry.

        Args:
            server: The server.
            channel: The connection.
            since_s: Boot time at which it was open, as far as this node had
                read its input.
            max_wait_s: Longest wait for what other nodes know.
        """
        keeper = self._keeper(server.entry)
        await keeper.has_tried.wait()
        since_s += time.monotonic() - boot_time_s()
        if not keeper.holds(channel, since_s):
            return Proof.NONE
        proof = await self._find_proof(keeper, server.entry, max_wait_s)
        return proof if keeper.holds(channel, since_s) else Proof.NONE

    async def shows(self, server: BackendServer, max_wait_s: float) -> Proof:
        """Returns whether the process of a server's entry is known to live.

        For the arguments see `holds`.
        """
        keeper = self._keeper(server.entry)
        await keeper.has_tried.wait()
        return await self._find_proof(keeper, server.entry, max_wait_s)

    def news(self) -> tuple[WitnessedProcess, ...]:
        """Returns what other nodes may not know."""
        now_s = time.monotonic()
        self._ended = {
            server_id: ended
            for server_id, ended in self._ended.items()
            if now_s < ended.until_s
        }
        told = [
            WitnessedProcess(server_id, ended.started_ms, lives=False)
            for server_id, ended in self._ended.items()
            if ended.is_own
        ]
        for server_id, keeper in list(self._keepers.items()):
            if keeper.is_done:
                del self._keepers[server_id]
            started_ms = keeper.live_start_ms
            if started_ms is not None:
                told.append(
                    WitnessedProcess(
                        server_id,
                        started_ms,
                        lives=True,
                        is_shown=keeper.is_shown,
                    )
                )
        if len(told) <= MAX_TOLD:
            return tuple(told)
        first = self._next_told % len(told)
        self._next_told = first + MAX_TOLD
        return tuple((told[first:] + told[:first])[:MAX_TOLD])

    def merge(self, news: Iterable[WitnessedProcess]) -> None:
        """Learns what another node knew as it sent this."""
        for server_id, started_ms, lives, is_shown in news:
            keeper = self._keepers.get(server_id)
            if lives and keeper is not None:
                keeper.hear(started_ms, is_shown=is_shown)
            elif not lives:
                self._record_end(server_id, started_ms, is_own=False)

    async def _find_proof(
        self, keeper: ProcessConnection, entry: ServerEntry, max_wait_s: float
    ) -> Proof:
        until_s = min(
            time.monotonic() + max_wait_s, keeper.opened_s + MAX_NEWS_WAIT_S
        )
        while not self._is_known(keeper, entry):
            if time.monotonic() >= until_s or not keeper.is_open:
                return Proof.NONE
            await asyncio.sleep(POLL_S)
        return Proof.SHOWN if keeper.is_shown else Proof.BELIEVED

    def _is_known(self, keeper: ProcessConnection, entry: ServerEntry) -> bool:
        """Whether the process of an entry lives, as far as that must be shown.

        Nodes of an earlier build tell what they only believe.
        """
        return keeper.shows(entry.started_ms) and (
            keeper.is_shown or not self._has_versions(entry.service)
        )

    def _keeper(self, entry: ServerEntry) -> ProcessConnection:
        keeper = self._keepers.get(entry.server_id)
        if keeper is None or keeper.is_done or not keeper.is_at(entry.address):
            if keeper is not None:
                keeper.stop()
            while len(self._keepers) >= MAX_SERVERS:
                self._keepers.pop(next(iter(self._keepers))).stop()
            keeper = ProcessConnection(
                entry,
                self._find_entry,
                self._entries_read_s,
                lambda started_ms: self._end(entry.server_id, started_ms),
                trusts_entry=self._trusts(entry),
            )
            self._keepers[entry.server_id] = keeper
            keeper.start()
        keeper.until_s = time.monotonic() + KEEP_S
        return keeper

    def _trusts(self, entry: ServerEntry) -> bool:
        ended = self._ended.get(entry.server_id)
        if ended is not None and ended.started_ms == entry.started_ms:
            return False
        return not self._has_versions(entry.service)

    def _end(self, server_id: str, started_ms: int) -> None:
        self._record_end(server_id, started_ms, is_own=True)
        self._on_end()

    def _record_end(
        self, server_id: str, started_ms: int, *, is_own: bool
    ) -> None:
        """Records that a process may have ended."""
        known = self._ended.pop(server_id, None)
        if known is not None and known.started_ms == started_ms:
            is_own = is_own or known.is_own
        while len(self._ended) >= MAX_SERVERS:
            del self._ended[next(iter(self._ended))]
        until_s = time.monotonic() + TELL_END_S
        self._ended[server_id] = _Ended(started_ms, until_s, is_own)


class _Ended(NamedTuple):
    """A process that may have ended.

    Attributes:
        started_ms: Start of the process.
        until_s: Monotonic time until which that is kept.
        is_own: Whether this node has seen it.
    """

    started_ms: int
    until_s: float
    is_own: bool
