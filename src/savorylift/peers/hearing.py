"""When each node was last heard, directly or through others."""

import collections
import math
import time
from collections.abc import Sequence

from savorylift.identity import NodeRef
from savorylift.peers.view import RosterView

AGE_STEP_S = 0.15
NOT_HEARD = 15  # largest value of four bits
MAX_ROSTERS = 8  # past rosters by which answers may still go


def pack_ages(ages_s: Sequence[float]) -> bytes:
    """Returns four bits an age, in steps rounded up; two ages a byte."""
    steps = [_to_step(age_s) for age_s in ages_s]
    if len(steps) % 2:
        steps.append(NOT_HEARD)
    pairs = zip(steps[::2], steps[1::2], strict=True)
    return bytes(high << 4 | low for high, low in pairs)


def unpack_ages(data: bytes) -> list[float | None]:
    """Returns upper bounds of the ages; None for a node not heard."""
    steps = [step for byte in data for step in (byte >> 4, byte & 15)]
    return [s * AGE_STEP_S if s != NOT_HEARD else None for s in steps]


def _to_step(age_s: float) -> int:
    if age_s > (NOT_HEARD - 1) * AGE_STEP_S:
        return NOT_HEARD
    return max(0, math.ceil(age_s / AGE_STEP_S))


class Hearing:
    """Lower bounds of the time at which each member was last alive.

    A time counts from when this node sent the question whose answer told of
    it, less the age that the answer stated: never from an arrival.
    """

    def __init__(self, own: NodeRef) -> None:
        """Starts having heard nobody."""
        self._own = own
        self._times: dict[NodeRef, float] = {}
        self._roster = RosterView()
        self._orders: collections.OrderedDict[int, tuple[NodeRef, ...]] = (
            collections.OrderedDict()
        )

    @property
    def roster_offset(self) -> int:
        """Returns which roster `pack` goes by."""
        return self._roster.offset

    def use_roster(self, roster: RosterView) -> None:
        """Goes by a new roster from now on."""
        if roster is self._roster and self._orders:
            return
        self._roster = roster
        by_offset = sorted(
            roster.members.values(), key=lambda m: m.joined_offset
        )
        refs = tuple(member.info.ref for member in by_offset)
        self._orders[roster.offset] = refs
        while len(self._orders) > MAX_ROSTERS:
            self._orders.popitem(last=False)
        members = set(refs)
        self._times = {r: t for r, t in self._times.items() if r in members}

    def hear(self, ref: NodeRef, at_s: float) -> None:
        """Notes that `ref` was alive at `at_s`."""
        if ref == self._own or not self._roster.is_member(ref):
            return
        if at_s > self._times.get(ref, -math.inf):
            self._times[ref] = at_s

    def merge(self, roster_offset: int, data: bytes, sent_s: float) -> None:
        """Takes in a peer's ages, as of a question sent at `sent_s`."""
        order = self._orders.get(roster_offset, ())
        for ref, age_s in zip(order, unpack_ages(data), strict=False):
            if age_s is not None:
                self.hear(ref, sent_s - age_s)

    def pack(self) -> bytes:
        """Returns the ages of all members, this node's own as zero."""
        now_s = time.monotonic()
        order = self._orders.get(self._roster.offset, ())
        ages = [
            0.0 if ref == self._own else now_s - self.heard_s(ref)
            for ref in order
        ]
        return pack_ages(ages)

    def heard_s(self, ref: NodeRef) -> float:
        """Returns when `ref` was last heard, or minus infinity."""
        return self._times.get(ref, -math.inf)

    def times(self) -> dict[NodeRef, float]:
        """Returns when each other member was last heard, if ever."""
        return dict(self._times)

    def quorum(self) -> int:
        """Returns how many others make a majority with this node.

        It is negative without a roster. A node that is no member needs a
        majority of the others.
        """
        members = len(self._roster.members)
        if not members:
            return -1
        own = 1 if self._roster.is_member(self._own) else 0
        return members // 2 + 1 - own
