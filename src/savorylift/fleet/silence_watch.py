"""Notices dead nodes sooner than the states that all nodes send each other.

Each node sends pulses to a few watchers. A watcher that misses them tells all
nodes. They count the node as silent once several watchers miss it, unless they
have heard a later message of it themselves.
"""

from collections.abc import Iterable
from typing import NamedTuple

import structlog

from savorylift.fleet import metrics
from savorylift.fleet.membership import Membership
from savorylift.fleet.pulse_messages import SilenceReport

# Pulses go at each beat of maintenance, so that five in a row are missing.
PULSE_TIMEOUT_S = 1.0
# A silent node is reported for this long, in case reports are lost.
REPORTED_S = 0.5
# So many watchers must miss a node: one may be cut off from it, or stand still.
WITNESS_COUNT = 2
# Reports of different watchers count together within this time.
REPORT_VALIDITY_S = 2.0
# A watcher that has heard nobody for this long is cut off itself.
CUT_OFF_S = 0.5

_log = structlog.get_logger()


class _Miss(NamedTuple):
    """What a watcher has said of a node that it misses.

    Attributes:
        sequence: Number of the last message that the watcher got of it.
        told_s: Monotonic time at which the watcher said so.
    """

    sequence: int
    told_s: float


class SilenceWatch:
    """What this node misses as a watcher, and what watchers tell it."""

    def __init__(self, ip: str, members: Membership) -> None:
        """Watches nobody yet.

        Args:
            ip: This node's own address.
            members: The other nodes.
        """
        self._ip = ip
        self._members = members
        self._watched: set[str] = set()
        # By the address of the missed node, then by that of the watcher.
        self._misses: dict[str, dict[str, _Miss]] = {}

    def watch(self, ip: str, *, goes_on: bool) -> None:
        """Begins to watch a known node, or ends it."""
        if goes_on:
            self._watched.add(ip)
        else:
            self._watched.discard(ip)

    def find_silent(self, now_s: float) -> tuple[SilenceReport, ...]:
        """Returns what all nodes are to be told; to be called periodically."""
        self._drop_old_misses(now_s)
        if not self._members.has_heard_any(now_s - CUT_OFF_S):
            return ()
        found = []
        for ip in sorted(self._watched):
            peer = self._members.find(ip)
            if peer is None or peer.state.is_leaving:
                self._watched.discard(ip)
                continue
            silent_s = self._members.silent_s(peer, now_s)
            if silent_s > PULSE_TIMEOUT_S + REPORTED_S:
                self._watched.discard(ip)
            elif silent_s > PULSE_TIMEOUT_S:
                incarnation = peer.state.incarnation
                found.append(SilenceReport(ip, incarnation, peer.sequence))
        self.hear(found, self._ip, now_s)
        return tuple(found)

    def hear(
        self, reports: Iterable[SilenceReport], witness: str, now_s: float
    ) -> None:
        """Counts a node as silent if enough watchers report it.

        Args:
            reports: What a watcher reports.
            witness: Its address.
            now_s: Monotonic time.
        """
        for report in reports:
            peer = self._members.find(report.ip)
            if peer is None or report.ip == witness or peer.is_silenced:
                continue
            if peer.state.incarnation != report.incarnation:
                continue
            known = self._misses.setdefault(report.ip, {})
            known[witness] = _Miss(report.sequence, now_s)
            # A watcher whose last message is older than ours proves nothing.
            agreeing = [
                ip
                for ip, miss in known.items()
                if miss.sequence >= peer.sequence
            ]
            if len(agreeing) >= WITNESS_COUNT:
                self._members.silence(report.ip)
                metrics.SILENCED.inc()
                del self._misses[report.ip]
                _log.info(
                    "peer_silent",
                    peer=peer.state.node,
                    witnesses=sorted(agreeing),
                    last_heard_s=round(now_s - peer.heard_s, 3),
                )

    def _drop_old_misses(self, now_s: float) -> None:
        oldest_s = now_s - REPORT_VALIDITY_S
        for ip, known in list(self._misses.items()):
            kept = {w: m for w, m in known.items() if m.told_s >= oldest_s}
            if kept:
                self._misses[ip] = kept
            else:
                del self._misses[ip]
