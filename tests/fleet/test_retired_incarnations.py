"""Tests of earlier processes of nodes."""

from savorylift.fleet.retired_incarnations import (
    MAX_INCARNATIONS,
    RetiredIncarnations,
)
from tests.fleet.test_membership import state


def test_the_newest_earlier_incarnations_of_a_node_are_known() -> None:
    retired = RetiredIncarnations()
    node = state()
    for incarnation in range(MAX_INCARNATIONS + 1):
        retired.add(node._replace(incarnation=incarnation))
    assert not retired.has(node.ip, 0)
    assert retired.has(node.ip, 1)
    assert not retired.has("10.0.0.9", 1)
    retired.forget(node.ip)
    assert not retired.has(node.ip, 1)
