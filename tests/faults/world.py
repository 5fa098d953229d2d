"""A small deployment with callers, to break and to heal."""

import contextlib
import json
import pathlib
import re
import subprocess
import threading
import time
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from savorylift.log_service.log import REFUSALS_STREAM, RULES_STREAM
from tests.faults.load import KINDS, WHOLE, Caller, Load, numbers
from tests.faults.watch import StatusWatch, status_of
from tests.harness.deployment import Deployment, Options
from tests.harness.link import Link, Relay
from tests.harness.plans import AJLOUN, Plan

PLAN = AJLOUN._replace(nodes=4, runners=3, instances=2)
ENGINE = {"interval_s": 0.01, "first_token_s": 0.1, "cold_grace_s": 1.0}
SERVICE = {"run_s": 0.05}
TIMING = {"entry_ttl_s": 0.5, "token_timeout_s": 1.0}
CALLERS = 5
CALLER_TIMEOUT_S = 6.0
PROBE_TEAM = "seed-bank"
HEALTHY_TIMEOUT_S = 20.0
POLL_S = 0.02
ACCEPTED = re.compile(r"accepted at offset (\d+)")


class Order(NamedTuple):
    """A target out of service, by wall-clock times.

    Attributes:
        servers: Backend servers that it closes.
        accepted_s: Time of its record on the log, or when it was applied.
        lifted_s: When it began to be taken back; infinite before.
    """

    servers: tuple[str, ...]
    accepted_s: float
    lifted_s: float


class ColdTurn(NamedTuple):
    """A backend server that turned cold, by wall-clock time."""

    server: str
    time_s: float


