"""A fleet of front nodes in this process, with callers and backend servers."""

import asyncio
import contextlib
import os
import random
import time
from collections.abc import AsyncIterator
from typing import NamedTuple

from returns.result import Success

from savorylift.front.node import FrontNode
from savorylift.front.settings import FrontSettings
from savorylift.platform.store import OPERATORS_TOPIC, SERVERS_TOPIC
from savorylift.wire.client_call import BrokenAnswerError, ClientCall
from savorylift.wire.connecting import connect
from savorylift.wire.message import Headers
from tests.front.environment import configuration, end_other_tasks
from tests.front.node_settings import make_node_settings
from tests.harness.ports import free_addresses
from tests.standins.platform_server import PlatformServer
from tests.standins.platform_store import PlatformStore, Topic

# Test processes that run at the same time bind the same ports otherwise.
NETWORK = f"127.{16 + os.getpid() % 200}.0"
START_TIMEOUT_S = 30.0
CALL_TIMEOUT_S = 6.0
RUN_S = 0.03
# Limits are judged over this time, with these tolerances.
WINDOW_S = 4.0
TOLERANCE_FACTOR = 1.5
TOLERANCE_REQUESTS = 5
# A limit must be held from this time on after it was first named.
REACTION_S = 3.0
GENERATION_PATHS = ("/stream/", "/resumable/")
TOKEN_COUNTS = (("x-savorylift-token-counts", "100,50"),)


class Ending(NamedTuple):
    """How a caller's request ended.

    Attributes:
        body: Body of the request.
        started_s: Monotonic time at which it was sent.
        took_s: Time until it ended.
        status: Status of the response; 0 if it was incomplete.
        retry_after_s: When the caller was told to return, if so.
    """

    body: bytes
    started_s: float
    took_s: float
    status: int
    retry_after_s: float | None


