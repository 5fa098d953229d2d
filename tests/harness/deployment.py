"""A whole deployment as processes on loopback."""

import asyncio
import contextlib
import pathlib
import subprocess
import sys
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from savorylift.platform.store import StoreClient
from savorylift.rules import publication
from savorylift.wire.address import split_address
from tests.harness.link import Link, Relay
from tests.harness.node import Node, NodePlace, Ports, node_settings
from tests.harness.plans import Plan
from tests.harness.ports import free_addresses
from tests.harness.process import ROOT
from tests.harness.rules_text import (
    INSTANCE_COLD,
    RUNNER_COLD,
    RUNNER_KV_TOKENS,
    RUNNER_WARM,
    rules_text,
)
from tests.harness.standin import Kind, StandIn

READY_TIMEOUT_S = 20.0
COMMAND_TIMEOUT_S = 30.0
# Every node has an address of its own on loopback, with the same ports.
NODE_NETWORK = "127.0.0"
FIRST_HOST = 10
SEEDS = 3


class Options(NamedTuple):
    """What a deployment has besides its plan.

    Attributes:
        relayed: True puts a link before the store for each node, and before
            each backend server.
        node_changes: Settings keys to replace on every node.
        engine: Settings of every engine besides its capacity.
        service: Settings of every service instance besides its capacity.
    """

    relayed: bool = False
    node_changes: Mapping[str, object] = {}
    engine: Mapping[str, object] = {}
    service: Mapping[str, object] = {}


NO_OPTIONS = Options()


class Deployment:
    """Stand-ins and nodes of one plan; a context manager.

    Attributes:
        plan: What runs.
        directory: Settings, rules and logs of the processes.
        store: The platform's store.
        runners: Engines by VM name.
        instances: Service instances by VM name.
        nodes: Nodes by VM name; `start_nodes` starts them.
        links: With `relayed`, links by backend server's name and
            `NODE>store`.
        rules_path: The rules file.
    """

    def __init__(
        self,
        plan: Plan,
        directory: pathlib.Path,
        options: Options = NO_OPTIONS,
    ) -> None:
        """Describes a deployment; nothing runs before `start`."""
        self.plan = plan
        self.directory = directory
        self.rules_path = directory / "rules.txt"
        self.store = StandIn(Kind.STORE, directory)
        self.runners = {
            name: StandIn(Kind.ENGINE, directory, name, self._engine(options))
            for name in plan.runner_names()
        }
        self.instances = {
            name: StandIn(
                Kind.PLAIN_SERVICE,
                directory,
                name,
                {"cold_limit": INSTANCE_COLD, **options.service},
            )
            for name in plan.instance_names()
        }
        self.nodes: dict[str, Node] = {}
        self.links: dict[str, Link] = {}
        self._options = options
        self._stack = contextlib.ExitStack()

    def __enter__(self) -> "Deployment":
        """Starts the stand-ins and returns itself."""
        try:
            self.start()
        except BaseException:
            self._stack.close()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        """Ends every process."""
        self._stack.close()

    @property
    def backend_servers(self) -> dict[str, StandIn]:
        """Engines and service instances by VM name."""
        return {**self.runners, **self.instances}

    def start(self) -> None:
        """Starts the stand-ins and writes rules and settings files."""
        servers = self.backend_servers
        standins = (self.store, *servers.values())
        for standin in standins:
            self._stack.callback(standin.stop)
            standin.launch()
        for standin in standins:
            standin.wait_ready()
        relay = self._stack.enter_context(Relay())
        addresses = {
            name: self._through(relay, name, standin.address)
            for name, standin in servers.items()
        }
        self.rules_path.write_text(rules_text(self.plan, addresses))
        self._describe_nodes(relay)

    def put_first_rules(self) -> None:
        """Puts the rules file into the store as its first version."""
        text = self.rules_path.read_text()
        store = StoreClient(split_address(self.store.address))
        asyncio.run(publication.publish(store, text, "harness", None))

    def start_nodes(
        self,
        names: Iterable[str] = (),
        timeout_s: float = READY_TIMEOUT_S,
    ) -> None:
        """Starts nodes, all if none is named, and waits until ready."""
        nodes = [self.nodes[name] for name in names or self.nodes]
        for node in nodes:
            node.start()
        for node in nodes:
            node.wait_ready(timeout_s)

    def command(self, *arguments: str) -> "subprocess.CompletedProcess[str]":
        """Runs `savorylift ARGUMENTS` to its end."""
        return subprocess.run(
            [sys.executable, "-m", "savorylift", *arguments],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=COMMAND_TIMEOUT_S,
            check=False,
        )

    def _describe_nodes(self, relay: Relay) -> None:
        numbered = enumerate(self.plan.node_names(), start=1)
        hosts = {
            name: f"{NODE_NETWORK}.{FIRST_HOST + number}"
            for number, name in numbered
        }
        # Other deployments' nodes have these addresses as well.
        on = ("127.0.0.1", *hosts.values())
        free = free_addresses(len(Ports._fields), on)
        ports = Ports(*(split_address(address)[1] for address in free))
        places = [
            NodePlace(
                name,
                self.plan.region,
                self.plan.domain_of(number),
                hosts[name],
                ports,
            )
            for number, name in enumerate(self.plan.node_names(), start=1)
        ]
        seeds = [place.address(ports.peer) for place in places[:SEEDS]]
        for place in places:
            store = self._through(
                relay, f"{place.vm}>store", self.store.address
            )
            changes = self._options.node_changes
            settings = node_settings(place, store, seeds, changes)
            node = Node(place, settings, self.directory)
            self._stack.callback(node.process.kill)
            self.nodes[place.vm] = node

    def _through(self, relay: Relay, name: str, address: str) -> str:
        if not self._options.relayed:
            return address
        self.links[name] = relay.link(address)
        return self.links[name].address

    def _engine(self, options: Options) -> dict[str, object]:
        return {
            "model": self.plan.model,
            "version": self.plan.version,
            "cold_limit": RUNNER_COLD,
            "max_running": RUNNER_WARM,
            "kv_tokens": RUNNER_KV_TOKENS,
            **options.engine,
        }
