"""The roster as decisions read it."""

from collections.abc import Mapping
from typing import NamedTuple

from savorylift.identity import NodeInfo, NodeRef


class Member(NamedTuple):
    """A node on the roster.

    Attributes:
        info: Identity and addresses.
        joined_offset: Log offset of its join record.
        leaving: True once it has begun a graceful shutdown.
    """

    info: NodeInfo
    joined_offset: int
    leaving: bool


class RosterView(NamedTuple):
    """The roster at one log offset; never changed in place.

    Attributes:
        offset: Newest roster record folded in; -1 for none.
        members: By VM name.
        ended: Incarnations that left, are gone or were replaced; the oldest
            are dropped past a bound.
    """

    offset: int = -1
    members: Mapping[str, Member] = {}
    ended: frozenset[NodeRef] = frozenset()

    def is_member(self, ref: NodeRef) -> bool:
        """Returns True if exactly this incarnation is on the roster."""
        member = self.members.get(ref.vm)
        return member is not None and member.info.ref == ref


class RosterSource:
    """Holds the newest roster view; one writer, any number of readers."""

    def __init__(self, view: RosterView | None = None) -> None:
        """Starts with `view`, or with an empty one."""
        self._view = view or RosterView()

    def current(self) -> RosterView:
        """Returns the newest view."""
        return self._view

    def replace(self, view: RosterView) -> None:
        """Publishes `view`; it must not be older than the current one."""
        assert view.offset >= self._view.offset, "a roster must not revert"
        self._view = view
