"""Remembers at which software version each resumable stream began.

A caller whose stream broke off may resume it at any node. So the node that
passes on the first event tells two others, its homes, which a hash of the
attempt chooses, and the node that the caller comes to asks them.
"""

import asyncio
import random
import time
from collections.abc import Callable, Collection, Iterable, Iterator
from typing import NamedTuple

import structlog

from savorylift.exchange import metrics
from savorylift.exchange.origin_table import OriginTable
from savorylift.fleet.home_ring import Home, HomeRing
from savorylift.fleet.state import (
    OriginAck,
    OriginMessage,
    OriginNews,
    OriginQuery,
    OriginReply,
    StreamOrigin,
)

HOME_COUNT = 2
# Nodes that are asked at first: the homes, and one that may have been a home
# before another node joined.
FIRST_ASKED = 3
# Nodes asked in all.
MAX_ASKED = 8
# How long to wait for replies: many round trips between nodes.
ASK_TIMEOUTS_S = (0.1, 0.15)
# When an origin that a home has not confirmed is sent to it again.
RESEND_INTERVAL_S = 0.2
MAX_SENDS = 10
# Origins in one message.
NEWS_SIZE = 20
NUMBER_BITS = 48

_log = structlog.get_logger()


class _Telling(NamedTuple):
    """An origin that not all of its homes have confirmed."""

    homes: frozenset[str]
    sends: int
    next_s: float


class _Query:
    """A question that other nodes have yet to answer."""

    def __init__(self, asked: Collection[str]) -> None:
        self.waiting = set(asked)
        self.fut: asyncio.Future[StreamOrigin | None] = (
            asyncio.get_running_loop().create_future()
        )
        # An answer that doesn't know the version yet.
        self.uncertain: StreamOrigin | None = None

    def record(self, ip: str, origin: StreamOrigin | None) -> None:
        """Ends at the first answer that knows, or when none is missing."""
        self.waiting.discard(ip)
        if self.fut.done():
            return
        if origin is not None and origin.is_certain:
            self.fut.set_result(origin)
            return
        known = self.uncertain
        if origin is not None and (
            known is None or origin.certainty > known.certainty
        ):
            self.uncertain = origin
        if not self.waiting:
            self.fut.set_result(self.uncertain)