class World:
    """Nodes, stand-ins, callers and links; a context manager.

    Attributes:
        deployment: What runs.
        caller_links: Links before the nodes' caller addresses, by VM.
        watch: What nodes said of themselves.
        orders: What was out of service, and when.
        cold_turns: Backend servers that were made cold without warning.
        is_broken: True once a test has failed in it.
    """

    def __init__(
        self,
        directory: pathlib.Path,
        plan: Plan = PLAN,
        timing: dict[str, object] | None = None,
        engine: dict[str, object] | None = None,
    ) -> None:
        """Describes a world; nothing runs before it is entered."""
        changes = {"timing": {**TIMING, **(timing or {})}}
        self.plan = plan
        self.deployment = Deployment(
            plan,
            directory,
            Options(
                relayed=True,
                node_changes=changes,
                engine={**ENGINE, **(engine or {})},
                service=SERVICE,
            ),
        )
        self.caller_links: dict[str, Link] = {}
        self.orders: list[Order] = []
        self.cold_turns: list[ColdTurn] = []
        self.is_broken = False
        self.numbers = numbers()
        self._stack = contextlib.ExitStack()

    def __enter__(self) -> "World":
        """Starts everything and waits until it is healthy."""
        try:
            self._start()
        except BaseException:
            self._stack.close()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        """Ends every process."""
        self._stack.close()

    def _start(self) -> None:
        self._stack.enter_context(self.deployment)
        relay = self._stack.enter_context(Relay())
        nodes = self.deployment.nodes
        for vm, node in nodes.items():
            self.caller_links[vm] = relay.link(node.place.caller_address)
        self.deployment.put_first_rules()
        self.deployment.start_nodes()
        self.watch = StatusWatch(nodes)
        self.watch.start()
        self._stack.callback(self.watch.stop)
        self.wait_healthy()

    def caller(
        self,
        team: str,
        timeout_s: float = CALLER_TIMEOUT_S,
        first: str = "",
    ) -> Caller:
        """Returns a caller whose first seed is the node named `first`."""
        nodes = self.deployment.nodes
        order = sorted(nodes, key=lambda vm: (vm != first, vm))
        seeds = tuple(nodes[vm].caller_url for vm in order)
        links = {
            nodes[vm].place.caller_address: link.address
            for vm, link in self.caller_links.items()
        }
        return Caller(self.plan, team, seeds, links, timeout_s)

    def load(
        self,
        seed: int,
        callers: int = CALLERS,
        kinds: tuple[str, ...] = KINDS,
    ) -> Load:
        """Returns a load of several teams, not yet started."""
        teams = self.plan.teams[:callers]
        nodes = list(self.deployment.nodes)
        return Load(
            [
                self.caller(team.name, first=nodes[n % len(nodes)])
                for n, team in enumerate(teams)
            ],
            seed,
            self.numbers,
            kinds,
        )

    def node_at(self, address: str) -> str:
        """Returns the VM of the node with this address for callers."""
        for vm, node in self.deployment.nodes.items():
            if node.place.caller_address == address:
                return vm
        raise KeyError(address)

    def command(self, *arguments: str) -> "subprocess.CompletedProcess[str]":
        """Runs a command with the settings of the last node."""
        vm = list(self.deployment.nodes)[-1]
        settings = self.deployment.directory / f"{vm}.json"
        return self.deployment.command(*arguments, "--settings", str(settings))

    def order_out(self, domain: str) -> "subprocess.CompletedProcess[str]":
        """Takes a failure domain out of service and notes when."""
        ran = self.command(
            "domain", "out", domain, "--author", "test", "--cause", "fault"
        )
        found = ACCEPTED.search(ran.stdout)
        if found:
            self._note_order(domain, self._record_time_s(int(found[1])))
        elif "applied but not yet accepted" in ran.stdout:
            self._note_order(domain, time.time())
        return ran

    def order_back(self, domain: str) -> "subprocess.CompletedProcess[str]":
        """Brings a failure domain back."""
        self.orders = [
            order._replace(lifted_s=min(order.lifted_s, time.time()))
            for order in self.orders
        ]
        return self.command(
            "domain", "back", domain, "--author", "test", "--cause", "fault"
        )

    def servers_in(self, domain: str) -> tuple[str, ...]:
        """Returns the backend servers of a failure domain."""
        plan = self.plan
        return tuple(
            name
            for names in (plan.runner_names(), plan.instance_names())
            for number, name in enumerate(names, start=1)
            if plan.domain_of(number) == domain
        )

    def close_orders(self, closed_s: float) -> None:
        """Brings back what is out, `closed_s` after it went out at least."""
        open_orders = [
            order for order in self.orders if order.lifted_s == float("inf")
        ]
        for order in open_orders:
            left_s = order.accepted_s + closed_s - time.time()
            time.sleep(max(0.0, left_s))
        for domain in self._domains_of(open_orders):
            wait_for(
                lambda domain=domain: (
                    "accepted at"  # type: ignore[misc]
                    in self.order_back(domain).stdout
                ),
                HEALTHY_TIMEOUT_S,
                f"{domain} is back",
            )

    def _domains_of(self, orders: list[Order]) -> list[str]:
        closed = {order.servers for order in orders}
        domains = self.plan.failure_domains
        return [name for name in domains if self.servers_in(name) in closed]

    def note_leaving(self, server: str) -> None:
        """Notes that a backend server began to leave now."""
        self.orders.append(Order((server,), time.time(), float("inf")))

    def note_live(self, server: str) -> None:
        """Notes that a backend server takes work again."""
        self.orders = [
            order._replace(lifted_s=min(order.lifted_s, time.time()))
            if server in order.servers
            else order
            for order in self.orders
        ]

    def status(self, vm: str) -> dict[str, Any] | None:
        """Returns a node's status, or None."""
        return status_of(self.deployment.nodes[vm])

    def account(self, since_s: float) -> list[dict[str, Any]]:
        """Returns the lines of `savorylift refusals` since a time."""
        start = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(since_s))
        start += f".{int(since_s % 1 * 1000):03d}"
        ran = self.command("refusals", "--from", start, "--format", "json")
        assert ran.returncode == 0, ran.stderr
        lines: list[dict[str, Any]] = json.loads(ran.stdout)["refusals"]
        return lines

    def wait_account_still(self) -> None:
        """Waits until no refusal was appended for longer than a batch."""
        before, since_s = -1, time.monotonic()
        while time.monotonic() - since_s < 1.3:
            offsets = self.deployment.log.seen()["next_offsets"]
            now = offsets.get(REFUSALS_STREAM, 0)
            if now != before:
                before, since_s = now, time.monotonic()
            time.sleep(0.1)

    def wait_healthy(self) -> None:
        """Waits until all nodes are ready and requests are answered.

        Raises:
            TimeoutError: They aren't; tells which and why.
        """
        for vm, node in self.deployment.nodes.items():
            if not node.process.is_running:
                node.start()
            try:
                node.wait_ready(HEALTHY_TIMEOUT_S)
            except TimeoutError as exc:
                raise TimeoutError(f"{exc}\n{self.status(vm)}") from exc
        caller = self.caller(PROBE_TEAM, HEALTHY_TIMEOUT_S)
        number = next(self.numbers)
        for got in (
            caller.stream(number, 5),
            caller.call("GET", number),
        ):
            if got.outcome != WHOLE or got.fault:
                raise TimeoutError(f"not healthy: {got}")

    def _note_order(self, domain: str, accepted_s: float) -> None:
        self.orders.append(
            Order(self.servers_in(domain), accepted_s, float("inf"))
        )

    def _record_time_s(self, offset: int) -> float:
        records = self.deployment.log.seen(stream=RULES_STREAM)["records"]
        return float(records[offset]["time_ms"]) / 1000


def wait_for(
    condition: Callable[[], object], timeout_s: float, what: str
) -> None:
    """Waits until `condition` is true.

    Raises:
        TimeoutError: It isn't in time; says `what` was waited for.
    """
    deadline_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline_s:
            raise TimeoutError(f"not reached in {timeout_s} s: {what}")
        time.sleep(POLL_S)


@contextlib.contextmanager
def running(work: Callable[[], None]) -> Iterator[threading.Thread]:
    """Runs `work` on a thread and joins it at the end."""
    thread = threading.Thread(target=work)
    thread.start()
    try:
        yield thread
    finally:
        thread.join()
