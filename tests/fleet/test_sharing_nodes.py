"""Tests of this node's share of what servers take."""

import pytest

from savorylift.fleet import sharing_nodes
from savorylift.fleet.sharing_nodes import SHARING_TIMEOUT_S, SharingNodes
from savorylift.rendezvous import rank

ME = "10.0.0.1"
NODES = 20
SERVER_IDS = [f"i-{n}" for n in range(30)]


def shares(nodes: SharingNodes, slots: int, now_s: float) -> list[int]:
    return [nodes.own_share(s, slots, now_s) for s in SERVER_IDS]


def expected_shares(ips: list[str], slots: int) -> list[int]:
    quotient, remainder = divmod(slots, len(ips))
    positions = [rank(s, ips).index(ME) for s in SERVER_IDS]
    return [quotient + (position < remainder) for position in positions]


def test_shares_follow_each_change_of_the_nodes() -> None:
    nodes = SharingNodes(ME)
    others = [f"10.0.0.{n}" for n in range(2, NODES + 1)]
    slots = 7
    assert shares(nodes, slots, 0.0) == [slots] * len(SERVER_IDS)
    for number, ip in enumerate(others):
        nodes.hear(ip, float(number))
        known = [ME, *others[: number + 1]]
        assert shares(nodes, slots, float(number)) == expected_shares(
            known, slots
        )
    # The first half falls silent.
    half = len(others) // 2
    now_s = half - 0.5 + SHARING_TIMEOUT_S
    left = [ME, *others[half:]]
    assert shares(nodes, slots, now_s) == expected_shares(left, slots)
    assert nodes.count(now_s) == len(left)
    nodes.hear(others[0], now_s)
    again = [*left, others[0]]
    assert shares(nodes, slots, now_s) == expected_shares(again, slots)
    assert nodes.count(now_s) == len(again)


def test_node_counts_until_its_last_message_is_too_old() -> None:
    nodes = SharingNodes(ME)
    nodes.hear("10.0.0.2", 0.0)
    nodes.hear("10.0.0.3", 1.0)
    nodes.hear("10.0.0.2", 2.0)
    assert nodes.count(1.0 + SHARING_TIMEOUT_S) == 3
    assert nodes.count(1.1 + SHARING_TIMEOUT_S) == 2
    assert nodes.count(2.1 + SHARING_TIMEOUT_S) == 1


def test_requests_do_not_rank_all_nodes_while_these_stay(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    ranked: list[str] = []

    def count_ranking(key: str, names: list[str]) -> list[str]:
        ranked.append(key)
        return rank(key, names)

    monkeypatch.setattr(sharing_nodes, "rank", count_ranking)
    nodes = SharingNodes(ME)
    for second in range(5):
        for number in range(2, NODES + 1):
            nodes.hear(f"10.0.0.{number}", float(second))
        shares(nodes, 7, float(second))
    assert ranked == SERVER_IDS


def test_number_of_servers_whose_ranking_is_kept_is_bounded() -> None:
    nodes = SharingNodes(ME)
    for number in range(2 * sharing_nodes.MAX_PLACES):
        nodes.own_share(f"i-{number}", 7, 0.0)
    assert len(nodes._places) <= sharing_nodes.MAX_PLACES
