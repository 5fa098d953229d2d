"""One deployment under load while things go wrong."""

import concurrent.futures
import itertools
import pathlib
import threading
import time
from collections.abc import Callable

from savorylift.client import Client, ClientOptions
from tests.demo.callers import Got, Prompt, ask_whole, call, read_stream
from tests.harness import answers
from tests.harness.deployment import Deployment, Options
from tests.harness.plans import Plan, TeamPlan

CALLERS = 12
READY_S = 10.0
LOAD_S = 9.0
OUT_AFTER_S = 1.5
KILL_AFTER_S = 3.5
BACK_AFTER_S = 6.5
ORDER_BOUND_S = 3.0  # no new work this long after an order's acceptance
CALLER_TIMEOUT_S = 20.0
ENGINE = {"interval_s": 0.01, "first_token_s": 0.02}


class Scene:
    """Runs callers against one deployment with a domain out and a kill."""

    def __init__(self, plan: Plan, directory: pathlib.Path) -> None:
        """Prepares the deployment; `run` starts it."""
        self._plan = plan
        self._directory = directory
        self._numbers = itertools.count(1)
        self._until_s = 0.0
        self.faults: list[str] = []

    def run(self, say: Callable[[str], None]) -> list[Got]:
        """Returns what every caller got; `faults` holds what went wrong."""
        options = Options(engine=ENGINE)
        with Deployment(self._plan, self._directory, options) as deployment:
            for node in deployment.nodes.values():
                node.start()
            self._publish(deployment, say)
            for node in deployment.nodes.values():
                node.wait_ready(READY_S)
            got = self._load(deployment, say)
            self._check_servers(deployment, got)
        return got

    def _publish(
        self, deployment: Deployment, say: Callable[[str], None]
    ) -> None:
        path = str(deployment.rules_path)
        self._command(deployment, say, "rules", "publish", path)

    def _command(
        self,
        deployment: Deployment,
        say: Callable[[str], None],
        *arguments: str,
    ) -> None:
        settings = self._directory / f"{self._plan.node_names()[-1]}.json"
        ran = deployment.command(
            *arguments, "--settings", str(settings), "--author", "demo"
        )
        for line in ran.stdout.splitlines()[-2:]:
            say(f"    {line}")
        # 3 says that a node has not confirmed: one of them is dead.
        if ran.returncode not in (0, 3):
            self.faults.append(f"{' '.join(arguments[:2])}: {ran.stderr}")

    def _load(
        self, deployment: Deployment, say: Callable[[str], None]
    ) -> list[Got]:
        """Runs the callers, and the faults beside them."""
        self._until_s = time.monotonic() + LOAD_S
        with concurrent.futures.ThreadPoolExecutor(CALLERS + 1) as pool:
            faults = pool.submit(self._break_things, deployment, say)
            callers = [
                pool.submit(self._caller, deployment, team, number)
                for number, team in zip(
                    range(CALLERS),
                    itertools.cycle(self._plan.teams),
                    strict=False,
                )
            ]
            faults.result()
            return [got for caller in callers for got in caller.result()]

    def _break_things(
        self, deployment: Deployment, say: Callable[[str], None]
    ) -> None:
        began_s = time.monotonic()
        domain = self._plan.failure_domains[0]
        wait = threading.Event().wait
        wait(OUT_AFTER_S)
        say(f"  failure domain {domain} is taken out")
        cause = ("--cause", "demonstration")
        self._command(deployment, say, "domain", "out", domain, *cause)
        out_at = time.time()
        wait(max(0.0, began_s + KILL_AFTER_S - time.monotonic()))
        victim = self._busiest_node(deployment)
        say(f"  node {victim} is killed in mid-stream")
        deployment.nodes[victim].process.kill()
        wait(max(0.0, began_s + BACK_AFTER_S - time.monotonic()))
        back_at = time.time()
        say(f"  failure domain {domain} is brought back")
        self._command(deployment, say, "domain", "back", domain, *cause)
        self._check_domain(deployment, domain, out_at, back_at)

    def _busiest_node(self, deployment: Deployment) -> str:
        """Returns the node with most requests, but for the commands' one."""
        in_flight = {
            name: answers.request("GET", f"{node.operator_url}/status").json()[
                "open_requests"
            ]
            for name, node in list(deployment.nodes.items())[:-1]
        }
        return max(in_flight, key=in_flight.__getitem__)

    def _check_domain(
        self, deployment: Deployment, domain: str, out_at: float, back_at: float
    ) -> None:
        """Notes work that came to a failure domain while it was out."""
        for number, name in enumerate(self._plan.runner_names(), start=1):
            if self._plan.domain_of(number) != domain:
                continue
            dispatches = deployment.runners[name].seen()["dispatches"]
            late = [
                item
                for item in dispatches
                if out_at + ORDER_BOUND_S < item["time"] < back_at
            ]
            if late:
                self.faults.append(f"{name} got {len(late)} while out")

    def _caller(
        self, deployment: Deployment, team: TeamPlan, number: int
    ) -> list[Got]:
        seeds = tuple(node.caller_url for node in deployment.nodes.values())
        client = Client(ClientOptions(seeds, team.name, CALLER_TIMEOUT_S))
        got: list[Got] = []
        kinds = itertools.cycle(range(4))
        for kind in itertools.islice(kinds, number % 4, None):
            if time.monotonic() >= self._until_s:
                return got
            got.append(self._request(client, team.name, kind))
        return got

    def _request(self, client: Client, team: str, kind: int) -> Got:
        number = next(self._numbers)
        plan = self._plan
        length = (40, 200, 90, 400)[number % 4]
        prompt = Prompt(
            f"report {number} len={length}", number, plan.model, plan.version
        )
        if kind == 0:
            return read_stream(client, team, prompt)
        if kind == 1:
            return ask_whole(client, team, prompt)
        method = "GET" if kind == 2 else "POST"
        return call(client, team, plan.service, method, number)

    def _check_servers(self, deployment: Deployment, got: list[Got]) -> None:
        """Compares what callers got with the servers' own records."""
        runs: dict[str, int] = {}
        for name, instance in deployment.instances.items():
            seen = instance.seen()
            for key, count in seen["runs_by_key"].items():
                runs[key] = runs.get(key, 0) + count
            self._check_cold(name, seen)
        for name, runner in deployment.runners.items():
            self._check_cold(name, runner.seen())
        self.faults += [
            f"key {k} ran {n} times" for k, n in runs.items() if n > 1
        ]
        self.faults += [
            f"key {item.key} was answered but did not run"
            for item in got
            if item.key and item.outcome == "whole" and not runs.get(item.key)
        ]
        self.faults += [item.fault for item in got if item.fault]
        self.faults += [
            f"{item.kind} of {item.team} ended with {item.outcome}"
            for item in got
            if item.outcome not in ("whole", "unknown")
        ]

    def _check_cold(self, name: str, seen: dict[str, object]) -> None:
        if seen["overruns"]:
            self.faults.append(f"{name} was overrun while cold")
