"""One seed of the soak, and what it checks."""

import json
import pathlib
import threading
import time
from collections import Counter
from collections.abc import Iterator
from typing import NamedTuple

import urllib3

from savorylift.outcomes import Ending
from tests.harness import answers
from tests.harness.deployment import Deployment, Options
from tests.harness.plans import AJLOUN, Plan
from tests.soak.callers import Crowd, Got
from tests.soak.faults import Troubles

PLAN = AJLOUN._replace(nodes=3, runners=3, instances=2)
ENGINE = {"interval_s": 0.005, "first_token_s": 0.01, "starts_cold": False}
SERVICE = {"starts_cold": False, "run_s": 0.005}
READY_S = 20.0
# Every fault has ended; what follows from them may take this long.
RECOVERY_S = 12.0
POLL_S = 0.1
# Logged only for faults of our own.
OWN_FAULTS = frozenset({"task_failed"})


class Outcome(NamedTuple):
    """What a seed showed.

    Attributes:
        troubles: Faults that were brought about.
        got: Requests by kind and what they ended with.
        faults: Broken promises; empty if all were kept.
    """

    troubles: list[str]
    got: Counter[str]
    faults: list[str]


def play(
    seed: int, directory: pathlib.Path, for_s: float, plan: Plan = PLAN
) -> Outcome:
    """Runs a deployment under load while faults come, and judges it."""
    options = Options(relayed=True, engine=ENGINE, service=SERVICE)
    with Deployment(plan, directory, options) as deployment:
        deployment.put_first_rules()
        deployment.start_nodes()
        crowd = Crowd(deployment, seed)
        watch = VersionWatch(deployment)
        troubles = Troubles(deployment, seed)
        crowd.start()
        watch.start()
        try:
            troubles.run(for_s)
        finally:
            got = crowd.stop()
        faults = [*_not_recovered(deployment, crowd), *watch.stop()]
        faults += _broken_promises(deployment, got)
        faults += _ended_by_themselves(deployment)
    counts = Counter(f"{item.kind} {item.code or 'whole'}" for item in got)
    return Outcome(troubles.done, counts, faults)


class VersionWatch:
    """Watches that no node goes back to an older configuration."""

    def __init__(self, deployment: Deployment) -> None:
        """Starts nothing."""
        self._deployment = deployment
        self._over = threading.Event()
        self._newest: dict[tuple[str, int], int] = {}
        self._faults: list[str] = []
        self._thread = threading.Thread(target=self._run)

    def start(self) -> None:
        """Begins to ask nodes."""
        self._thread.start()

    def stop(self) -> list[str]:
        """Returns what went back."""
        self._over.set()
        self._thread.join()
        return self._faults

    def _run(self) -> None:
        while not self._over.wait(POLL_S):
            for vm, node in self._deployment.nodes.items():
                try:
                    url = f"{node.operator_url}/status"
                    status = answers.request("GET", url, timeout_s=0.3).json()
                except urllib3.exceptions.HTTPError:
                    continue
                self._judge(vm, status)

    def _judge(self, vm: str, status: dict[str, int]) -> None:
        key = vm, status["incarnation"]
        version = status["configuration_version"] or 0
        newest = self._newest.get(key, 0)
        if version < newest:
            self._faults.append(f"{vm} went back from {newest} to {version}")
        self._newest[key] = max(newest, version)


def _not_recovered(deployment: Deployment, crowd: Crowd) -> Iterator[str]:
    """Yields what doesn't work though every fault has ended."""
    until_s = time.monotonic() + RECOVERY_S
    for vm, node in deployment.nodes.items():
        while not node.is_ready():
            if time.monotonic() > until_s:
                yield f"{vm} is not ready again: {node.process.log_tail()}"
                return
            time.sleep(POLL_S)
    missing = crowd.ask_each()
    while missing and time.monotonic() < until_s:
        missing = [got for got in crowd.ask_each() if got.ending is not None]
    for got in missing:
        if got.ending is not None:
            yield f"after the faults a {got.kind} ended with {got.code}"


def _broken_promises(deployment: Deployment, got: list[Got]) -> Iterator[str]:
    """Compares what callers were told with the servers' own records."""
    runs: Counter[str] = Counter()
    for instance in deployment.instances.values():
        runs.update(instance.seen()["runs_by_id"])
    for item in got:
        if item.fault:
            yield f"{item.kind}: {item.fault}"
        if item.kind == "POST" and runs[item.request_id] > 1:
            yield f"{item.request_id} ran {runs[item.request_id]} times"
        is_said_not_run = item.ending is Ending.NOT_RUN
        if item.request_id and is_said_not_run and runs[item.request_id]:
            yield f"{item.request_id} ran though {item.code} says it did not"


def _ended_by_themselves(deployment: Deployment) -> Iterator[str]:
    for vm, node in deployment.nodes.items():
        if not node.process.is_running:
            yield f"{vm} ended by itself: {node.process.log_tail()}"
        for line in node.process.log_path.read_text().splitlines():
            if line.startswith("Traceback"):
                yield f"{vm} has a traceback outside its log"
            if line.startswith("{") and _event(line) in OWN_FAULTS:
                yield f"{vm}: {line[:500]}"


def _event(line: str) -> str:
    try:
        return str(json.loads(line).get("event"))
    except ValueError:
        return ""  # the process was killed while it wrote the line
