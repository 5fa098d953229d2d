"""Tests of how nodes are divided into groups that forward messages."""

import itertools
import math

import pytest

from savorylift.fleet.relay_groups import MAX_DIRECT_NODES, relay_groups


def make_ips(count: int) -> list[str]:
    return [f"10.0.0.{number}" for number in range(count)]


@pytest.mark.parametrize("count", [0, 1, MAX_DIRECT_NODES])
def test_few_nodes_are_told_directly(count: int) -> None:
    assert relay_groups(make_ips(count)) == [[ip] for ip in make_ips(count)]


@pytest.mark.parametrize("count", [MAX_DIRECT_NODES + 1, 88, 195, 350])
def test_each_node_is_in_one_group_and_no_link_carries_all(count: int) -> None:
    groups = relay_groups(make_ips(count))
    told = list(itertools.chain.from_iterable(groups))
    assert sorted(told) == sorted(make_ips(count))
    assert len(groups) <= math.isqrt(count)
    assert max(map(len, groups)) <= math.isqrt(count) + 3


def test_other_nodes_forward_at_other_times() -> None:
    first = {relay_groups(make_ips(88))[0][0] for _ in range(50)}
    assert len(first) > 1
