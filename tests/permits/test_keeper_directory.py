"""Remembered choices of keepers against choosing anew."""

import time

import hypothesis.strategies as st
from hypothesis import given

from savorylift.identity import NodeRef
from savorylift.peers.view import Member, RosterSource, RosterView
from savorylift.permits.keeper_directory import KeeperDirectory
from savorylift.permits.lots import KeeperChoice, lot_count
from savorylift.rules.view import RulesSource
from tests.permits.fakes import member, rules_of, server

SERVERS = [server(f"s{n}", cold=1 + n % 4) for n in range(12)]
CHANGES = st.lists(
    st.tuples(st.integers(0, 8), st.sampled_from(["join", "leave", "gone"])),
    max_size=14,
)


def changed(
    members: dict[str, Member], number: int, how: str, offset: int, domains: int
) -> dict[str, Member]:
    vm = f"vm-{number}"
    after = dict(members)
    if how == "gone":
        after.pop(vm, None)
    elif how == "leave" and vm in after:
        after[vm] = after[vm]._replace(leaving=True)
    else:
        ref = NodeRef(vm, f"{offset:04}")
        after[vm] = member(ref, offset, f"d{number % domains}")
    return after


@given(CHANGES, st.integers(1, 4))
def test_remembered_choices_are_those_made_anew(
    changes: list[tuple[int, str]], domains: int
) -> None:
    roster = RosterSource(RosterView(0, {}))
    rules = RulesSource(rules_of(*SERVERS))
    directory = KeeperDirectory(rules, roster)
    for offset, (number, how) in enumerate(changes, start=1):
        members = dict(roster.current().members)
        members = changed(members, number, how, offset, domains)
        roster.replace(RosterView(offset, members))
        anew = KeeperChoice(roster.current())
        for rule in SERVERS:
            lots = lot_count(rule.cold_limit)
            expected = anew.keepers_of(rule.name, lots)
            assert directory.keepers_of(rule.name) == expected


def test_a_restart_moves_few_choices_in_little_time() -> None:
    rules = [server(f"s{n}", cold=3) for n in range(600)]
    members: dict[str, Member] = {}
    for number in range(350):
        members = changed(members, number, "join", number, 6)
    roster = RosterSource(RosterView(350, members))
    directory = KeeperDirectory(RulesSource(rules_of(*rules)), roster)
    before_s = time.process_time()
    for rule in rules:
        directory.keepers_of(rule.name)
    all_s = time.process_time() - before_s
    members = changed(members, 7, "join", 351, 6)
    roster.replace(RosterView(351, members))
    before_s = time.process_time()
    for rule in rules:
        directory.keepers_of(rule.name)
    assert time.process_time() - before_s < all_s / 4
