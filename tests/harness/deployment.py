"""A complete deployment, run as processes on loopback."""

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
from tests.harness.node import Node, NodeLocation, Ports, node_settings
from tests.harness.plans import Plan
from tests.harness.ports import free_addresses
from tests.harness.process import REPOSITORY_ROOT
from tests.harness.rules_text import (
    INSTANCE_COLD_LIMIT,
    RUNNER_COLD_LIMIT,
    RUNNER_KV_TOKENS,
    RUNNER_WARM_LIMIT,
    rules_text,
)
from tests.harness.standin import StandIn, StandInKind

READY_TIMEOUT_S = 20.0
COMMAND_TIMEOUT_S = 30.0
# Each node has its own loopback address, NODE_NETWORK.(NODE_HOST_OFFSET +
# its number); the ports are the same on all nodes.
NODE_NETWORK = "127.0.0"
NODE_HOST_OFFSET = 10
SEED_NODE_COUNT = 3  # nodes that the settings list as seeds


class DeploymentOptions(NamedTuple):
    """Options of a deployment besides its plan.

    Attributes:
        is_relayed: Whether the connections of each node to the store, and those
            to each backend server, go through a link.
        node_overrides: Settings to replace or add on every node.
        engine_settings: Settings of every engine; they override the defaults.
        service_settings: Settings of every service instance; they override
            the defaults.
    """

    is_relayed: bool = False
    node_overrides: Mapping[str, object] = {}
    engine_settings: Mapping[str, object] = {}
    service_settings: Mapping[str, object] = {}


DEFAULT_OPTIONS = DeploymentOptions()


class Deployment:
    """Processes of the stand-ins and nodes of one plan; a context manager.

    Attributes:
        plan: Plan that the deployment runs.
        directory: Directory of the settings, rules and log files.
        store: Stand-in of the platform's store.
        runners: Stand-ins of the engines by VM name.
        instances: Stand-ins of the service instances by VM name.
        nodes: Nodes by VM name; `start_nodes` starts them.
        links: Links by name if `is_relayed` is set: the name of a backend
            server, or `NODE>store` for a node's connections to the store.
        rules_path: Path of the rules file.
    """

    def __init__(
        self,
        plan: Plan,
        directory: pathlib.Path,
        options: DeploymentOptions = DEFAULT_OPTIONS,
    ) -> None:
        """Creates a deployment; `start` and `start_nodes` run it."""
        self.plan = plan
        self.directory = directory
        self.rules_path = directory / "rules.txt"
        self.store = StandIn(StandInKind.STORE, directory)
        self.runners = {
            name: StandIn(
                StandInKind.ENGINE,
                directory,
                name,
                self._engine_settings(options),
            )
            for name in plan.runner_names()
        }
        self.instances = {
            name: StandIn(
                StandInKind.PLAIN_SERVICE,
                directory,
                name,
                {"cold_limit": INSTANCE_COLD_LIMIT, **options.service_settings},
            )
            for name in plan.instance_names()
        }
        self.nodes: dict[str, Node] = {}
        self.links: dict[str, Link] = {}
        self._options = options
        self._stack = contextlib.ExitStack()

    def __enter__(self) -> "Deployment":
        """Starts the stand-ins and returns the deployment."""
        try:
            self.start()
        except BaseException:
            self._stack.close()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        """Stops every process."""
        self._stack.close()

    @property
    def backend_servers(self) -> dict[str, StandIn]:
        """Stand-ins of the engines and service instances by VM name."""
        return {**self.runners, **self.instances}

    def start(self) -> None:
        """Starts the stand-ins and writes the rules and settings files."""
        servers = self.backend_servers
        standins = (self.store, *servers.values())
        for standin in standins:
            self._stack.callback(standin.stop)
            standin.launch()
        for standin in standins:
            standin.wait_ready()
        relay = self._stack.enter_context(Relay())
        addresses = {
            name: self._relayed_address(relay, name, standin.address)
            for name, standin in servers.items()
        }
        self.rules_path.write_text(rules_text(self.plan, addresses))
        self._create_nodes(relay)

    def publish_initial_rules(self) -> None:
        """Publishes the rules file to the store as the first version."""
        text = self.rules_path.read_text()
        store = StoreClient(split_address(self.store.address))
        asyncio.run(publication.publish(store, text, "harness", None))

    def start_nodes(
        self,
        names: Iterable[str] = (),
        timeout_s: float = READY_TIMEOUT_S,
    ) -> None:
        """Starts the named nodes, or all, and waits until they are ready."""
        nodes = [self.nodes[name] for name in names or self.nodes]
        for node in nodes:
            node.start()
        for node in nodes:
            node.wait_ready(timeout_s)

    def run_command(
        self, *arguments: str
    ) -> "subprocess.CompletedProcess[str]":
        """Runs `savorylift ARGUMENTS` and waits until it exits."""
        return subprocess.run(
            [sys.executable, "-m", "savorylift", *arguments],
            cwd=REPOSITORY_ROOT,
            capture_output=True,
            text=True,
            timeout=COMMAND_TIMEOUT_S,
            check=False,
        )

    def _create_nodes(self, relay: Relay) -> None:
        numbered = enumerate(self.plan.node_names(), start=1)
        hosts = {
            name: f"{NODE_NETWORK}.{NODE_HOST_OFFSET + number}"
            for number, name in numbered
        }
        # Nodes of other deployments on this machine use the same IP addresses,
        # so each port must be free on all of them.
        required_hosts = ("127.0.0.1", *hosts.values())
        port_addresses = free_addresses(len(Ports._fields), required_hosts)
        ports = Ports(
            *(split_address(address)[1] for address in port_addresses)
        )
        locations = [
            NodeLocation(
                name,
                self.plan.region,
                self.plan.domain_of(number),
                hosts[name],
                ports,
            )
            for number, name in enumerate(self.plan.node_names(), start=1)
        ]
        seeds = [
            location.address(ports.peer)
            for location in locations[:SEED_NODE_COUNT]
        ]
        for location in locations:
            store = self._relayed_address(
                relay, f"{location.vm}>store", self.store.address
            )
            overrides = self._options.node_overrides
            settings = node_settings(location, store, seeds, overrides)
            node = Node(location, settings, self.directory)
            self._stack.callback(node.process.kill)
            self.nodes[location.vm] = node

    def _relayed_address(self, relay: Relay, name: str, address: str) -> str:
        if not self._options.is_relayed:
            return address
        self.links[name] = relay.add_link(address)
        return self.links[name].address

    def _engine_settings(self, options: DeploymentOptions) -> dict[str, object]:
        return {
            "model": self.plan.model,
            "version": self.plan.version,
            "cold_limit": RUNNER_COLD_LIMIT,
            "max_running": RUNNER_WARM_LIMIT,
            "kv_tokens": RUNNER_KV_TOKENS,
            **options.engine_settings,
        }
