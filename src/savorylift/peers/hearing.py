"""When each node was last heard, directly or through others."""

import collections
import math
import time
from collections.abc import Iterable

from savorylift.identity import NodeRef
from savorylift.peers.view import RosterView

AGE_STEP_S = 0.15
NOT_HEARD = 15  # largest value of four bits
MAX_AGE_S = (NOT_HEARD - 1) * AGE_STEP_S
MAX_ROSTERS = 8  # past rosters by which answers may still go
NEVER_S = float("-inf")
HALVES = [(byte >> 4, byte & 15) for byte in range(256)]


def pack_ages(ages_s: Iterable[float]) -> bytes:
    """Returns four bits an age, in steps rounded up; two ages a byte."""
    steps = [
        math.ceil(age_s / AGE_STEP_S) if age_s <= MAX_AGE_S else NOT_HEARD
        for age_s in ages_s
    ]
    if len(steps) % 2:
        steps.append(NOT_HEARD)
    pairs = zip(steps[::2], steps[1::2], strict=True)
    return bytes(high << 4 | low for high, low in pairs)


def unpack_times(data: bytes, sent_s: float) -> list[float]:
    """Returns lower bounds of the times of hearing.

    Args:
        data: Ages as `pack_ages` returned them.
        sent_s: When this node sent the question that they answer.
    """
    bounds_s = [sent_s - step * AGE_STEP_S for step in range(NOT_HEARD)]
    bounds_s.append(NEVER_S)
    return [bounds_s[step] for byte in data for step in HALVES[byte]]


class Hearing:
    """Lower bounds of the time at which each member was last alive.

    A time counts from when this node sent the question whose answer told of
    it, less the age that the answer stated: never from an arrival.
    """

    def __init__(self, own: NodeRef) -> None:
        """Starts having heard nobody."""
        self._own = own
        self._roster = RosterView()
        self._order: tuple[NodeRef, ...] = ()
        self._index: dict[NodeRef, int] = {}
        self._times: list[float] = []  # in the roster's order
        self._past: collections.OrderedDict[int, tuple[NodeRef, ...]] = (
            collections.OrderedDict()
        )

    @property
    def roster_offset(self) -> int:
        """Returns which roster `pack` goes by."""
        return self._roster.offset

    def use_roster(self, roster: RosterView) -> None:
        """Goes by a new roster from now on."""
        if roster is self._roster:
            return
        before = self.by_node()
        members = roster.members.values()
        by_offset = sorted(members, key=lambda m: m.joined_offset)
        self._roster = roster
        self._order = tuple(member.info.ref for member in by_offset)
        self._index = {ref: i for i, ref in enumerate(self._order)}
        self._times = [before.get(ref, NEVER_S) for ref in self._order]
        self._past[roster.offset] = self._order
        while len(self._past) > MAX_ROSTERS:
            self._past.popitem(last=False)

    def hear(self, ref: NodeRef, at_s: float) -> None:
        """Notes that `ref` was alive at `at_s`."""
        index = self._index.get(ref)
        if index is not None and ref != self._own:
            self._times[index] = max(self._times[index], at_s)

    def merge(self, roster_offset: int, data: bytes, sent_s: float) -> None:
        """Takes in a peer's ages, as of a question sent at `sent_s`."""
        times = unpack_times(data, sent_s)
        order = self._past.get(roster_offset, ())
        if len(times) < len(order):
            return
        if order != self._order:
            for ref, at_s in zip(order, times, strict=False):
                self.hear(ref, at_s)
            return
        self._times = list(map(max, self._times, times))
        if self._own in self._index:
            self._times[self._index[self._own]] = NEVER_S

    def pack(self) -> bytes:
        """Returns the ages of all members, this node's own as zero."""
        now_s = time.monotonic()
        ages_s = [now_s - at_s for at_s in self._times]
        if self._own in self._index:
            ages_s[self._index[self._own]] = 0.0
        return pack_ages(ages_s)

    def heard_s(self, ref: NodeRef) -> float:
        """Returns when `ref` was last heard, or minus infinity."""
        index = self._index.get(ref)
        return NEVER_S if index is None else self._times[index]

    def times(self) -> list[float]:
        """Returns when each other member was last heard, if ever."""
        return self._times

    def by_node(self) -> dict[NodeRef, float]:
        """Returns when each other member was last heard, if it ever was."""
        pairs = zip(self._order, self._times, strict=True)
        return {ref: at_s for ref, at_s in pairs if at_s != NEVER_S}

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
