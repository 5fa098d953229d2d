"""Runs a front node in this process with fake platform services."""

import asyncio
import json
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from returns.result import Success

from savorylift.front.node import FrontNode
from savorylift.front.settings import FrontSettings
from savorylift.platform.store import OPERATORS_TOPIC, SERVERS_TOPIC
from savorylift.wire.client_call import ClientCall, fetch
from savorylift.wire.connecting import connect
from savorylift.wire.message import Headers, Response
from tests.front.node_settings import make_node_settings
from tests.harness.ports import free_addresses
from tests.standins.platform_server import PlatformServer
from tests.standins.platform_store import PlatformStore

T = TypeVar("T")

HOST = "127.0.0.1"
SCENARIO_TIMEOUT_S = 30.0
READY_TIMEOUT_S = 8.0
CALL_TIMEOUT_S = 6.0


def limits() -> dict[str, int]:
    """Returns the limits on callers' requests, as the store holds them."""
    return {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 65536,
        "headerTimeoutMs": 1000,
        "idleTimeoutMs": 2000,
    }


def route(path: str, kind: str, service: str) -> dict[str, object]:
    """Returns a route of the configuration, as the store holds it."""
    return {
        "name": f"r{path.replace('/', '-')}",
        "host": "h.example",
        "pathPrefix": path,
        "kind": kind,
        "timeoutMs": 2000,
        "targetLatencyMs": 400,
        "priority": 2,
        "service": service,
        "maxAttempts": 2 if kind == "safe" else 1,
        "public": False,
        "streamResumption": False,
    }


def configuration(version: int = 1) -> dict[str, object]:
    """Returns a configuration, as the store holds it."""
    engine = {
        "slots": 8,
        "kvCapacity": 10000,
        "kvTokenBytes": 35136,
        "linkMbps": 5100.0,
        "moves": True,
        "stride": 1,
    }
    return {
        "version": version,
        "routes": [
            route("/safe/", "safe", "app"),
            route("/once/", "unsafe", "app"),
            route("/stream/", "streaming", "pool"),
            route("/resumable/", "streaming", "pool")
            | {"streamResumption": True, "maxAttempts": 2},
        ],
        "services": [
            {"name": "app", "healthPath": "/health"},
            {"name": "pool", "healthPath": "/health", "engine": engine},
        ],
        "tenants": [{"name": "team", "apiKeys": ["key"]}],
        "limits": limits(),
    }


