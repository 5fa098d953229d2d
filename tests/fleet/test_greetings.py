"""Tests of what it costs a fleet that nodes start."""

import pytest

from tests.fleet.virtual_fleet import VirtualFleet

# Of what a node sends, a start of others may add so many for each of them.
MAX_PER_START = 3
# A steady fleet's datagrams of a node in a second, with its pulses.
MAX_STEADY_PER_S = 130
HEARD_S = 2.0


@pytest.mark.parametrize("count", [20, 88, 195])
def test_fleet_that_starts_at_once_sends_a_few_messages_for_each_pair(
    monkeypatch: pytest.MonkeyPatch, count: int
) -> None:
    """Each node told all others of itself as it heard one that was new."""
    fleet = VirtualFleet(monkeypatch, count)
    fleet.run(HEARD_S)
    assert not fleet.missing()
    most = max(node.sent for node in fleet.nodes.values())
    assert most <= MAX_PER_START * count + HEARD_S * MAX_STEADY_PER_S


@pytest.mark.parametrize("count", [20, 88])
def test_node_that_starts_again_costs_the_others_a_message_each(
    monkeypatch: pytest.MonkeyPatch, count: int
) -> None:
    fleet = VirtualFleet(monkeypatch, count)
    fleet.introduce()
    fleet.run(2.0)
    ips = list(fleet.nodes)
    before = sum(node.sent for node in fleet.nodes.values())
    fleet.run(1.0)
    steady = sum(node.sent for node in fleet.nodes.values()) - before
    last = fleet.nodes[ips[3]]
    before += steady - last.sent
    fleet.start(last.ip, last.domain, ips, incarnation=2)
    fleet.run(1.0)
    assert not fleet.missing()
    sent = sum(node.sent for node in fleet.nodes.values()) - before
    assert sent <= 1.1 * steady + MAX_PER_START * count
