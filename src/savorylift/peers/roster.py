"""The roster as a fold over join, leave and gone records."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

import msgspec
import structlog

from savorylift.identity import NodeInfo, NodeRef
from savorylift.log_service.log import LogRecord
from savorylift.peers.records import (
    RosterGone,
    RosterJoin,
    RosterKind,
    RosterLeave,
    read_body,
)
from savorylift.peers.view import Member, RosterSource, RosterView

MAX_ENDED = 1024


class RosterDump(NamedTuple):
    """The fold's whole state.

    Attributes:
        offset: Newest roster record folded in; -1 for none.
        members: Sorted by VM name.
        ended: Ended incarnations, oldest record first.
        forgotten: Newest incarnation ever dropped from `ended`. Joins up to
            it are late ones.
    """

    offset: int = -1
    members: tuple[Member, ...] = ()
    ended: tuple[NodeRef, ...] = ()
    forgotten: str = ""


class RosterFold:
    """Implements `Fold` for the roster and publishes each new view."""

    def __init__(
        self, source: RosterSource, max_ended: int = MAX_ENDED
    ) -> None:
        """Starts with an empty roster."""
        self._source = source
        self._max_ended = max_ended
        self._offset = -1
        self._members: dict[str, Member] = {}
        self._ended: dict[NodeRef, None] = {}  # in order of ending
        self._forgotten = ""
        self._appliers: dict[str, Callable[[LogRecord], None]] = {
            RosterKind.JOIN.value: self._apply_join,
            RosterKind.LEAVE.value: self._apply_leave,
            RosterKind.GONE.value: self._apply_gone,
        }

    def apply(self, record: LogRecord) -> None:
        """Applies one record; ignores kinds that it does not know."""
        applier = self._appliers.get(record.kind)
        if applier is None:
            return
        self._offset = record.offset
        applier(record)
        self._publish()

    def dump(self) -> str:
        """Returns the whole state as JSON text, for a snapshot record."""
        members = tuple(self._members[vm] for vm in sorted(self._members))
        state = RosterDump(
            self._offset, members, tuple(self._ended), self._forgotten
        )
        return msgspec.json.encode(state).decode()

    def load(self, text: str) -> None:
        """Replaces the state by one that `dump` returned."""
        state = msgspec.json.decode(text, type=RosterDump)
        self._offset = state.offset
        self._members = {m.info.ref.vm: m for m in state.members}
        self._ended = dict.fromkeys(state.ended)
        self._forgotten = state.forgotten
        self._publish()

    def _apply_join(self, record: LogRecord) -> None:
        body = read_body(record, RosterJoin)
        if body is None:
            _report(record)
            return
        info = body.info
        rivals = _find_rivals(info, self._members.values())
        is_newest = all(_is_after(info.ref, rival) for rival in rivals)
        if self._is_late(info.ref) or not is_newest:
            return
        for rival in rivals:
            self._end(rival)
        self._members[info.ref.vm] = Member(info, record.offset, leaving=False)

    def _apply_leave(self, record: LogRecord) -> None:
        body = read_body(record, RosterLeave)
        if body is None:
            _report(record)
            return
        if body.is_done:
            self._end(body.ref)
            return
        member = self._members.get(body.ref.vm)
        if member is not None and member.info.ref == body.ref:
            self._members[body.ref.vm] = member._replace(leaving=True)

    def _apply_gone(self, record: LogRecord) -> None:
        body = read_body(record, RosterGone)
        if body is None:
            _report(record)
            return
        self._end(body.ref)

    def _is_late(self, ref: NodeRef) -> bool:
        """Returns True for a join that names an ended or too old node."""
        member = self._members.get(ref.vm)
        is_again = member is not None and member.info.ref == ref
        is_old = ref.incarnation <= self._forgotten
        return ref in self._ended or is_old or is_again

    def _end(self, ref: NodeRef) -> None:
        member = self._members.get(ref.vm)
        if member is not None and member.info.ref == ref:
            del self._members[ref.vm]
        self._ended.setdefault(ref)
        while len(self._ended) > self._max_ended:
            oldest = next(iter(self._ended))
            del self._ended[oldest]
            self._forgotten = max(self._forgotten, oldest.incarnation)

    def _publish(self) -> None:
        self._source.replace(
            RosterView(
                self._offset, dict(self._members), frozenset(self._ended)
            )
        )


def _find_rivals(info: NodeInfo, members: Iterable[Member]) -> list[NodeRef]:
    """Returns members with the same VM or address, other than `info`."""
    others = (member.info for member in members)
    return [
        other.ref
        for other in others
        if other.ref != info.ref
        and (
            other.ref.vm == info.ref.vm
            or other.peer_address == info.peer_address
        )
    ]


def _is_after(ref: NodeRef, rival: NodeRef) -> bool:
    """Returns True if `ref` started after `rival`."""
    return ref.incarnation > rival.incarnation


def _report(record: LogRecord) -> None:
    structlog.get_logger().error(
        "roster_record_malformed", offset=record.offset, kind=record.kind
    )
