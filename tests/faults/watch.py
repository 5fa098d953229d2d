"""Polls what every node says of itself, beside the callers."""

import threading
import time
from collections.abc import Mapping
from typing import Any, NamedTuple

import urllib3

from tests.harness import answers
from tests.harness.node import Node

POLL_S = 0.1
TIMEOUT_S = 0.4
SERVING = "serving"


class Seen(NamedTuple):
    """One status of one node that serves."""

    time_s: float
    vm: str
    incarnation: str
    rules_offset: int
    rules_version: int


def status_of(node: Node) -> dict[str, Any] | None:
    """Returns a node's status, or None if it gives none in time."""
    url = f"{node.operator_url}/v1/status"
    try:
        answer = answers.request("GET", url, timeout_s=TIMEOUT_S)
    except urllib3.exceptions.HTTPError:
        return None
    return answer.json() if answer.status == 200 else None


class StatusWatch:
    """Notes the configuration in force on each node over time."""

    def __init__(self, nodes: Mapping[str, Node]) -> None:
        """Prepares one thread a node."""
        self.seen: list[Seen] = []
        self._is_over = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(node,), daemon=True)
            for node in nodes.values()
        ]

    def start(self) -> None:
        """Starts polling."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Ends polling."""
        self._is_over.set()
        for thread in self._threads:
            thread.join()

    def reverted(self, since_s: float) -> list[str]:
        """Returns where a serving node fell back to an older version."""
        faults: list[str] = []
        newest: dict[str, Seen] = {}
        for seen in list(self.seen):
            before = newest.get(seen.vm, seen)
            is_older = (seen.rules_offset, seen.rules_version) < (
                before.rules_offset,
                before.rules_version,
            )
            if is_older and seen.time_s >= since_s:
                faults.append(f"configuration fell back: {before} to {seen}")
            newest[seen.vm] = seen
        return faults

    def _run(self, node: Node) -> None:
        while not self._is_over.wait(POLL_S):
            status = status_of(node)
            if status is None or status["phase"] != SERVING:
                continue
            self.seen.append(
                Seen(
                    time.time(),
                    status["vm"],
                    status["incarnation"],
                    status["rules_offset"],
                    status["rules_version"],
                )
            )
