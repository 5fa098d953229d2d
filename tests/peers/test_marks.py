"""Leaving marks, and which nodes count as gone."""

import pytest
from freezegun import freeze_time
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from savorylift.identity import NodeInfo, NodeRef
from savorylift.log_service.vms import VmEntry
from savorylift.peers.gone import GoneJudge, GoneOptions
from savorylift.peers.marks import LeavingMarks
from savorylift.peers.view import Member, RosterView

Step = tuple[str, str] | tuple[str, str, bool]


def run(marks: LeavingMarks, *steps: Step) -> bool:
    """Applies `("mark", i)` and `("list", i, leaving)` steps to a VM."""
    for kind, incarnation, *flags in steps:
        if kind == "mark":
            marks.mark("e", incarnation)
        else:
            marks.observe([VmEntry("e", incarnation, bool(flags[0]))])
    return marks.view().is_leaving("e")


LIVE_3, LIVE_4 = ("list", "3", False), ("list", "4", False)
LIVE_X, LIVE_Y = ("list", "x", False), ("list", "y", False)


@pytest.mark.parametrize(
    ("steps", "is_leaving"),
    [
        ([LIVE_3], False),
        ([LIVE_3, ("list", "3", True)], True),
        ([LIVE_3, ("mark", "3")], True),
        ([("mark", ""), LIVE_3], True),
        ([LIVE_3, ("mark", "")], True),
        ([("mark", "3"), LIVE_3, LIVE_3, LIVE_3], True),
        ([("mark", "3"), ("list", "2", False), ("list", "2", False)], True),
        ([("mark", "3"), LIVE_4], True),
        ([("mark", "3"), LIVE_4, LIVE_4], False),
        ([("mark", "3"), LIVE_4, LIVE_3, LIVE_4], True),
        ([("mark", "3"), LIVE_4, LIVE_4, ("mark", "3")], False),
        ([("mark", "3"), LIVE_4, LIVE_4, ("list", "3", True)], False),
        ([("mark", "3"), LIVE_4, LIVE_4, LIVE_3, LIVE_3], False),
        ([LIVE_4, LIVE_4, ("mark", "3")], False),
        ([("mark", "3"), ("mark", "4"), LIVE_4, LIVE_4], True),
        ([LIVE_X, ("mark", "x"), LIVE_X, LIVE_Y], True),
        ([LIVE_X, ("mark", "x"), LIVE_Y, LIVE_Y], False),
        ([LIVE_X, LIVE_Y, ("mark", "y"), LIVE_X, LIVE_X], True),
        ([("mark", "y"), LIVE_X, LIVE_X, LIVE_X], True),
    ],
)
def test_marks(steps: list[Step], *, is_leaving: bool) -> None:
    assert run(LeavingMarks(), *steps) == is_leaving


def test_gossip_carries_marks_and_their_end() -> None:
    a, b, c = LeavingMarks(), LeavingMarks(), LeavingMarks()
    run(a, LIVE_X, ("mark", "x"))
    for other in (b, c):
        assert other.merge(a.state("e"))
        assert not other.merge(a.state("e"))
        assert other.view().is_leaving("e")
    assert not run(a, LIVE_Y, LIVE_Y)
    assert b.merge(a.state("e"))
    assert not b.view().is_leaving("e")
    b.merge(c.state("e"))  # a late mark
    assert not b.view().is_leaving("e")
    run(c, LIVE_X, LIVE_X)  # an older list
    assert c.view().is_leaving("e")


class NaiveMarks(LeavingMarks):
    """Believes whatever the newest read says."""

    def observe(self, entries: object) -> list[str]:
        self._states.clear()
        return super().observe(entries)  # type: ignore[arg-type]


