"""Scenario of the soak test: load and faults, then checks of guarantees."""

import json
import pathlib
import threading
import time
from collections import Counter
from collections.abc import Iterator
from typing import NamedTuple

import urllib3

from savorylift.outcomes import Ending
from tests.harness import http_client
from tests.harness.deployment import Deployment, DeploymentOptions
from tests.harness.plans import AJLOUN, Plan
from tests.soak.callers import LoadGenerator, RequestResult
from tests.soak.faults import FaultInjector, PlannedStop

PLAN = AJLOUN._replace(nodes=3, runners=3, instances=2)
ENGINE_SETTINGS = {
    "interval_s": 0.005,
    "first_token_s": 0.01,
    "starts_cold": False,
}
SERVICE_SETTINGS = {"starts_cold": False, "run_s": 0.005}
READY_TIMEOUT_S = 20.0
# Time after the end of all faults until every node must work again.
RECOVERY_TIMEOUT_S = 12.0
POLL_INTERVAL_S = 0.1
# Log events that a node writes only for errors in its own code.
INTERNAL_ERROR_EVENTS = frozenset({"task_failed"})
# Errors of connections that end without a whole answer.
CUT_OFF_CODES = frozenset({"ProtocolError", "IncompleteRead"})


class SeedResult(NamedTuple):
    """Result of one seed.

    Attributes:
        injected_faults: Descriptions of the faults that were injected.
        result_counts: Numbers of requests by kind and error code.
        violations: Violated guarantees; empty if all held.
    """

    injected_faults: list[str]
    result_counts: Counter[str]
    violations: list[str]


def run_seed(
    seed: int, directory: pathlib.Path, duration_s: float, plan: Plan = PLAN
) -> SeedResult:
    """Runs a deployment under load and faults, and checks its guarantees."""
    options = DeploymentOptions(
        is_relayed=True,
        engine_settings=ENGINE_SETTINGS,
        service_settings=SERVICE_SETTINGS,
    )
    with Deployment(plan, directory, options) as deployment:
        deployment.publish_initial_rules()
        deployment.start_nodes()
        load = LoadGenerator(deployment, seed)
        version_monitor = ConfigurationVersionMonitor(deployment)
        injector = FaultInjector(deployment, seed)
        load.start()
        version_monitor.start()
        try:
            injector.run(duration_s)
        finally:
            results = load.stop()
        violations = [
            *_recovery_violations(deployment, load),
            *version_monitor.stop(),
        ]
        violations += _request_violations(deployment, results)
        violations += _stop_violations(injector.planned_stops, results)
        violations += _node_violations(deployment)
    counts = Counter(f"{item.kind} {item.code or 'whole'}" for item in results)
    return SeedResult(injector.injected, counts, violations)


class ConfigurationVersionMonitor:
    """Checks that no node returns to an older configuration version."""

    def __init__(self, deployment: Deployment) -> None:
        """Creates a monitor; `start` starts its thread."""
        self._deployment = deployment
        self._stopped = threading.Event()
        self._newest: dict[tuple[str, int], int] = {}
        self._violations: list[str] = []
        self._thread = threading.Thread(target=self._run)

    def start(self) -> None:
        """Starts to poll the status of every node."""
        self._thread.start()

    def stop(self) -> list[str]:
        """Stops polling and returns the violations."""
        self._stopped.set()
        self._thread.join()
        return self._violations

    def _run(self) -> None:
        while not self._stopped.wait(POLL_INTERVAL_S):
            for vm, node in self._deployment.nodes.items():
                try:
                    url = f"{node.operator_url}/status"
                    status = http_client.request(
                        "GET", url, timeout_s=0.3
                    ).json()
                except urllib3.exceptions.HTTPError:
                    continue
                self._check(vm, status)

    def _check(self, vm: str, status: dict[str, int]) -> None:
        key = vm, status["incarnation"]
        version = status["configuration_version"] or 0
        newest = self._newest.get(key, 0)
        if version < newest:
            self._violations.append(
                f"{vm} went back from version {newest} to {version}"
            )
        self._newest[key] = max(newest, version)


def _recovery_violations(
    deployment: Deployment, load: LoadGenerator
) -> Iterator[str]:
    """Yields nodes and requests that still fail after the last fault."""
    deadline_s = time.monotonic() + RECOVERY_TIMEOUT_S
    for vm, node in deployment.nodes.items():
        while not node.is_ready():
            if time.monotonic() > deadline_s:
                yield f"{vm} did not recover: {node.process.log_tail()}"
                return
            time.sleep(POLL_INTERVAL_S)
    failed = load.send_one_of_each_kind()
    while failed and time.monotonic() < deadline_s:
        failed = [
            result
            for result in load.send_one_of_each_kind()
            if result.ending is not None
        ]
    for result in failed:
        if result.ending is not None:
            yield f"{result.kind} failed after the faults: {result.code}"


def _request_violations(
    deployment: Deployment, results: list[RequestResult]
) -> Iterator[str]:
    """Compares the results of callers with the records of the instances."""
    runs: Counter[str] = Counter()
    for instance in deployment.instances.values():
        runs.update(instance.fetch_record()["runs_by_id"])
    for item in results:
        if item.violation:
            yield f"{item.kind}: {item.violation}"
        if item.kind == "POST" and runs[item.request_id] > 1:
            yield f"{item.request_id} ran {runs[item.request_id]} times"
        is_reported_not_run = item.ending is Ending.NOT_RUN
        if item.request_id and is_reported_not_run and runs[item.request_id]:
            yield f"{item.request_id} ran, but {item.code} means not run"


def _stop_violations(
    stops: list[PlannedStop], results: list[RequestResult]
) -> Iterator[str]:
    """Yields calls that a node cut off while it was stopped on purpose."""
    for item in results:
        if item.code not in CUT_OFF_CODES:
            continue
        for stop in stops:
            is_then = stop.began_s <= item.sent_at_s <= stop.ended_s
            if item.vm == stop.vm and is_then:
                after_s = item.sent_at_s - stop.began_s
                yield (
                    f"{item.request_id} was cut off by {stop.vm}, sent"
                    f" {after_s:.3f} s after its SIGTERM: {item.code}"
                )


def _node_violations(deployment: Deployment) -> Iterator[str]:
    """Yields nodes that exited or reported an internal error."""
    for vm, node in deployment.nodes.items():
        if not node.process.is_running:
            yield f"{vm} exited unexpectedly: {node.process.log_tail()}"
        for line in node.process.log_path.read_text().splitlines():
            if line.startswith("Traceback"):
                yield f"{vm} printed a traceback outside its structured log"
            if (
                line.startswith("{")
                and _event_name(line) in INTERNAL_ERROR_EVENTS
            ):
                yield f"{vm}: {line[:500]}"


def _event_name(line: str) -> str:
    try:
        return str(json.loads(line).get("event"))
    except ValueError:
        return ""  # truncated line: the process was killed while writing it
