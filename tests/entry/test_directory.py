"""Tests of which nodes a team is sent to."""

from savorylift.entry.directory import entries_for
from savorylift.identity import NodeInfo, NodeRef
from savorylift.peers.view import Member, RosterView
from savorylift.rules.view import OutOfService, RulesView


def roster(count: int, leaving: frozenset[int] = frozenset()) -> RosterView:
    members = {}
    for number in range(count):
        info = NodeInfo(
            NodeRef(f"entry-{number}", "i"),
            f"domain-{number % 4}",
            f"a{number}",
            "",
            "",
        )
        members[info.ref.vm] = Member(info, number, number in leaving)
    return RosterView(count, members)


def test_team_gets_few_entries_in_different_domains() -> None:
    entries = entries_for("desk", roster(12), RulesView())
    assert len(entries) == 3
    assert len({int(entry[1:]) % 4 for entry in entries}) == 3


def test_entries_stay_when_others_join() -> None:
    kept = 0
    for number in range(100):
        team = f"team-{number}"
        before = entries_for(team, roster(30), RulesView())
        kept += before == entries_for(team, roster(31), RulesView())
    assert kept >= 80


def test_leaving_and_out_of_service_nodes_are_not_named() -> None:
    orders = {
        name: OutOfService(name, name.startswith("domain"), "", 1)
        for name in ("domain-1", "entry-0")
    }
    view = RulesView(out_of_service=orders)
    entries = entries_for("desk", roster(6, frozenset({2})), view)
    assert sorted(entries) == ["a3", "a4"]
