"""A whole deployment as processes on loopback."""

import contextlib
import pathlib
import subprocess
import sys
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from tests.harness.first_rules import append_first_rules
from tests.harness.link import Link, Relay
from tests.harness.node import Node
from tests.harness.node_settings import NodePlace, node_settings
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


class Options(NamedTuple):
    """What a deployment has besides its plan.

    Attributes:
        relayed: True puts a link before the log and the VM list for each
            node, and before each backend server.
        node_changes: Settings keys to replace on every node.
        engine: Settings of every engine besides its capacity.
        service: Settings of every service instance besides its capacity.
        log: Settings of the log service.
    """

    relayed: bool = False
    node_changes: Mapping[str, object] = {}
    engine: Mapping[str, object] = {}
    service: Mapping[str, object] = {}
    log: Mapping[str, object] = {}


NO_OPTIONS = Options()


class Deployment:
    """Stand-ins and nodes of one plan; a context manager.

    Attributes:
        plan: What runs.
        directory: Settings, rules and logs of the processes.
        log: The log service.
        vm_list: The list of VMs.
        runners: Engines by VM name.
        instances: Service instances by VM name.
        nodes: Nodes by VM name; `start_nodes` starts them.
        links: With `relayed`, links by backend server's name,
            `NODE>log` and `NODE>vms`.
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
        self.log = StandIn(Kind.LOG_SERVICE, directory, settings=options.log)
        self.vm_list = StandIn(Kind.VM_LIST, directory)
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
        self._vms: dict[str, dict[str, object]] = {}
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
        standins = (self.log, self.vm_list, *servers.values())
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
        for vm in (*servers, *self.nodes):
            self._vms[vm] = {"vm": vm, "incarnation": "1", "leaving": False}
        self._list_vms()

    def put_first_rules(self) -> None:
        """Puts the rules file on the log as its first version."""
        append_first_rules(self.log.url, self.rules_path.read_text())

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

    def set_leaving(self, vm: str, *, leaving: bool = True) -> None:
        """Announces a VM's end on the true list, or takes that back."""
        self._vms[vm]["leaving"] = leaving
        self._list_vms()

    def replace_vm(self, vm: str) -> None:
        """Lists a VM, also a removed one, with a new incarnation."""
        before = self._vms.get(vm, {"incarnation": "1"})
        incarnation = str(int(str(before["incarnation"])) + 1)
        self._vms[vm] = {
            "vm": vm,
            "incarnation": incarnation,
            "leaving": False,
        }
        self._list_vms()

    def remove_vm(self, vm: str) -> None:
        """Takes a VM off the true list."""
        del self._vms[vm]
        self._list_vms()

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
        names = self.plan.node_names()
        free = iter(free_addresses(3 * len(names)))
        places = [
            NodePlace(
                name,
                self.plan.domain_of(number),
                caller_address=next(free),
                peer_address=next(free),
                operator_address=next(free),
            )
            for number, name in enumerate(names, start=1)
        ]
        for place in places:
            self.nodes[place.vm] = self._node(place, places, relay)

    def _node(
        self, place: NodePlace, places: list[NodePlace], relay: Relay
    ) -> Node:
        name = place.vm
        log = self._through(relay, f"{name}>log", self.log.address)
        vms = self._through(relay, f"{name}>vms", self.vm_list.address)
        seeds = [other.peer_address for other in places if other != place]
        settings = node_settings(
            place,
            f"http://{log}",
            f"http://{vms}",
            seeds,
            self._options.node_changes,
        )
        node = Node(place, settings, self.directory)
        self._stack.callback(node.process.kill)
        return node

    def _through(self, relay: Relay, name: str, address: str) -> str:
        if not self._options.relayed:
            return address
        self.links[name] = relay.link(address)
        return self.links[name].address

    def _list_vms(self) -> None:
        self.vm_list.control(vms=list(self._vms.values()))

    def _engine(self, options: Options) -> dict[str, object]:
        return {
            "model": self.plan.model,
            "version": self.plan.version,
            "cold_limit": RUNNER_COLD,
            "max_running": RUNNER_WARM,
            "kv_tokens": RUNNER_KV_TOKENS,
            **options.engine,
        }
