"""Test environment: a node with the completion interface and fake backends."""

import asyncio
import json
from collections.abc import Callable, Coroutine, Mapping
from typing import Any

import pytest
from returns.result import Success

from savorylift.front.node import FrontNode
from savorylift.front.settings import FrontSettings
from savorylift.platform.store import StoreClient
from savorylift.rules.publication import PublishedVersion, publish
from savorylift.wire.address import split_address
from savorylift.wire.client_call import ClientCall
from savorylift.wire.connecting import connect
from savorylift.wire.listener import Listener, connection_handler
from savorylift.wire.message import Headers, Request, Response
from savorylift.wire.request_input import InputLimits
from tests.front.environment import run_bounded, run_with_timeout
from tests.front.node_settings import make_node_settings
from tests.harness.ports import free_addresses
from tests.harness.virtual_time import run_in_virtual_time
from tests.standins.engine import Engine
from tests.standins.engine_settings import EngineSettings
from tests.standins.engine_state import EngineState
from tests.standins.h11_server import HttpConnection
from tests.standins.platform_store import PlatformStore
from tests.standins.tokens import GeneratedText

HOST = "127.0.0.1"
MODEL = "vine"
VERSION = "v1"
CALL_TIMEOUT_S = 10.0
READY_TIMEOUT_S = 8.0
UNUSED_LENGTH_BOUNDS = (8, 256)  # prompts set their output length
LOAD_POLL_WAIT_S = 0.8


class FakeService:
    """Fake plain service that records its calls.

    Attributes:
        requests: Calls that it received.
        status: Status of its responses.
        headers: Headers that its responses bear besides.
        drops_connections: Whether it records a call and then closes the
            connection instead of responding.
        may_respond: Responses are held back while this event is not set.
    """

    def __init__(self) -> None:
        """Initializes a service that responds at once."""
        self.requests: list[Request] = []
        self.status = 200
        self.headers: Headers = ()
        self.drops_connections = False
        self.may_respond = asyncio.Event()
        self.may_respond.set()

    async def start(self, address: str) -> None:
        """Starts to listen on an address."""
        listener = Listener(connection_handler(self._respond), InputLimits)
        await listener.start(*split_address(address))

    async def _respond(self, req: Request) -> Response:
        if req.target == "/v1/load":
            body = json.dumps({"cold": False, "leaving": False}).encode()
            return Response(200, self.headers, body)
        self.requests.append(req)
        await self.may_respond.wait()
        if self.drops_connections:
            raise ConnectionResetError("connection dropped by the test")
        request_id = req.header_values("x-request-id")[0]
        body = f"{req.method} {req.target}".encode()
        headers = (("x-request-id", request_id), *self.headers)
        return Response(self.status, headers, body)


