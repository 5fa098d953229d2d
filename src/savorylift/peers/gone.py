"""Decides when a node on the roster counts as gone."""

import time
from collections.abc import Iterable
from typing import NamedTuple

from savorylift import rendezvous
from savorylift.identity import NodeRef
from savorylift.log_service.vms import VmEntry
from savorylift.peers.view import RosterView


class GoneOptions(NamedTuple):
    """Options of the judgement.

    Attributes:
        min_reads: Reads in a row that must miss the VM.
        missing_s: Time over which they must have missed it; longer than the
            list lags.
        turn_s: Time that each node leaves to the one ranked before it.
    """

    min_reads: int = 3
    missing_s: float = 10.0
    turn_s: float = 5.0


class _Absence(NamedTuple):
    reads: int
    since_s: float


class GoneJudge:
    """Remembers which members the list has shown and misses since.

    Silence alone is never a reason: a member must have vanished from the
    list. A member that is still heard is not gone, whatever the list says.
    """

    def __init__(self, own: NodeRef, cfg: GoneOptions) -> None:
        """Starts with nothing shown."""
        self._own = own
        self._cfg = cfg
        self._shown: set[NodeRef] = set()
        self._absent: dict[NodeRef, _Absence] = {}

    def observe(
        self,
        entries: Iterable[VmEntry],
        roster: RosterView,
        heard: frozenset[str],
    ) -> list[NodeRef]:
        """Takes in one successful read; returns whom to report as gone."""
        listed = {entry.vm for entry in entries}
        members = {member.info.ref for member in roster.members.values()}
        present = {ref for ref in members if ref.vm in listed}
        alive = {ref for ref in members if ref.vm in heard}
        self._shown = (self._shown & members) | present
        missing = self._shown - present - alive - {self._own}
        self._absent = {ref: self._count(ref) for ref in missing}
        helpers = sorted(heard | {self._own.vm})
        return [ref for ref in sorted(missing) if self._is_due(ref, helpers)]

    def _count(self, ref: NodeRef) -> _Absence:
        before = self._absent.get(ref, _Absence(0, time.monotonic()))
        return _Absence(before.reads + 1, before.since_s)

    def _is_due(self, ref: NodeRef, helpers: list[str]) -> bool:
        absence = self._absent[ref]
        if absence.reads < self._cfg.min_reads:
            return False
        order = rendezvous.rank(f"gone/{ref.vm}/{ref.incarnation}", helpers)
        turns_s = order.index(self._own.vm) * self._cfg.turn_s
        age_s = time.monotonic() - absence.since_s
        return age_s >= self._cfg.missing_s + turns_s
