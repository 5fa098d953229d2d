"""How fast each server is, from what all nodes saw of it.

Servers of a service differ in speed, and a slow one that is idle looks as good
as a quick one. Each node compares what a server takes with what the servers of
its service usually take at that load, and tells the others.
"""

import heapq
import time
from collections.abc import Callable

import structlog

from savorylift.backends.server import ServerEntry
from savorylift.fleet.server_sightings import ServerSpeed
from savorylift.speeds.estimate import SpeedEstimate
from savorylift.speeds.usual_times import UsualTimes, Work

# Servers that differ by less count as usual.
MIN_SLOWDOWN = 1.25
MIN_SPEEDUP = 0.8
UPDATE_INTERVAL_S = 0.5
# Servers in one message, those with most samples, and for how long a node tells
# the same of them: messages without news are small.
MAX_TOLD = 12
TOLD_S = 8.0
# Fewest samples of which a node tells, and the most that others take from it.
MIN_TOLD_SAMPLES = 0.5
MAX_TOLD_SAMPLES = 100.0
# Largest mean of binary logarithms that a node may tell, up or down.
MAX_MEAN = 4.0
# Messages tell a process by its start in milliseconds modulo this.
START_MARKS = 1 << 16
# Bounds the memory of servers and nodes that are gone.
MAX_SERVERS = 2000
MAX_NODES = 500

_log = structlog.get_logger()


class _Known:
    """What is known of one process of a server.

    Attributes:
        started_ms: Start of the process.
        own: What this node saw.
        all: What all nodes saw.
    """

    def __init__(self, started_ms: int) -> None:
        self.started_ms = started_ms
        self.own = SpeedEstimate()
        self.all = SpeedEstimate()
        # By the address of the node that told it.
        self._heard: dict[str, SpeedEstimate] = {}

    def add(self, ratio: float, now_s: float) -> None:
        """Adds a sample of this node."""
        self.own = self.own.add(ratio, now_s)
        self.all = self.all.add(ratio, now_s)

    def hear(self, ip: str, told: SpeedEstimate) -> None:
        """Replaces what another node saw."""
        old = self._heard.pop(ip, SpeedEstimate())
        while len(self._heard) >= MAX_NODES:
            del self._heard[next(iter(self._heard))]
        self._heard[ip] = told
        self.all = self.all.replace(old, told, told.at_s)


class SpeedBook:
    """Estimates how much longer than usual each server takes."""

    def __init__(
        self,
        find_entry: Callable[[str], ServerEntry | None],
        *,
        is_used: bool = True,
    ) -> None:
        """Knows nothing of any server yet.

        Args:
            find_entry: Returns the newest entry of a server by its ID.
            is_used: Whether servers may count as slower or quicker than usual.
        """
        self._is_used = is_used
        self._find_entry = find_entry
        self._usual = UsualTimes()
        self._known: dict[str, _Known] = {}
        self._slowdowns: dict[str, float] = {}
        self._next_update_s = 0.0
        self._news: tuple[ServerSpeed, ...] = ()
        self._next_news_s = 0.0
        # What each node has told last, by its address.
        self._merged: dict[str, tuple[ServerSpeed, ...]] = {}

    def slowdown(self, server_id: str) -> float:
        """Returns how much longer a server takes; 1.0 is usual."""
        return self._slowdowns.get(server_id, 1.0)

    def record(self, entry: ServerEntry, work: Work, took_s: float) -> None:
        """Records how long a server took for some work.

        Args:
            entry: Entry of the server.
            work: What it did.
            took_s: The time.
        """
        ratio = self._usual.compare(work, took_s)
        known = self._find(entry.server_id, entry.started_ms)
        if ratio is not None and known is not None:
            known.add(ratio, time.monotonic())

    def news(self) -> tuple[ServerSpeed, ...]:
        """Returns what this node saw lately; the same for a while."""
        now_s = time.monotonic()
        if now_s >= self._next_news_s:
            self._next_news_s = now_s + TOLD_S
            self._news = self._make_news(now_s)
        return self._news

    def _make_news(self, now_s: float) -> tuple[ServerSpeed, ...]:
        own = [
            (known.own.fade(now_s), server_id, known.started_ms)
            for server_id, known in self._known.items()
        ]
        return tuple(
            ServerSpeed(
                server_id,
                started_ms % START_MARKS,
                round(10 * min(seen.samples, MAX_TOLD_SAMPLES)),
                round(100 * seen.total / seen.samples),
            )
            for seen, server_id, started_ms in heapq.nlargest(MAX_TOLD, own)
            if seen.samples >= MIN_TOLD_SAMPLES
        )

    def merge(self, ip: str, news: tuple[ServerSpeed, ...]) -> None:
        """Learns what another node saw, unless it has told that before.

        Args:
            ip: Address of the node.
            news: What it told.
        """
        if self._merged.get(ip, ()) == news:
            return
        self._merged.pop(ip, None)
        while len(self._merged) >= MAX_NODES:
            del self._merged[next(iter(self._merged))]
        self._merged[ip] = news
        now_s = time.monotonic()
        for server_id, start_mark, samples_x10, mean_x100 in news:
            entry = self._find_entry(server_id)
            if entry is None or entry.started_ms % START_MARKS != start_mark:
                continue
            known = self._find(server_id, entry.started_ms)
            samples, mean = samples_x10 / 10, mean_x100 / 100
            is_sound = 0 <= samples <= MAX_TOLD_SAMPLES
            if known is not None and is_sound and abs(mean) <= MAX_MEAN:
                known.hear(ip, SpeedEstimate(samples, samples * mean, now_s))

    def update(self) -> None:
        """Brings the estimates up to date; to be called periodically."""
        now_s = time.monotonic()
        if now_s < self._next_update_s:
            return
        self._next_update_s = now_s + UPDATE_INTERVAL_S
        before, self._slowdowns = self._slowdowns, {}
        for server_id, known in list(self._known.items()):
            entry = self._find_entry(server_id)
            if entry is None or entry.started_ms != known.started_ms:
                del self._known[server_id]
                continue
            total = known.all.fade(now_s)
            is_usual = MIN_SPEEDUP < total.slowdown < MIN_SLOWDOWN
            if self._is_used and not is_usual:
                self._slowdowns[server_id] = total.slowdown
                if server_id not in before:
                    _log_speed(server_id, known, total)

    def _find(self, server_id: str, started_ms: int) -> _Known | None:
        """Returns what is known of the newest process of a server.

        None if a process isn't the newest one, or if there are too many.
        """
        known = self._known.get(server_id)
        if known is not None and known.started_ms == started_ms:
            return known
        entry = self._find_entry(server_id)
        if entry is None or entry.started_ms != started_ms:
            return None
        if known is None and len(self._known) >= MAX_SERVERS:
            return None
        known = self._known[server_id] = _Known(started_ms)
        return known


def _log_speed(server_id: str, known: _Known, total: SpeedEstimate) -> None:
    """Logs that a server is known to differ from the others now."""
    _log.info(
        "server_speed",
        server=server_id,
        slowdown=round(total.slowdown, 2),
        samples=round(total.samples, 1),
        own_samples=round(known.own.fade(total.at_s).samples, 1),
    )