class NodeEnvironment:
    """A node, a store, two plain servers and two model engines.

    Attributes:
        store: Fake of the platform's store.
        app: Servers of the plain service.
        pool: Model engines.
        ports: Free ports: the store, the four servers, then those of the node
            for callers, directory, readiness, peers and metrics.
        node_task: Task that runs the node; None before `start`.
        node: The node; None before `start`.
        grace_period_s: Time that the node has to stop.
    """

    def __init__(self) -> None:
        """Creates the store and the servers; `start` starts them."""
        self.store = PlatformStore()
        self.app = [PlatformServer(f"app-{n}") for n in range(2)]
        self.pool = [PlatformServer(f"pool-{n}") for n in range(2)]
        self.ports = [
            int(address.rpartition(":")[2]) for address in free_addresses(12)
        ]
        self.node_task: asyncio.Task[None] | None = None
        self.node: FrontNode | None = None
        self.grace_period_s = 2.0

    async def start(self, *, has_configuration: bool = True) -> None:
        """Starts the store, the servers and the node.

        With a configuration, waits until the node is ready.
        """
        servers = [*self.app, *self.pool]
        await self.store.start(self.ports[0])
        for server, port in zip(servers, self.ports[1:], strict=False):
            await server.start(port)
        for server in self.pool:
            server.peers = {other.port: other for other in self.pool}
        for server in self.app:
            self.publish_entry(server, "app")
        for server in self.pool:
            self.publish_entry(server, "pool")
        if has_configuration:
            self.store.add(OPERATORS_TOPIC, "config", configuration())
        self.node = FrontNode(self.settings(), lambda: Success(self.settings()))
        self.node_task = asyncio.ensure_future(self.node.run())
        if has_configuration:
            await self.wait_until_ready()

    def publish_entry(
        self, server: PlatformServer, service: str, state: str = "ready"
    ) -> None:
        """Writes a server's entry to the store."""
        number = server.server_id.partition(".")[0][-1]
        entry = server.entry(service, f"z{number}", state)
        self.store.add(SERVERS_TOPIC, server.server_id, entry)

    def republish_on_restart(
        self, server: PlatformServer, service: str
    ) -> None:
        """Lets a server that has crashed come back under another ID."""

        def on_restart(earlier_id: str) -> None:
            self.store.add(SERVERS_TOPIC, earlier_id, None)
            self.publish_entry(server, service)

        server.on_restart = on_restart

    def settings(self) -> FrontSettings:
        """Returns the node's settings."""
        caller, directory, ready, peer, metrics = self.ports[5:10]
        return make_node_settings(
            "vm-1",
            f"{HOST}:{self.ports[0]}",
            (f"{HOST}:{caller}", f"{HOST}:{directory}", f"{HOST}:{ready}"),
            peer,
            metrics,
        )._replace(grace_period_s=self.grace_period_s)

    async def get(self, port_index: int, target: str) -> Response:
        """Sends GET to the node's directory, readiness or metrics port."""
        return await fetch(
            (HOST, self.ports[port_index]),
            "GET",
            target,
            timeout_s=CALL_TIMEOUT_S,
            connect_timeout_s=1.0,
        )

    async def is_ready(self) -> bool:
        """Queries readiness as the platform does."""
        try:
            return (await self.get(7, "/readiness")).status == 200
        except OSError:
            return False

    async def wait_until_ready(self) -> None:
        """Waits until the node reports readiness.

        Raises:
            OSError: The node couldn't start.
        """
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self.is_ready():
                if self.node_task is not None and self.node_task.done():
                    self.node_task.result()
                await asyncio.sleep(0.02)

    async def open_call(
        self,
        path: str,
        attempt: str = "a1",
        headers: Headers = (),
        body: bytes = b"question",
    ) -> ClientCall:
        """Sends a request as a caller does; does not read the response."""
        call = ClientCall(await connect(HOST, self.ports[5], 1.0))
        all_headers = {
            "host": "h.example",
            "x-savorylift-attempt-id": attempt,
            "x-savorylift-deadline-remaining": "4000",
            "x-api-key": "key",
        } | dict(headers)
        call.send("POST", path, tuple(all_headers.items()), body)
        return call

    async def call(
        self, path: str, attempt: str = "a1", headers: Headers = ()
    ) -> Response:
        """Sends a request as a caller does and returns the response."""
        call = await self.open_call(path, attempt, headers)
        async with asyncio.timeout(CALL_TIMEOUT_S):
            return await call.read_response()

    async def wait_for_version(self, version: int) -> None:
        """Waits until the node uses the configuration of this version."""
        assert self.node is not None
        async with asyncio.timeout(READY_TIMEOUT_S):
            while self.node.configuration_version != version:
                await asyncio.sleep(0.02)


async def end_other_tasks() -> None:
    """Cancels all other tasks, and those that they start as they end."""
    while tasks := asyncio.all_tasks() - {asyncio.current_task()}:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def run_bounded(scenario: Coroutine[Any, Any, T]) -> T:
    """Runs a test's coroutine with a timeout, and ends all other tasks."""
    try:
        async with asyncio.timeout(SCENARIO_TIMEOUT_S):
            return await scenario
    finally:
        await end_other_tasks()


def run_with_timeout(scenario: Coroutine[Any, Any, T]) -> T:
    """Runs a test's coroutine with a timeout."""
    return asyncio.run(run_bounded(scenario))


async def start_and_run(
    scenario: Callable[[NodeEnvironment], Coroutine[Any, Any, T]],
    grace_period_s: float = 2.0,
) -> T:
    """Starts an environment and runs a test's coroutine in it."""
    env = NodeEnvironment()
    env.grace_period_s = grace_period_s
    await env.start()
    return await scenario(env)


def run_in_environment(
    scenario: Callable[[NodeEnvironment], Coroutine[Any, Any, T]],
    grace_period_s: float = 2.0,
) -> T:
    """Runs a test's coroutine in an environment that has been started."""
    return run_with_timeout(start_and_run(scenario, grace_period_s))


def event_numbers(body: bytes) -> list[int]:
    """Returns the event ids in the body of a stream."""
    lines = body.decode().splitlines()
    return [int(line[3:]) for line in lines if line.startswith("id:")]


def decode_body(response: Response) -> dict[str, Any]:
    """Returns the JSON object in the body."""
    return dict(json.loads(response.body))