class MarksMachine(RuleBasedStateMachine):
    """Nodes read copies of any age; the oracle knows the VM's real state."""

    node = st.integers(0, 2)
    make: type[LeavingMarks] = LeavingMarks

    def __init__(self) -> None:
        super().__init__()
        self.nodes = [self.make() for _ in range(3)]
        self.states = [VmEntry("e", "1", leaving=False)]
        self.knows: list[set[str]] = [set(), set(), set()]

    @rule()
    def begin_to_leave(self) -> None:
        self.states.append(self.states[-1]._replace(leaving=True))

    @rule()
    def replace(self) -> None:
        incarnation = str(int(self.states[-1].incarnation) + 1)
        self.states.append(VmEntry("e", incarnation, leaving=False))

    @rule(node=node)
    def hear_of_it(self, node: int) -> None:
        entry = self.states[-1]
        if entry.leaving:
            self.nodes[node].mark("e", entry.incarnation)
            self.knows[node].add(entry.incarnation)

    @rule(node=node, age=st.integers(0, 4))
    def read_list(self, node: int, age: int) -> None:
        entry = self.states[max(0, len(self.states) - 1 - age)]
        self.nodes[node].observe([entry])
        if entry.leaving:
            self.knows[node].add(entry.incarnation)

    @rule(node=node, other=node)
    def gossip(self, node: int, other: int) -> None:
        self.nodes[node].merge(self.nodes[other].state("e"))
        self.knows[node] |= self.knows[other]

    @rule(node=node)
    def settle(self, node: int) -> None:
        """Fresh reads put an end to every mark of the past."""
        for _ in range(2):
            self.nodes[node].observe([self.states[-1]])
        is_leaving = self.nodes[node].view().is_leaving("e")
        assert is_leaving >= self.states[-1].leaving
        if self.states[-1].leaving:
            self.knows[node].add(self.states[-1].incarnation)
        else:
            assert not is_leaving

    @invariant()
    def what_is_known_is_not_taken_back(self) -> None:
        now = self.states[-1]
        for marks, knows in zip(self.nodes, self.knows, strict=True):
            if now.leaving and now.incarnation in knows:
                assert marks.view().is_leaving("e")


TestMarksMachine = MarksMachine.TestCase


def test_the_machine_finds_the_naive_marks_out() -> None:
    machine = type("Naive", (MarksMachine,), {"make": NaiveMarks})()
    machine.begin_to_leave()
    machine.hear_of_it(0)
    machine.read_list(0, 1)
    with pytest.raises(AssertionError):
        machine.what_is_known_is_not_taken_back()


def roster_of(**incarnations: str) -> RosterView:
    return RosterView(
        0,
        {
            vm: Member(
                NodeInfo(NodeRef(vm, i), "ikeja-a", "c", vm, "o"),
                joined_offset=0,
                leaving=False,
            )
            for vm, i in incarnations.items()
        },
    )


def judge_reads(
    reads: list[str], heard: str = "a", roster: RosterView | None = None
) -> list[str]:
    """Lets `a` read lists of one-letter VMs 5 s apart; returns who is gone."""
    judge = GoneJudge(NodeRef("a", "1"), GoneOptions())
    roster = roster or roster_of(a="1", b="1", c="1")
    gone: set[str] = set()
    with freeze_time("2026-01-01") as clock:
        for read in reads:
            entries = [VmEntry(vm, "1", leaving=False) for vm in read]
            found = judge.observe(entries, roster, frozenset(heard))
            gone |= {ref.vm for ref in found}
            clock.tick(5.0)
    return sorted(gone)


@pytest.mark.parametrize(
    ("reads", "heard", "gone"),
    [
        (["abc", "ac", "ac", "ac"], "a", ["b"]),
        (["abc", "ac", "ac"], "a", []),
        (["ac", "ac", "ac", "ac", "ac"], "a", []),
        (["abc", "ac", "ac", "abc", "ac", "ac"], "a", []),
        (["abc", "ac", "ac", "ac", "ac"], "ab", []),
        (["abc", "abc", "abc", "abc", "abc"], "a", []),
        (["abc", "c", "c", "c", "c", "c"], "a", ["b"]),
    ],
)
def test_gone(reads: list[str], heard: str, gone: list[str]) -> None:
    assert judge_reads(reads, heard) == gone


def test_one_node_at_a_time_reports() -> None:
    roster = roster_of(**dict.fromkeys("abcdx", "1"))
    with freeze_time("2026-01-01") as clock:
        judges = [GoneJudge(NodeRef(vm, "1"), GoneOptions()) for vm in "abcd"]
        reported = []
        for number in range(14):
            listed = "abcdx" if number == 0 else "abcd"
            entries = [VmEntry(vm, "1", leaving=False) for vm in listed]
            for judge in judges:
                found = judge.observe(entries, roster, frozenset("abcd"))
                reported.append((number, found != []))
            clock.tick(2.0)
    first = min(number for number, is_due in reported if is_due)
    assert [number for number, is_due in reported if is_due].count(first) == 1
