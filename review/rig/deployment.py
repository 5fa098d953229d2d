"""A small deployment: nodes as the deploy file starts them, and their store."""

import asyncio
import json
import os
import pathlib
import re
import signal
import subprocess
import sys
import tempfile
import time

from tests.harness.ports import free_addresses
from tests.standins.platform_store import PlatformStore

from review.rig import http
from review.rig.record import Record
from review.rig.server import Server

ROOT = pathlib.Path(__file__).parents[2]
TEMPLATE = ROOT / "deploy" / "settings.json"
PLACEHOLDER = re.compile(r"\{\{([\w.]+)\|json\}\}")
# The command of the deploy file, `deploy/system.toml`.
COMMAND = ("python3", "-m", "savorylift.front")
START_TIMEOUT_S = 15.0
# A process that has ended is started again after this delay.
RESTART_DELAY_S = 1.0
STOP_TIMEOUT_S = 2.0
OPERATORS = "keyed.op"
SERVERS = "keyed.servers"
HEARTBEAT_S = 1.2


class Node:
    """A node's process."""

    def __init__(self, ip: str, settings: pathlib.Path, record: Record) -> None:
        """Creates a node whose process does not run yet."""
        self.ip = ip
        self._settings = settings
        self._record = record
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """ID of its process."""
        assert self._process is not None
        return self._process.pid

    @property
    def log(self) -> pathlib.Path:
        """Output of its processes."""
        return self._settings.with_suffix(".log")

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        env = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with self.log.open("ab") as log:
            self._process = subprocess.Popen(
                [*COMMAND, str(self._settings)],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._record.add("node_started", node=self.ip, pid=self.pid)

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process, if it runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)
            self._record.add("signal", node=self.ip, number=number.name)

    def is_running(self) -> bool:
        """Whether its process runs."""
        return self._process is not None and self._process.poll() is None

    def kill(self) -> None:
        """Kills the process and waits for its end."""
        self.send(signal.SIGKILL)
        if self._process is not None:
            self._process.wait(STOP_TIMEOUT_S)


