"""Tests of which nodes callers may connect to."""

import pytest

from savorylift.fleet.caller_choice import find_usable
from savorylift.fleet.state import NodeState
from tests.fleet.test_membership import state

READY = state(1)._replace(region="north")
SOUTH = state(2)._replace(region="south")
STARTING = state(3)._replace(region="north", is_ready=False)
LEAVING = state(4)._replace(region="north", is_leaving=True)
CUT_OFF = state(5)._replace(region="north", unreached_services=("s",))
SECOND = state(6)._replace(region="north")


@pytest.mark.parametrize(
    ("states", "region", "homes", "expected"),
    [
        ([], None, set(), []),
        ([READY, SOUTH], None, set(), [READY, SOUTH]),
        ([READY, SOUTH], "north", set(), [READY]),
        # Without a node in the caller's region: where its requests run.
        ([READY, SOUTH], "west", {"south"}, [SOUTH]),
        ([READY, SOUTH], "west", {"east"}, [READY, SOUTH]),
        ([READY, STARTING, LEAVING], "north", set(), [READY]),
        # A ready node elsewhere goes before one that isn't, here.
        ([SOUTH, STARTING], "north", set(), [SOUTH]),
        ([STARTING, LEAVING], "north", set(), [STARTING]),
        ([LEAVING], "north", set(), [LEAVING]),
        # Half of the nodes reach the servers.
        ([READY, CUT_OFF], "north", set(), [READY]),
        (
            [READY, CUT_OFF, CUT_OFF._replace(ip="x")],
            "north",
            set(),
            [READY, CUT_OFF, CUT_OFF._replace(ip="x")],
        ),
        ([READY, SECOND, CUT_OFF], None, set(), [READY, SECOND]),
        ([CUT_OFF], "north", set(), [CUT_OFF]),
    ],
)
def test_callers_get_the_best_nodes_there_are(
    states: list[NodeState],
    region: str | None,
    homes: set[str],
    expected: list[NodeState],
) -> None:
    assert list(find_usable(states, region, homes)) == expected
