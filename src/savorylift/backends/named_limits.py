"""What is believed of the limits that backend servers name in responses.

A server that is in need names how many requests a second it takes from all
nodes together. The limit ends when its responses no longer name it, and when
it restarts; not because none of its responses has come for some time.
"""

import time
from collections.abc import Callable
from typing import NamedTuple

from savorylift.backends.server import ServerEntry
from savorylift.fleet.limit_messages import LimitReport

# The end of a limit is forgotten after this time, and so is the limit of a
# server that is no longer registered.
RETENTION_S = 60.0
# An ended limit is reported to other nodes for this long.
ENDED_REPORT_S = 10.0
# Bounds the size of a message.
MAX_REPORTS = 64


class NamedLimit(NamedTuple):
    """A limit on its requests that a backend server names in a response.

    Attributes:
        requests_per_s: Requests per second that it takes from all nodes
            together; None if the value can't be read.
    """

    requests_per_s: float | None


class Belief(NamedTuple):
    """What the newest response of a server said of its limit.

    Attributes:
        started_ms: Unix time in milliseconds at which the server started.
        requests_per_s: Requests per second that it takes from all nodes
            together; None for no limit.
        heard_s: Monotonic time at which the response arrived, at any node.
    """

    started_ms: int
    requests_per_s: float | None
    heard_s: float


class NamedLimits:
    """Limits by server, from own responses and those of other nodes."""

    def __init__(self) -> None:
        """Starts without limits."""
        self._beliefs: dict[str, Belief] = {}

    def find(self, entry: ServerEntry) -> float | None:
        """Returns the requests per second that a server takes, if limited."""
        belief = self._beliefs.get(entry.server_id)
        if belief is None or belief.started_ms != entry.started_ms:
            return None
        return belief.requests_per_s

    def limited_ids(self) -> list[str]:
        """Returns the IDs of the servers that named a limit last."""
        return [
            server_id
            for server_id, belief in self._beliefs.items()
            if belief.requests_per_s is not None
        ]

    def record_response(
        self, entry: ServerEntry, named: NamedLimit | None
    ) -> bool:
        """Records what a response said; returns whether it changes a limit.

        A value that can't be read neither begins nor ends a limit.
        """
        if named is not None and named.requests_per_s is None:
            return False
        limit = None if named is None else named.requests_per_s
        if limit is None and entry.server_id not in self._beliefs:
            return False
        before = self.find(entry)
        self._beliefs[entry.server_id] = Belief(
            entry.started_ms, limit, time.monotonic()
        )
        return limit != before

    def merge(self, report: LimitReport) -> bool:
        """Applies what another node heard; returns whether a limit changes."""
        heard_s = time.monotonic() - report.age_s
        known = self._beliefs.get(report.server_id)
        belief = Belief(report.started_ms, report.requests_per_s, heard_s)
        if known is None:
            self._beliefs[report.server_id] = belief
            return belief.requests_per_s is not None
        version = (known.started_ms, known.heard_s)
        if (report.started_ms, heard_s) <= version:
            return False
        self._beliefs[report.server_id] = belief
        is_same_start = known.started_ms == report.started_ms
        before = known.requests_per_s if is_same_start else None
        return belief.requests_per_s != before

    def report(self, server_id: str) -> LimitReport | None:
        """Returns what other nodes should know of a server, if anything."""
        belief = self._beliefs.get(server_id)
        if belief is None:
            return None
        age_s = time.monotonic() - belief.heard_s
        return LimitReport(
            server_id, belief.started_ms, belief.requests_per_s, age_s
        )

    def reports(self) -> tuple[LimitReport, ...]:
        """Returns the limits, and those that ended lately, newest first."""
        reports = [self.report(server_id) for server_id in self._beliefs]
        relevant = [
            report
            for report in reports
            if report is not None and _is_relevant(report)
        ]
        relevant.sort(key=lambda report: report.age_s)
        return tuple(relevant[:MAX_REPORTS])

    def forget_old(self, is_registered: Callable[[str], bool]) -> None:
        """Forgets limits that have ended, and servers that are gone.

        A registered server may be as much in need as when it last responded.

        Args:
            is_registered: Whether a server is registered.
        """
        oldest_s = time.monotonic() - RETENTION_S
        self._beliefs = {
            server_id: belief
            for server_id, belief in self._beliefs.items()
            if belief.heard_s > oldest_s
            or (belief.requests_per_s is not None and is_registered(server_id))
        }


def _is_relevant(report: LimitReport) -> bool:
    return report.requests_per_s is not None or report.age_s < ENDED_REPORT_S
