"""Keeps idle connections to servers that answer without framing.

The end of a process closes all its connections. So one without a request that
stays open shows that the process lives, whatever becomes of its answers.
"""

import asyncio
import contextlib
import time
import weakref
from collections.abc import Callable
from typing import NamedTuple

from savorylift.exchange import metrics
from savorylift.wire.channel import Channel
from savorylift.wire.connecting import connect
from savorylift.wire.purpose import Purpose

CONNECT_TIMEOUT_S = 0.2
# For how long a connection is kept for answers to come, and a service counts as
# one that answers without framing.
KEEP_S = 10.0
# For how long one is kept after its answer, which may be judged meanwhile.
JUDGE_S = 3.0
LOOK_INTERVAL_S = 1.0
# How soon to look for a moment at which nothing of an answer is unread, and the
# longest time until the next look.
MATCH_INTERVAL_S = 0.01
MAX_MATCH_INTERVAL_S = 0.2
# When to connect again to a server that refused, or closed the connection.
RETRY_S = 0.5
# Bounds the memory of services that are gone.
MAX_SERVICES = 1000


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


# The latest idle connection that was open at the same time as an answer's.
_Matches = weakref.WeakKeyDictionary[Channel, Channel]


class IdleConnections:
    """At most one connection without a request to each process."""

    def __init__(self) -> None:
        """Opens no connection yet."""
        self._keepers: dict[ProcessPlace, _Keeper] = {}
        self._matches: _Matches = weakref.WeakKeyDictionary()
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

    async def stays_open(self, channel: Channel, silence_s: float) -> bool:
        """Whether the process of an answer that has ended lives.

        Args:
            channel: Connection of the answer.
            silence_s: How long the idle connection must stay open.
        """
        idle = self._matches.get(channel)
        if idle is None:
            return False
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(silence_s):
                await idle.peer_closed.wait()
        return idle.is_known_open

    def _keeper(self, place: ProcessPlace) -> "_Keeper":
        keeper = self._keepers.get(place)
        if keeper is None or keeper.is_done:
            keeper = self._keepers[place] = _Keeper(place, self._matches)
            keeper.start(lambda: self._forget(place))
        return keeper

    def _forget(self, place: ProcessPlace) -> None:
        """Forgets a keeper that is done, unless another one has begun."""
        if self._keepers[place].is_done:
            del self._keepers[place]


class _Keeper:
    """Keeps a connection to one process for as long as it is needed."""

    def __init__(self, place: ProcessPlace, matches: _Matches) -> None:
        self._place = place
        self._matches = matches
        # Monotonic time at which an answer's connection was first seen closed;
        # None as long as it is open.
        self._answers: weakref.WeakKeyDictionary[Channel, float | None] = (
            weakref.WeakKeyDictionary()
        )
        self._until_s = float("-inf")
        self._look = asyncio.Event()
        self._match_interval_s = MATCH_INTERVAL_S
        self._task: asyncio.Task[None] | None = None

    def start(self, on_end: Callable[[], object]) -> None:
        """Opens the connection soon; calls `on_end` when none is needed."""
        self._task = asyncio.get_running_loop().create_task(self._run())
        self._task.add_done_callback(lambda _: on_end())

    @property
    def is_done(self) -> bool:
        """Whether it keeps no connection any more."""
        return self._task is not None and self._task.done()

    def keep_until(self, until_s: float) -> None:
        """Keeps the connection until a monotonic time, at least."""
        self._until_s = max(self._until_s, until_s)

    def begin(self, channel: Channel) -> None:
        """Keeps the connection until the end of an answer."""
        self._answers[channel] = None
        self._match_interval_s = MATCH_INTERVAL_S
        self._look.set()

    def end(self, channel: Channel) -> None:
        """Ends `begin`."""
        self._answers.pop(channel, None)
        self._look.set()

    async def _run(self) -> None:
        while self._is_needed():
            await self._hold_one()
            if self._is_needed():
                await asyncio.sleep(RETRY_S)

    async def _hold_one(self) -> None:
        try:
            idle = await connect(
                *self._place.address, CONNECT_TIMEOUT_S, Purpose.IDLE
            )
        except OSError:
            metrics.IDLE_CONNECTIONS.labels("failed").inc()
            return
        metrics.IDLE_CONNECTIONS.labels("opened").inc()
        try:
            while self._is_needed() and idle.is_open:
                has_all = self._match(idle)
                await self._wait(
                    idle, LOOK_INTERVAL_S if has_all else self._next_match_s()
                )
        finally:
            idle.abort()

    def _next_match_s(self) -> float:
        """Returns the time until the next look, which grows."""
        interval_s = self._match_interval_s
        self._match_interval_s = min(2 * interval_s, MAX_MATCH_INTERVAL_S)
        return interval_s

    def _match(self, idle: Channel) -> bool:
        """Matches answers to a connection; returns whether all are.

        A process that has accepted a connection can't have ended before. So
        two that are open at a moment lead to the same one.
        """
        if not idle.is_known_open:
            return False
        open_answers = [
            channel
            for channel in self._answers
            if channel.is_open and self._matches.get(channel) is not idle
        ]
        for channel in open_answers:
            if channel.is_known_open:
                self._matches[channel] = idle
        return all(self._matches.get(c) is idle for c in open_answers)

    async def _wait(self, idle: Channel, timeout_s: float) -> None:
        """Waits until there may be a reason to look again."""
        self._look.clear()
        waits = [
            asyncio.ensure_future(self._look.wait()),
            asyncio.ensure_future(idle.peer_closed.wait()),
        ]
        try:
            await asyncio.wait(
                waits,
                timeout=timeout_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            for wait in waits:
                wait.cancel()

    def _is_needed(self) -> bool:
        now_s = time.monotonic()
        for channel, closed_s in list(self._answers.items()):
            if not channel.transport.is_closing():
                continue
            if closed_s is None:
                self._answers[channel] = now_s
            elif now_s - closed_s >= JUDGE_S:
                del self._answers[channel]
        return bool(self._answers) or now_s < self._until_s