class StreamOrigins:
    """The origins that this node holds, tells and asks for."""

    def __init__(
        self,
        ip: str,
        send: Callable[[OriginMessage, str], None],
        rng: random.Random,
    ) -> None:
        """Starts without any origin.

        Args:
            ip: This node's own address.
            send: Sends a message to the node with an address.
            rng: Chooses the first number of queries, so that replies to an
                earlier process of this node match none.
        """
        self._ip = ip
        self._send = send
        self._table = OriginTable()
        self._ring = HomeRing()
        # Nodes that keep what they hold: those that leave are only asked.
        self._staying = HomeRing()
        self._own: set[str] = set()
        self._telling: dict[str, _Telling] = {}
        self._queries: dict[int, _Query] = {}
        self._next_number = rng.getrandbits(NUMBER_BITS)

    def record(self, origin: StreamOrigin) -> None:
        """Keeps the origin of a stream of this node and tells its homes."""
        if not self._table.put(origin):
            return
        self._own.add(origin.attempt_id)
        self._tell(origin.attempt_id, self._homes(origin.attempt_id))

    def forget(self, attempt_id: str) -> None:
        """Stops to tell homes of a stream that its caller has whole."""
        self._own.discard(attempt_id)
        self._telling.pop(attempt_id, None)

    def own(self) -> Iterator[StreamOrigin]:
        """Yields the origins of this node's streams that are not complete."""
        for attempt_id in self._own:
            origin = self._table.find(attempt_id)
            if origin is not None:
                yield origin

    def keep_saved(self, origins: Iterable[StreamOrigin]) -> None:
        """Keeps origins that nodes have written to the store."""
        for origin in origins:
            self._table.put(origin)

    def find_held(self, attempt_id: str) -> StreamOrigin | None:
        """Returns where a stream began, if this node holds it."""
        return self._table.find(attempt_id)

    async def find(self, attempt_id: str) -> StreamOrigin | None:
        """Returns where a stream began; None if no node that is asked knows.

        Its version may not be known yet.
        """
        origin = self._table.find(attempt_id)
        source = "own"
        if origin is None or not origin.is_certain:
            asked = await self._ask(attempt_id)
            if asked is not None:
                source, origin = "asked", asked
                self._table.put(asked)
        metrics.STREAM_ORIGINS.labels(_outcome(source, origin)).inc()
        return origin

    def receive(self, message: OriginMessage, ip: str) -> None:
        """Handles a message from another node."""
        if isinstance(message, OriginNews):
            self._keep(message.origins, ip)
        elif isinstance(message, OriginAck):
            self._receive_ack(message, ip)
        elif isinstance(message, OriginQuery):
            origin = self._table.find(message.attempt_id)
            self._send(OriginReply(message.number, origin), ip)
        else:
            query = self._queries.get(message.number)
            if query is not None:
                query.record(ip, message.origin)

    def update_homes(
        self, live: Iterable[Home], leaving: Iterable[Home]
    ) -> None:
        """Follows changes of the nodes.

        Args:
            live: Nodes that stay, this one included unless it leaves.
            leaving: Nodes that are live but drain.
        """
        staying = tuple(live)
        self._ring.update((*staying, *leaving))
        if self._staying.update(staying):
            self._tell_new_homes()

    def update(self) -> None:
        """Drops what is out of date, and repeats; to be called periodically."""
        for attempt_id in self._table.drop_expired():
            self.forget(attempt_id)
        now_s = time.monotonic()
        for attempt_id, telling in list(self._telling.items()):
            if now_s >= telling.next_s:
                self._tell(attempt_id, telling.homes, telling.sends)

    def hand_over(self) -> None:
        """Tells other nodes all that this one holds, before it stops."""
        by_home: dict[str, list[StreamOrigin]] = {}
        for origin in self._table:
            for ip in self._homes(origin.attempt_id):
                by_home.setdefault(ip, []).append(origin)
        for ip, origins in by_home.items():
            for start in range(0, len(origins), NEWS_SIZE):
                news = OriginNews(tuple(origins[start : start + NEWS_SIZE]))
                self._send(news, ip)

    def _homes(self, attempt_id: str) -> frozenset[str]:
        """Returns the addresses of the homes other than this node."""
        found = self._staying.find(attempt_id, HOME_COUNT + 1)
        return frozenset([ip for ip in found if ip != self._ip][:HOME_COUNT])

    def _tell_new_homes(self) -> None:
        for attempt_id in list(self._own):
            self._tell(attempt_id, self._homes(attempt_id))

    def _tell(
        self, attempt_id: str, homes: frozenset[str], sends: int = 0
    ) -> None:
        origin = self._table.find(attempt_id)
        if origin is None or not homes or sends >= MAX_SENDS:
            self._telling.pop(attempt_id, None)
            return
        news = OriginNews((origin,))
        for ip in homes:
            self._send(news, ip)
        next_s = time.monotonic() + RESEND_INTERVAL_S
        self._telling[attempt_id] = _Telling(homes, sends + 1, next_s)

    def _receive_ack(self, ack: OriginAck, ip: str) -> None:
        for attempt_id in ack.attempt_ids:
            self._confirm(attempt_id, ip)
        for attempt_id in ack.uncertain_ids:
            origin = self._table.find(attempt_id)
            # Otherwise it confirms what was told before the version.
            if origin is not None and not origin.is_certain:
                self._confirm(attempt_id, ip)

    def _confirm(self, attempt_id: str, ip: str) -> None:
        telling = self._telling.get(attempt_id)
        if telling is None:
            return
        homes = telling.homes - {ip}
        if homes:
            self._telling[attempt_id] = telling._replace(homes=homes)
        else:
            del self._telling[attempt_id]

    def _keep(self, origins: Iterable[StreamOrigin], ip: str) -> None:
        kept = [origin for origin in origins if self._table.put(origin)]
        certain = [o.attempt_id for o in kept if o.is_certain]
        uncertain = [o.attempt_id for o in kept if not o.is_certain]
        if kept:
            self._send(OriginAck(tuple(certain), tuple(uncertain)), ip)
        else:
            _log.warning("origin_message_unsound", peer=ip)

    async def _ask(self, attempt_id: str) -> StreamOrigin | None:
        found = self._ring.find(attempt_id, MAX_ASKED + 1)
        candidates = [ip for ip in found if ip != self._ip][:MAX_ASKED]
        rounds = (candidates[:FIRST_ASKED], candidates)
        for asked, timeout_s in zip(rounds, ASK_TIMEOUTS_S, strict=True):
            origin = await self._ask_nodes(attempt_id, asked, timeout_s)
            if origin is not None:
                return origin
        return None

    async def _ask_nodes(
        self, attempt_id: str, ips: Collection[str], timeout_s: float
    ) -> StreamOrigin | None:
        if not ips:
            return None
        self._next_number += 1
        number = self._next_number
        query = self._queries[number] = _Query(ips)
        try:
            for ip in ips:
                self._send(OriginQuery(number, attempt_id), ip)
            await asyncio.wait((query.fut,), timeout=timeout_s)
            return query.fut.result() if query.fut.done() else query.uncertain
        finally:
            del self._queries[number]


def _outcome(source: str, origin: StreamOrigin | None) -> str:
    if origin is None:
        return "unknown"
    return source if origin.is_certain else "uncertain"
