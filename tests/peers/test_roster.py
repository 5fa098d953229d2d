"""The roster fold and the records' writer."""

import random

import msgspec
import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from savorylift.identity import NodeInfo, NodeRef
from savorylift.log_service.log import (
    LogEntry,
    LogFault,
    LogPage,
    LogRecord,
)
from savorylift.peers.membership import Membership
from savorylift.peers.records import (
    RosterBody,
    RosterGone,
    RosterJoin,
    RosterLeave,
    new_entry,
)
from savorylift.peers.roster import RosterFold
from savorylift.peers.view import RosterSource

VMS = ("a", "b", "c")


def info_of(vm: str, incarnation: str, address: str = "") -> NodeInfo:
    ref = NodeRef(vm, incarnation)
    return NodeInfo(ref, "ikeja-a", "c", address or vm, "o")


def record_of(offset: int, body: RosterBody) -> LogRecord:
    entry = new_entry(body)
    return LogRecord(offset, entry.record_id, entry.kind, entry.body, 0)


def fold_of(*bodies: RosterBody) -> tuple[RosterFold, RosterSource]:
    source = RosterSource()
    fold = RosterFold(source)
    for offset, body in enumerate(bodies):
        fold.apply(record_of(offset, body))
    return fold, source


A1, A2 = NodeRef("a", "1"), NodeRef("a", "2")
JOIN_A1, JOIN_A2 = RosterJoin(info_of("a", "1")), RosterJoin(info_of("a", "2"))
WITNESS = NodeRef("w", "1")


@pytest.mark.parametrize(
    ("bodies", "members"),
    [
        ([JOIN_A1], {"a": "1"}),
        ([JOIN_A1, JOIN_A2], {"a": "2"}),
        ([JOIN_A2, JOIN_A1], {"a": "2"}),
        ([JOIN_A1, JOIN_A2, JOIN_A1], {"a": "2"}),
        ([JOIN_A1, RosterLeave(A1, is_done=False)], {"a": "1"}),
        ([JOIN_A1, RosterLeave(A1, is_done=True)], {}),
        ([JOIN_A1, RosterLeave(A1, is_done=True), JOIN_A1], {}),
        ([JOIN_A1, RosterGone(A1, WITNESS), JOIN_A2], {"a": "2"}),
        ([RosterGone(A1, WITNESS), JOIN_A1], {}),
        ([JOIN_A1, JOIN_A2, RosterGone(A1, WITNESS)], {"a": "2"}),
        ([JOIN_A1, RosterJoin(info_of("b", "2", "a"))], {"b": "2"}),
        ([RosterJoin(info_of("b", "2", "a")), JOIN_A1], {"b": "2"}),
    ],
)
def test_folds(bodies: list[RosterBody], members: dict[str, str]) -> None:
    _, source = fold_of(*bodies)
    view = source.current()
    found = {vm: m.info.ref.incarnation for vm, m in view.members.items()}
    assert found == members
    assert view.offset == len(bodies) - 1


@pytest.mark.parametrize("body", ["", "{", "[]", '[["a"]]', '{"x":1}'])
def test_malformed_and_unknown_records_change_nothing(body: str) -> None:
    fold, source = fold_of(JOIN_A1)
    for kind in ("roster.join", "roster.leave", "roster.gone", "rules.edit"):
        fold.apply(LogRecord(1, "x", kind, body, 0))
    assert set(source.current().members) == {"a"}


def test_ended_is_bounded_and_late_joins_stay_out() -> None:
    source = RosterSource()
    fold = RosterFold(source, max_ended=4)
    for number in range(10):
        fold.apply(record_of(number, RosterJoin(info_of("a", f"{number}"))))
    assert len(source.current().ended) == 4
    fold.apply(record_of(10, RosterLeave(NodeRef("a", "9"), is_done=True)))
    for number in range(10):
        fold.apply(record_of(11, RosterJoin(info_of("a", f"{number}"))))
    assert source.current().members == {}


