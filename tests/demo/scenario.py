"""Demo scenario: a deployment under load with injected faults."""

import concurrent.futures
import itertools
import pathlib
import random
import threading
import time
from collections.abc import Callable
from typing import NamedTuple

from savorylift.client import Client, ClientOptions
from savorylift.exchange.wish import (
    DEFAULT_OBJECTIVE_S,
    QUEUE_WAIT_FACTOR,
)
from tests.demo.callers import (
    Prompt,
    RequestResult,
    call_service,
    request_completion,
    request_stream,
)
from tests.harness import http_client
from tests.harness.deployment import Deployment, DeploymentOptions
from tests.harness.plans import Plan, TeamPlan

CALLER_COUNT = 12
READY_TIMEOUT_S = 10.0
LOAD_DURATION_S = 9.0
# Times of the faults after the start of the load, each drawn between two.
DOMAIN_OUT_AFTER_S = (1.0, 2.0)
NODE_KILL_AFTER_S = (3.2, 4.2)
DOMAIN_BACK_AFTER_S = (6.0, 7.0)
# Within this time after a failure domain was taken out of service, its servers
# must stop getting new requests.
DOMAIN_DRAIN_TIMEOUT_S = 3.0
OUTPUT_LENGTHS = (40, 90, 200, 400)  # tokens
TOKEN_INTERVAL_S = 0.01
FIRST_TOKEN_S = 0.02
COLD_FACTOR = 4.0
ENGINE_SETTINGS = {
    "interval_s": TOKEN_INTERVAL_S,
    "first_token_s": FIRST_TOKEN_S,
    "cold_factor": COLD_FACTOR,
}
GENERATION_S = (
    max(OUTPUT_LENGTHS) * TOKEN_INTERVAL_S + FIRST_TOKEN_S * COLD_FACTOR
)
# A generation is queued at the node that its caller comes to first, and at one
# other that has room.
START_WAIT_S = 2 * QUEUE_WAIT_FACTOR * DEFAULT_OBJECTIVE_S
# From the loss of a stream's node to the first new event, besides the time in
# which the tokens that the caller has are made again.
TAKE_UP_S = 3.0
# The killed node's generations are made twice.
CALLER_TIMEOUT_S = START_WAIT_S + 2 * GENERATION_S + TAKE_UP_S


class FaultTimes(NamedTuple):
    """Times of the faults after the start of the load, in seconds."""

    domain_out_s: float
    node_kill_s: float
    domain_back_s: float