class NodeFleet:
    """Nodes, a store, and the servers of a plain and an engine service.

    Attributes:
        ips: Addresses of the nodes.
        app: Servers of the plain service.
        pool: Model engines.
        nodes: The nodes, in the order of their addresses; empty before the
            start.
        endings: Ended requests of the callers.
        settling_s: Time from the start of the nodes until tests begin.
    """

    settling_s = 2.0

    def __init__(self, nodes: int, servers: int) -> None:
        self.ips = [f"{NETWORK}.{number + 1}" for number in range(nodes)]
        hosts = ["127.0.0.1", *self.ips]
        addresses = free_addresses(6 + 2 * servers, hosts)
        ports = [int(address.partition(":")[2]) for address in addresses]
        self._node_ports, self._server_ports = ports[:6], ports[6:]
        self._rng = random.Random(nodes)
        self._store = PlatformStore()
        self._cut: set[str] = set()
        self._tasks: set[asyncio.Task[Ending | None]] = set()
        self.app = [PlatformServer(f"app-{n}") for n in range(servers)]
        self.pool = [PlatformServer(f"pool-{n}") for n in range(servers)]
        self.nodes: list[FrontNode] = []
        self.endings: list[Ending] = []

    @property
    def caller_port(self) -> int:
        """Port for callers at each node."""
        return self._node_ports[1]

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Starts everything and waits until all nodes are ready."""
        await self._store.start(self._node_ports[0])
        self._store.add(OPERATORS_TOPIC, "config", configuration())
        for service, servers in (("app", self.app), ("pool", self.pool)):
            for server in servers:
                await server.start(self._server_ports.pop())
                server.delay_s = RUN_S
                self.publish_entry(server, service)
            for server in servers:
                server.peers = {other.port: other for other in servers}
        await self._start_nodes()
        await asyncio.sleep(self.settling_s)
        try:
            yield
        finally:
            self._stop_nodes()
            await end_other_tasks()

    async def _start_nodes(self) -> None:
        """Starts all nodes and waits until they are ready."""
        nodes = self.nodes = [self._make_node(ip) for ip in self.ips]
        tasks = [asyncio.ensure_future(node.run()) for node in nodes]
        self._tasks.update(tasks)
        async with asyncio.timeout(START_TIMEOUT_S):
            while any(node.configuration_version is None for node in nodes):
                await asyncio.sleep(0.05)
                for task in tasks:
                    if task.done():
                        task.result()

    def _stop_nodes(self) -> None:
        """Ends what the tasks of the event loop don't hold."""

    def publish_entry(
        self,
        server: PlatformServer,
        service: str,
        state: str = "ready",
        cold_ms: float = 0.0,
    ) -> None:
        """Writes a server's entry to the store."""
        entry = server.entry(service, "z0", state)
        entry["coldRemainingMs"] = cold_ms
        self._store.add(SERVERS_TOPIC, server.server_id, entry)

    def remove_entry(self, server: PlatformServer) -> None:
        """Removes a server's entry from the store."""
        self._store.add(SERVERS_TOPIC, server.server_id, None)

    def copy_store(self) -> dict[str, Topic]:
        """Returns a copy of what the store holds now."""
        return self._store.copy()

    def restore_store(self, topics: dict[str, Topic]) -> None:
        """Lets the store come back from a copy."""
        self._store.restore(topics)

    def set_store_status(self, status: int | None) -> None:
        """Lets the store answer all calls with a status; None for its own."""
        self._store.status = status

    def restart_under_other_id(
        self, server: PlatformServer, service: str
    ) -> None:
        """Gives a server a new ID, and replaces its entry in the store."""
        self._store.add(SERVERS_TOPIC, server.server_id, None)
        server.server_id += ".1"
        self.publish_entry(server, service)

    def replace_entry(
        self, earlier_id: str, server: PlatformServer, service: str
    ) -> None:
        """Writes a server's entry in place of that under its earlier ID."""
        self._store.add(SERVERS_TOPIC, earlier_id, None)
        self.publish_entry(server, service)

    def service(self, path: str) -> list[PlatformServer]:
        """Returns the servers that requests for a path go to."""
        is_generation = path.startswith(GENERATION_PATHS)
        return self.pool if is_generation else self.app

    def cut_off(self, index: int) -> None:
        """Cuts a node off from all other nodes, but not from the servers."""
        self._cut.add(self.ips[index])

    def rejoin(self, index: int) -> None:
        """Heals the links of a node that was cut off."""
        self._cut.discard(self.ips[index])

    async def call_for(
        self,
        path: str,
        duration_s: float,
        per_s: float = 30.0,
        extra_headers: Headers = (),
    ) -> None:
        """Sends requests to nodes drawn at random; returns after the last."""
        until_s = time.monotonic() + duration_s
        while time.monotonic() < until_s:
            ip = self._rng.choice(self.ips)
            self.start_call(ip, path, extra_headers)
            await asyncio.sleep(1 / per_s)

    def start_call(
        self,
        ip: str,
        path: str,
        extra_headers: Headers = (),
        body: bytes | None = None,
        patience_s: float | None = None,
    ) -> None:
        """Sends a request to a node in the background.

        Args:
            ip: Address of the node.
            path: Path of the request.
            extra_headers: Headers beside the usual ones.
            body: The body; None for one that no other request has.
            patience_s: Time after which the caller leaves; None for the usual
                one.
        """
        attempt = f"a{len(self._tasks)}"
        if body is None:
            body = f"question {attempt}".encode()
        task = asyncio.ensure_future(
            self.call(ip, path, attempt, extra_headers, body, patience_s)
        )
        self._tasks.add(task)

    async def call(
        self,
        ip: str,
        path: str,
        attempt: str,
        extra_headers: Headers = (),
        body: bytes = b"question",
        patience_s: float | None = None,
    ) -> Ending:
        """Sends a request to a node; records and returns how it ended."""
        headers: Headers = (
            *extra_headers,
            ("host", "h.example"),
            ("x-savorylift-attempt-id", attempt),
            ("x-savorylift-deadline-remaining", "4000"),
            ("x-api-key", "key"),
        )
        if path.startswith(GENERATION_PATHS):
            headers += TOKEN_COUNTS
        started_s = time.monotonic()
        status, retry_after = 0, None
        with contextlib.suppress(BrokenAnswerError, OSError):
            async with asyncio.timeout(patience_s or CALL_TIMEOUT_S):
                channel = await connect(ip, self.caller_port, 1.0)
                call = ClientCall(channel)
                call.send("POST", path, headers, body)
                try:
                    response = await call.read_response()
                finally:
                    call.close()
            status = response.status
            retry_after = response.header("retry-after")
        took_s = time.monotonic() - started_s
        ending = Ending(
            body,
            started_s,
            took_s,
            status,
            None if retry_after is None else float(retry_after),
        )
        self.endings.append(ending)
        return ending

    def endings_since(self, since_s: float) -> list[Ending]:
        """Returns the requests that were sent after a moment."""
        return [e for e in self.endings if e.started_s >= since_s]

    def _make_node(self, ip: str) -> FrontNode:
        cfg = self._settings(ip)
        node = FrontNode(cfg, lambda: Success(cfg))
        transport = node._peer_sync.transport
        send_all = transport._send_all

        def send_unless_cut(data: bytes, ips: tuple[str, ...]) -> None:
            if ip not in self._cut:
                send_all(data, tuple(i for i in ips if i not in self._cut))

        transport._send_all = send_unless_cut  # type: ignore[method-assign]
        return node

    def _settings(self, ip: str) -> FrontSettings:
        store, caller, directory, ready, peer, metrics = self._node_ports
        seeds = tuple(f"{seed}:1" for seed in self.ips[:3])
        return make_node_settings(
            f"vm-{ip}",
            f"127.0.0.1:{store}",
            (f"{ip}:{caller}", f"{ip}:{directory}", f"{ip}:{ready}"),
            peer,
            metrics,
        )._replace(seeds=seeds)


def most_in_window(times_s: list[float], since_s: float) -> int:
    """Returns the most requests within `WINDOW_S`, from a moment on."""
    later = sorted(t for t in times_s if t >= since_s)
    return max(
        (sum(t <= u < t + WINDOW_S for u in later) for t in later), default=0
    )


def most_allowed(per_s: float) -> float:
    """Returns how many requests a limit allows within `WINDOW_S`."""
    return TOLERANCE_FACTOR * per_s * WINDOW_S + TOLERANCE_REQUESTS
