"""Chooses the nodes that watch this one, and are sent pulses.

The node itself chooses, so that its watchers need to agree on nothing.
"""

from collections.abc import Iterable
from typing import NamedTuple

from savorylift.fleet.state import NodeState
from savorylift.rendezvous import score

# One more than those who must agree that a node is silent.
WATCHER_COUNT = 3
# Pulses in which a former watcher is told that no more come: all of them would
# have to be lost for it to take this node for silent.
FAREWELL_PULSES = 3


class Pulses(NamedTuple):
    """Addresses that the next pulse goes to.

    Attributes:
        going_on: Those of the watchers.
        ending: Those of former watchers.
    """

    going_on: tuple[str, ...]
    ending: tuple[str, ...]


class Watchers:
    """The watchers of this node, and the former ones to be told."""

    def __init__(self, ip: str) -> None:
        """Starts without watchers.

        Args:
            ip: This node's own address.
        """
        self._ip = ip
        self._chosen: tuple[str, ...] = ()
        self._farewells: dict[str, int] = {}

    def choose(self, candidates: Iterable[NodeState], own_domain: str) -> None:
        """Replaces the watchers.

        They are in different failure domains where possible, first of all in
        others than this node: its own may be lost with it.

        Args:
            candidates: Live nodes that can watch.
            own_domain: Failure domain of this node.
        """
        order = sorted(
            candidates,
            key=lambda state: (
                state.failure_domain != own_domain,
                score(self._ip, state.ip),
            ),
            reverse=True,
        )
        best = {s.failure_domain: s.ip for s in reversed(order)}
        firsts = [s.ip for s in order if best[s.failure_domain] == s.ip]
        others = [s.ip for s in order if best[s.failure_domain] != s.ip]
        chosen = tuple((firsts + others)[:WATCHER_COUNT])
        for ip in set(self._chosen) - set(chosen):
            self._farewells[ip] = FAREWELL_PULSES
        for ip in chosen:
            self._farewells.pop(ip, None)
        self._chosen = chosen

    def next_pulses(self) -> Pulses:
        """Returns where the next pulse goes, and counts it as sent."""
        ending = tuple(self._farewells)
        self._farewells = {
            ip: left - 1 for ip, left in self._farewells.items() if left > 1
        }
        return Pulses(self._chosen, ending)