class FaultScenario:
    """Runs callers while a failure domain is out and a node is killed.

    Attributes:
        failures: Failed checks, for printing.
    """

    def __init__(self, plan: Plan, directory: pathlib.Path, seed: int) -> None:
        """Prepares the scenario; `run` starts the deployment.

        Args:
            plan: Plan of the deployment.
            directory: Directory of its files.
            seed: Seed of the failure domain that is taken out of service, of
                the times of the faults and of the lengths of the outputs.
        """
        self._plan = plan
        self._directory = directory
        self._seed = seed
        rng = random.Random(f"{plan.name} {seed}")
        self._domain = rng.choice(plan.failure_domains)
        self._times = FaultTimes(
            rng.uniform(*DOMAIN_OUT_AFTER_S),
            rng.uniform(*NODE_KILL_AFTER_S),
            rng.uniform(*DOMAIN_BACK_AFTER_S),
        )
        self._request_numbers = itertools.count(1)
        self._load_end_s = 0.0
        self.failures: list[str] = []

    def run(self, log: Callable[[str], None]) -> list[RequestResult]:
        """Runs the scenario and the checks; returns each request's result."""
        options = DeploymentOptions(engine_settings=ENGINE_SETTINGS)
        with Deployment(self._plan, self._directory, options) as deployment:
            for node in deployment.nodes.values():
                node.start()
            self._publish_rules(deployment, log)
            for node in deployment.nodes.values():
                node.wait_ready(READY_TIMEOUT_S)
            results = self._run_load(deployment, log)
            self._check_server_records(deployment, results)
        return results

    def _publish_rules(
        self, deployment: Deployment, log: Callable[[str], None]
    ) -> None:
        path = str(deployment.rules_path)
        self._run_command(deployment, log, "rules", "publish", path)

    def _run_command(
        self,
        deployment: Deployment,
        log: Callable[[str], None],
        *arguments: str,
    ) -> None:
        settings = self._directory / f"{self._plan.node_names()[-1]}.json"
        completed = deployment.run_command(
            *arguments, "--settings", str(settings), "--author", "demo"
        )
        for line in completed.stdout.splitlines()[-2:]:
            log(f"    {line}")
        # Exit code 3: a node has not confirmed the change. This is expected, as
        # one node is killed.
        if completed.returncode not in (0, 3):
            self.failures.append(
                f"{' '.join(arguments[:2])}: {completed.stderr}"
            )

    def _run_load(
        self, deployment: Deployment, log: Callable[[str], None]
    ) -> list[RequestResult]:
        """Runs the callers and, concurrently, the fault injection."""
        self._load_end_s = time.monotonic() + LOAD_DURATION_S
        with concurrent.futures.ThreadPoolExecutor(CALLER_COUNT + 1) as pool:
            injection = pool.submit(self._inject_faults, deployment, log)
            callers = [
                pool.submit(self._run_caller, deployment, team, number)
                for number, team in zip(
                    range(CALLER_COUNT),
                    itertools.cycle(self._plan.teams),
                    strict=False,
                )
            ]
            injection.result()
            return [result for caller in callers for result in caller.result()]

    def _inject_faults(
        self, deployment: Deployment, log: Callable[[str], None]
    ) -> None:
        started_s = time.monotonic()
        domain, times = self._domain, self._times
        wait = threading.Event().wait
        wait(times.domain_out_s)
        log(f"  taking failure domain {domain} out of service")
        cause = ("--cause", "demonstration")
        self._run_command(deployment, log, "domain", "out", domain, *cause)
        out_at_s = time.time()
        wait(max(0.0, started_s + times.node_kill_s - time.monotonic()))
        node_name = self._busiest_node(deployment)
        log(f"  killing node {node_name} with streams in flight")
        deployment.nodes[node_name].process.kill()
        wait(max(0.0, started_s + times.domain_back_s - time.monotonic()))
        back_at_s = time.time()
        log(f"  putting failure domain {domain} back into service")
        self._run_command(deployment, log, "domain", "back", domain, *cause)
        self._check_domain_drained(deployment, domain, out_at_s, back_at_s)

    def _busiest_node(self, deployment: Deployment) -> str:
        """Returns the node with the most open requests.

        The last node is left out, because the operator commands use its
        settings.
        """
        in_flight = {
            name: http_client.request(
                "GET", f"{node.operator_url}/status"
            ).json()["open_requests"]
            for name, node in list(deployment.nodes.items())[:-1]
        }
        return max(in_flight, key=in_flight.__getitem__)

    def _check_domain_drained(
        self,
        deployment: Deployment,
        domain: str,
        out_at_s: float,
        back_at_s: float,
    ) -> None:
        """Checks that a failure domain got no requests while out of service."""
        for number, name in enumerate(self._plan.runner_names(), start=1):
            if self._plan.domain_of(number) != domain:
                continue
            dispatches = deployment.runners[name].fetch_record()["dispatches"]
            late = [
                item
                for item in dispatches
                if out_at_s + DOMAIN_DRAIN_TIMEOUT_S < item["time"] < back_at_s
            ]
            if late:
                self.failures.append(
                    f"{name} got {len(late)} requests while out of service"
                )

    def _run_caller(
        self, deployment: Deployment, team: TeamPlan, number: int
    ) -> list[RequestResult]:
        seeds = tuple(node.caller_url for node in deployment.nodes.values())
        client = Client(ClientOptions(seeds, team.name, CALLER_TIMEOUT_S))
        results: list[RequestResult] = []
        kinds = itertools.cycle(range(4))
        for kind in itertools.islice(kinds, number % 4, None):
            if time.monotonic() >= self._load_end_s:
                return results
            results.append(self._send_request(client, team.name, kind))
        return results

    def _send_request(
        self, client: Client, team: str, kind: int
    ) -> RequestResult:
        number = next(self._request_numbers)
        plan = self._plan
        rng = random.Random(f"{plan.name} {self._seed} {number}")
        length = rng.choice(OUTPUT_LENGTHS)
        prompt = Prompt(
            f"report {number} len={length}", number, plan.model, plan.version
        )
        if kind == 0:
            return request_stream(client, team, prompt)
        if kind == 1:
            return request_completion(client, team, prompt)
        method = "GET" if kind == 2 else "POST"
        return call_service(client, team, plan.service, method, number)

    def _check_server_records(
        self, deployment: Deployment, results: list[RequestResult]
    ) -> None:
        """Compares the callers' results with the servers' records."""
        runs: dict[str, int] = {}
        for name, instance in deployment.instances.items():
            record = instance.fetch_record()
            for key, count in record["runs_by_key"].items():
                runs[key] = runs.get(key, 0) + count
            self._check_cold_limit(name, record)
        for name, runner in deployment.runners.items():
            self._check_cold_limit(name, runner.fetch_record())
        self.failures += [
            f"key {k} ran {n} times" for k, n in runs.items() if n > 1
        ]
        self.failures += [
            f"key {item.key} got a response but did not run"
            for item in results
            if item.key and item.outcome == "whole" and not runs.get(item.key)
        ]
        self.failures += [item.failure for item in results if item.failure]
        self.failures += [
            f"{item.kind} of {item.team} ended with {item.outcome}"
            for item in results
            if item.outcome not in ("whole", "unknown")
        ]

    def _check_cold_limit(self, name: str, record: dict[str, object]) -> None:
        if record["overruns"]:
            self.failures.append(f"{name} exceeded its cold limit")
