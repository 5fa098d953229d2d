"""When each neighbour is asked for gossip, and since which change."""

import random
import time
from collections.abc import Container, Iterable

from savorylift.identity import NodeRef


class QuestionSchedule:
    """Due times of questions to the current neighbours."""

    def __init__(self, first_delay_s: float) -> None:
        """Starts empty; a new neighbour is due within `first_delay_s`."""
        self._first_delay_s = first_delay_s
        self._nodes: list[NodeRef] = []
        self._due_s: dict[NodeRef, float] = {}
        self._known_changes: dict[NodeRef, int] = {}

    def follow(self, nodes: Iterable[NodeRef]) -> None:
        """Follows a change of neighbours."""
        self._nodes = list(nodes)
        for node in self._due_s.keys() - set(self._nodes):
            del self._due_s[node]
            self._known_changes.pop(node, None)
        for node in self._nodes:
            if node not in self._due_s:
                delay_s = random.random() * self._first_delay_s
                self._due_s[node] = time.monotonic() + delay_s

    def take_due(
        self, interval_s: float, asking: Container[NodeRef]
    ) -> list[NodeRef]:
        """Returns the nodes to ask now, save those that are being asked."""
        now_s = time.monotonic()
        due = []
        for node in self._nodes:
            if self._due_s[node] > now_s + interval_s:
                self._due_s[node] = now_s + random.random() * interval_s
            if self._due_s[node] <= now_s and node not in asking:
                self._due_s[node] = now_s + interval_s
                due.append(node)
        return due

    def hasten(self, node: NodeRef) -> None:
        """Makes a question to a neighbour due now."""
        if node in self._due_s:
            self._due_s[node] = time.monotonic()

    def nodes(self) -> list[NodeRef]:
        """Returns the neighbours."""
        return list(self._due_s)

    def known_change(self, node: NodeRef) -> int:
        """Returns the newest change known of a node; 0 for none."""
        return self._known_changes.get(node, 0)

    def note_change(self, node: NodeRef, change: int) -> None:
        """Notes up to which change a node has told its knowledge."""
        self._known_changes[node] = change