class NodeEnvironment:
    """One node, a fake store, two engines and two service instances.

    Attributes:
        store: The fake store.
        addresses: Addresses of the store, of the node's listeners, of the
            engines and of the service instances, in this order.
        engines: State of both engines.
        services: Both service instances.
        node: Task that runs the node; None before the start.
    """

    def __init__(self, **engine: object) -> None:
        """Prepares the parts without starting them.

        Args:
            engine: Settings of both engines.
        """
        self.store = PlatformStore()
        self.addresses = free_addresses(11)
        settings = EngineSettings(
            model=MODEL,
            version=VERSION,
            interval_s=0.01,
            first_token_s=0.01,
            starts_cold=False,
            load_lag_s=0.0,
        )
        for name, value in engine.items():
            setattr(settings, name, value)
        self.engines = [EngineState(settings) for _ in range(2)]
        self.services = [FakeService() for _ in range(2)]
        self.node: asyncio.Task[None] | None = None
        self._engine_tasks: list[asyncio.Task[None]] = []

    @property
    def rules(self) -> str:
        """Text of the rules file."""
        engine_addresses, service_addresses = (
            self.addresses[6:8],
            self.addresses[8:10],
        )
        lines = [
            "failure_domain z in region r # platform",
            f"model {MODEL} version {VERSION} # noor",
            "service crew repeatable GET,HEAD # tariq",
            *(
                f"backend_server runner-{n} at {address} in z serves model "
                f"{MODEL} cold 2 warm 16 kv 8000 # noor"
                for n, address in enumerate(engine_addresses)
            ),
            *(
                f"backend_server crew-{n} at {address} in z serves service "
                "crew cold 2 warm 8 # tariq"
                for n, address in enumerate(service_addresses)
            ),
            "team desk weight 4 models * # ada",
            "team small weight 1 models vine in_flight 1 # eve: trial",
            "team bound weight 1 models none # eve: no model",
        ]
        return "\n".join(lines) + "\n"

    async def start(self) -> None:
        """Starts all parts and waits until the node serves requests."""
        await self.store.start(split_address(self.addresses[0])[1])
        loop = asyncio.get_running_loop()
        for state, address in zip(
            self.engines, self.addresses[6:8], strict=True
        ):
            await self._start_engine(state, address)
            self._engine_tasks.append(loop.create_task(state.run()))
        for service, address in zip(
            self.services, self.addresses[8:10], strict=True
        ):
            await service.start(address)
        client = StoreClient(split_address(self.addresses[0]))
        publication = await publish(client, self.rules, "test", None)
        assert isinstance(publication, PublishedVersion), publication
        cfg = self.settings()
        front = FrontNode(cfg, lambda: Success(cfg))
        self.node = asyncio.ensure_future(front.run())
        async with asyncio.timeout(READY_TIMEOUT_S):
            while front.configuration_version is None:
                await asyncio.sleep(0.02)
        # Wait until the node has polled the load of the servers.
        await asyncio.sleep(LOAD_POLL_WAIT_S)

    async def _start_engine(self, state: EngineState, address: str) -> None:
        engine = Engine(state)
        loop = asyncio.get_running_loop()
        await loop.create_server(
            lambda: HttpConnection(engine.handle, state.connections),
            *split_address(address),
        )

    def settings(self) -> FrontSettings:
        """Returns the settings of the node."""
        caller, directory, ready, peer, metrics = self.addresses[1:6]
        return make_node_settings(
            "vm-1",
            self.addresses[0],
            (caller, directory, ready),
            split_address(peer)[1],
            split_address(metrics)[1],
        )._replace(failure_domain="z", interface="completions")

    async def send_request(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
    ) -> ClientCall:
        """Sends a request to the node; returns the call to read from."""
        host, port = split_address(self.addresses[1])
        call = ClientCall(await connect(host, port, 1.0))
        all_headers = {"host": "h", "x-team": "desk", **(headers or {})}
        call.send(method, target, tuple(all_headers.items()), body)
        return call

    async def call_node(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
    ) -> Response:
        """Sends a request to the node and returns the complete response."""
        call = await self.send_request(method, target, body, headers)
        async with asyncio.timeout(CALL_TIMEOUT_S):
            return await call.read_response()

    async def complete(
        self,
        prompt: str,
        headers: Mapping[str, str] | None = None,
        **fields: object,
    ) -> Response:
        """Requests a generation; `fields` are added to the body."""
        body = completion(prompt, **fields)
        return await self.call_node("POST", "/v1/completions", body, headers)

    @property
    def cancelled_generations(self) -> list[str]:
        """Ids of the generations that engines were told to cancel."""
        return [i for state in self.engines for _, i in state.record.cancels]

    @property
    def generation_count(self) -> int:
        """Number of generations that engines have started."""
        return sum(len(state.record.generations) for state in self.engines)


def run_in_environment(
    scenario: Callable[[NodeEnvironment], Coroutine[Any, Any, None]],
) -> None:
    """Runs a test scenario against a started node."""
    run_with_timeout(_start_and_run(scenario))


def run_in_paced_environment(
    monkeypatch: pytest.MonkeyPatch,
    scenario: Callable[[NodeEnvironment], Coroutine[Any, Any, None]],
) -> None:
    """Does the same in virtual time, in which engines keep their pace."""
    run_in_virtual_time(
        monkeypatch, lambda: run_bounded(_start_and_run(scenario))
    )


async def _start_and_run(
    scenario: Callable[[NodeEnvironment], Coroutine[Any, Any, None]],
) -> None:
    environment = NodeEnvironment()
    await environment.start()
    await scenario(environment)


def completion(prompt: str, **fields: object) -> bytes:
    """Returns the JSON body of a completion request."""
    body = {"model": MODEL, "prompt": prompt, "seed": 7, **fields}
    return json.dumps(body).encode()


def expected(prompt: str) -> str:
    """Returns the text that the fake engines generate for a prompt."""
    return "".join(
        GeneratedText(prompt, 7, VERSION, UNUSED_LENGTH_BOUNDS).tokens(1 << 20)
    )


def events(response: Response) -> list[dict[str, Any]]:
    """Returns the JSON data of a stream's events without the end marker."""
    lines = response.body.decode().splitlines()
    data = [
        line.removeprefix("data: ") for line in lines if line[:5] == "data:"
    ]
    return [json.loads(text) for text in data if text != "[DONE]"]


def text_of(response: Response) -> str:
    """Returns the text of a stream; fails if the end marker is missing."""
    assert response.body.endswith(b"data: [DONE]\n\n"), response.body[-300:]
    choices = [
        choice for event in events(response) for choice in event["choices"]
    ]
    return "".join(choice["text"] for choice in choices)


def error_of(response: Response) -> dict[str, Any]:
    """Returns the error object of an error response."""
    return dict(json.loads(response.body)["error"])