class RosterMachine(RuleBasedStateMachine):
    """Random records against a history that never forgets."""

    vm = st.sampled_from(VMS)
    incarnation = st.integers(1, 5).map(str)

    def __init__(self) -> None:
        super().__init__()
        self.source = RosterSource()
        self.fold = RosterFold(self.source)
        self.records: list[LogRecord] = []
        self.history: list[RosterBody] = []

    def apply(self, body: RosterBody) -> None:
        record = record_of(len(self.records), body)
        self.records.append(record)
        self.history.append(body)
        self.fold.apply(record)

    @rule(vm=vm, incarnation=incarnation)
    def join(self, vm: str, incarnation: str) -> None:
        self.apply(RosterJoin(info_of(vm, incarnation)))

    @rule(vm=vm, incarnation=incarnation, is_done=st.booleans())
    def leave(self, vm: str, incarnation: str, *, is_done: bool) -> None:
        self.apply(RosterLeave(NodeRef(vm, incarnation), is_done))

    @rule(vm=vm, incarnation=incarnation)
    def gone(self, vm: str, incarnation: str) -> None:
        self.apply(RosterGone(NodeRef(vm, incarnation), WITNESS))

    @rule(cut=st.integers(0, 100))
    def rebuild_from_snapshot(self, cut: int) -> None:
        """A reader that starts from a snapshot ends with equal state."""
        first = RosterFold(RosterSource())
        second = RosterFold(RosterSource())
        middle = cut * len(self.records) // 100
        for record in self.records[:middle]:
            first.apply(record)
        second.load(first.dump())
        for record in self.records[middle:]:
            second.apply(record)
        assert second.dump() == self.fold.dump()

    @invariant()
    def agrees_with_the_oracle(self) -> None:
        view = self.source.current()
        found = {vm: m.info.ref.incarnation for vm, m in view.members.items()}
        assert found == self.expected()

    def expected(self) -> dict[str, str]:
        """The newest incarnation that joined, if it never ended before."""
        live: dict[str, str] = {}
        over: set[NodeRef] = set()
        for body in self.history:
            if isinstance(body, RosterJoin):
                vm, incarnation = body.info.ref
                if body.info.ref not in over and live.get(vm, "") < incarnation:
                    over.add(NodeRef(vm, live.get(vm, "")))
                    live[vm] = incarnation
            elif isinstance(body, RosterGone) or body.is_done:
                over.add(body.ref)
                if live.get(body.ref.vm) == body.ref.incarnation:
                    del live[body.ref.vm]
        return live


TestRosterMachine = RosterMachine.TestCase


class LossyLog:
    """Applies appends to a fold; half of the answers are lost."""

    def __init__(self, source: RosterSource) -> None:
        self.fold = RosterFold(source)
        self.seen: set[str] = set()
        self.appends = 0
        self.is_up = True

    def append(
        self, stream: str, entries: tuple[LogEntry, ...]
    ) -> Result[int, LogFault]:
        assert stream == "rules"
        if not self.is_up:
            return Failure(LogFault(may_have_applied=False, message="down"))
        offset = self.appends
        self.appends += 1
        for entry in entries:
            if entry.record_id not in self.seen:
                self.seen.add(entry.record_id)
                self.fold.apply(LogRecord(offset, *entry, time_ms=0))
        if random.random() < 0.5:
            return Failure(LogFault(may_have_applied=True, message="lost"))
        return Success(offset)

    def read(
        self, stream: str, offset: int, wait_s: float = 0.0
    ) -> Result[LogPage, LogFault]:
        raise NotImplementedError


def test_membership_is_what_was_read_back() -> None:
    source = RosterSource()
    log = LossyLog(source)
    membership = Membership(info_of("a", "1"), log, source)
    assert is_successful(membership.join(2.0))
    assert is_successful(membership.begin_leave(2.0))
    assert source.current().members["a"].leaving
    assert is_successful(membership.end_leave(2.0))
    assert source.current().members == {}
    assert membership.join(2.0) == Failure(
        "roster shows a as ended, not member"
    )
    log.is_up = False
    other = Membership(info_of("b", "1"), log, source)
    assert other.join(0.1) == Failure("roster shows b as unknown, not member")


def test_a_dump_is_plain_json() -> None:
    fold, _ = fold_of(JOIN_A1, JOIN_A2)
    assert msgspec.json.decode(fold.dump())[0] == 1