class Deployment:
    """Nodes, the platform's store, and the servers that a script adds.

    Attributes:
        record: What happened.
        nodes: The nodes.
        servers: The backend servers.
    """

    def __init__(
        self, nodes: int, zones: int, record: Record, bounds: dict[str, float]
    ) -> None:
        """Chooses addresses on loopback; starts nothing.

        Args:
            nodes: Number of nodes.
            zones: Number of zones, over which the nodes are spread.
            record: Where to write what happens.
            bounds: Bounds of the site, for the nodes' settings.
        """
        self.record = record
        self._folder = tempfile.TemporaryDirectory()
        # Scripts that run at the same time use other addresses.
        self._network = f"127.{32 + os.getpid() % 180}"
        ips = [f"{self._network}.0.{n + 1}" for n in range(nodes)]
        hosts = ["127.0.0.1", *ips]
        self._ports = [
            int(address.rpartition(":")[2])
            for address in free_addresses(6, hosts)
        ]
        self._store = PlatformStore()
        self._bounds = bounds
        self._zones = [f"z{n}" for n in range(zones)]
        self.nodes = [self._make_node(n, ip, ips) for n, ip in enumerate(ips)]
        self.servers: list[Server] = []
        # State of each registered server, which it repeats.
        self._states: dict[str, str] = {}
        self._heartbeats: asyncio.Task[None] | None = None

    def make_server(self, server_id: str, service: str, zone: int) -> Server:
        """Creates a server, which neither listens nor is registered yet."""
        number = len(self.servers)
        ip = f"{self._network}.1.{number + 1}"
        (address,) = free_addresses(1, [ip])
        server = Server(server_id, service, address, self.record)
        server.zone = self._zones[zone]
        self.servers.append(server)
        return server

    def register(self, server: Server, state: str = "ready") -> None:
        """Writes a server's entry to the store, which acknowledges it."""
        self._states[server.server_id] = state
        self._store.add(SERVERS, server.server_id, server.entry(state))
        self.record.add("entry", server=server.server_id, state=state)

    def unregister(self, server: Server) -> None:
        """Removes a server's entry from the store."""
        self._states.pop(server.server_id, None)
        self._store.add(SERVERS, server.server_id, None)
        self.record.add("entry_removed", server=server.server_id)

    def configure(self, configuration: dict[str, object]) -> None:
        """Writes a configuration, as the operator does."""
        self._store.add(OPERATORS, "config", configuration)

    def address(self, node: Node) -> str:
        """Address of a node for clients."""
        return f"{node.ip}:{self._ports[1]}"

    def peer_address(self, node: Node) -> str:
        """Address of a node for other nodes."""
        return f"{node.ip}:{self._ports[4]}"

    async def start(self) -> None:
        """Starts the store and all nodes, and waits until they are ready."""
        await self._store.start(self._ports[0])
        self._heartbeats = asyncio.create_task(self._repeat_entries())
        for node in self.nodes:
            node.start()
        for node in self.nodes:
            await self.wait_until_ready(node)

    async def _repeat_entries(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for server in self.servers:
                state = self._states.get(server.server_id)
                if state is not None:
                    entry = server.entry(state)
                    self._store.add(SERVERS, server.server_id, entry)

    async def wait_until_ready(self, node: Node) -> None:
        """Waits until a node answers 200 to the platform."""
        until_s = time.monotonic() + START_TIMEOUT_S
        while not await self.is_ready(node):
            if time.monotonic() > until_s:
                raise TimeoutError(f"{node.ip} is not ready: {node.log}")
            await asyncio.sleep(0.05)
        self.record.add("node_ready", node=node.ip)

    async def is_ready(self, node: Node) -> bool:
        """Asks a node for its readiness, as the platform does."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await http.connect(
                    f"{node.ip}:{self._ports[3]}"
                )
                head = {"Host": node.ip}
                writer.write(
                    http.encode_request("GET", "/readiness", head, b"")
                )
                answer = await http.read_head(reader)
                writer.close()
        except (http.BrokenError, OSError):
            return False
        return answer.status == 200

    def stop(self) -> None:
        """Ends all processes and servers."""
        for node in self.nodes:
            node.kill()
        for server in self.servers:
            server.end()
        self._folder.cleanup()

    def _make_node(self, number: int, ip: str, ips: list[str]) -> Node:
        store, caller, directory, ready, peer, control = self._ports
        fields = {
            "node": f"front-{number}",
            "zone": self._zones[number % len(self._zones)],
            "region": "r",
            "zones": dict.fromkeys(self._zones, "r"),
            "listen": {
                "front": f"{ip}:{caller}",
                "ready": f"{ip}:{ready}",
                "directory": f"{ip}:{directory}",
                "control": f"{ip}:{control}",
            },
            "internalPorts": [peer],
            "seeds": [f"{seed}:{control}" for seed in ips[:3]],
            "platform": {"address": f"127.0.0.1:{store}"},
            "bounds": self._bounds,
        }
        path = pathlib.Path(self._folder.name) / f"{number}.json"
        text = TEMPLATE.read_text(encoding="utf-8")
        path.write_text(
            PLACEHOLDER.sub(lambda m: _render(m.group(1), fields), text),
            encoding="utf-8",
        )
        return Node(ip, path, self.record)


def _render(name: str, fields: dict[str, object]) -> str:
    value: object = fields
    for part in name.split("."):
        if isinstance(value, list):
            value = value[int(part)]
        elif isinstance(value, dict):
            value = value[part]
    return json.dumps(value)


def is_trouble() -> bool:
    """Whether the script causes the disruption (not with `TROUBLE=0`)."""
    return os.environ.get("TROUBLE") != "0"


def run(case: object) -> int:
    """Runs a case, given as a coroutine; returns the exit code.

    1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
    """
    try:
        return asyncio.run(case)  # type: ignore[arg-type]
    except Exception as exc:
        print(f"could not run: {type(exc).__name__}: {exc}", file=sys.stderr)
        return 2
