"""A node with the completion interface before stand-ins of its own."""

import asyncio
import json
from collections.abc import Callable, Coroutine, Mapping
from typing import Any

from returns.result import Success

from savorylift.front.node import FrontNode
from savorylift.front.settings import FrontSettings
from savorylift.platform.store import StoreClient
from savorylift.rules.publication import Published, publish
from savorylift.wire.address import split_address
from savorylift.wire.channel import connect
from savorylift.wire.client_call import ClientCall
from savorylift.wire.listener import Listener, answering
from savorylift.wire.message import Request, Response
from savorylift.wire.server_connection import InputLimits
from tests.front.stage import play
from tests.harness.ports import free_addresses
from tests.standins.engine import Engine
from tests.standins.engine_settings import EngineSettings
from tests.standins.engine_state import EngineState
from tests.standins.h11_server import Exchange
from tests.standins.platform_store import PlatformStore
from tests.standins.tokens import Text

HOST = "127.0.0.1"
MODEL = "vine"
VERSION = "v1"
CALL_S = 10.0
READY_S = 8.0
BOUNDS = (8, 256)
SETTLE_S = 0.8


class Crew:
    """A plain service that remembers its calls.

    Attributes:
        requests: What it got.
        status: Status of its answers.
        drops: Whether it cuts the connection once it has run a call.
        gate: Calls are answered once this is set.
    """

    def __init__(self) -> None:
        """Answers at once."""
        self.requests: list[Request] = []
        self.status = 200
        self.drops = False
        self.gate = asyncio.Event()
        self.gate.set()

    async def start(self, address: str) -> None:
        """Listens."""
        listener = Listener(answering(self._answer), InputLimits)
        await listener.start(*split_address(address))

    async def _answer(self, req: Request) -> Response:
        if req.target == "/v1/load":
            body = json.dumps({"cold": False, "leaving": False}).encode()
            return Response(200, (), body)
        self.requests.append(req)
        await self.gate.wait()
        if self.drops:
            raise ConnectionResetError("as the test wants")
        request_id = req.values("x-request-id")[0]
        body = f"{req.method} {req.target}".encode()
        return Response(self.status, (("x-request-id", request_id),), body)


class Stage:
    """One node, a store, two engines and two instances of a service."""

    def __init__(self, **engine: object) -> None:
        """Starts nothing; `engine` are settings of both engines."""
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
        self.crew = [Crew() for _ in range(2)]
        self.node: asyncio.Task[None] | None = None
        self._work: list[asyncio.Task[None]] = []

    @property
    def rules(self) -> str:
        """Returns the rules file."""
        runners, instances = self.addresses[6:8], self.addresses[8:10]
        lines = [
            "failure_domain z in region r # platform",
            f"model {MODEL} version {VERSION} # noor",
            "service crew repeatable GET,HEAD # tariq",
            *(
                f"backend_server runner-{n} at {address} in z serves model "
                f"{MODEL} cold 2 warm 16 kv 8000 # noor"
                for n, address in enumerate(runners)
            ),
            *(
                f"backend_server crew-{n} at {address} in z serves service "
                "crew cold 2 warm 8 # tariq"
                for n, address in enumerate(instances)
            ),
            "team desk weight 4 models * # ada",
            "team small weight 1 models vine in_flight 1 # eve: trial",
            "team bound weight 1 models none # eve: no model",
        ]
        return "\n".join(lines) + "\n"

    async def start(self) -> None:
        """Starts everything and waits until the node serves."""
        await self.store.start(split_address(self.addresses[0])[1])
        loop = asyncio.get_running_loop()
        for state, address in zip(
            self.engines, self.addresses[6:8], strict=True
        ):
            await self._start_engine(state, address)
            self._work.append(loop.create_task(state.run()))
        for crew, address in zip(self.crew, self.addresses[8:10], strict=True):
            await crew.start(address)
        client = StoreClient(split_address(self.addresses[0]))
        outcome = await publish(client, self.rules, "test", None)
        assert isinstance(outcome, Published), outcome
        cfg = self.settings()
        front = FrontNode(cfg, lambda: Success(cfg))
        self.node = asyncio.ensure_future(front.run())
        async with asyncio.timeout(READY_S):
            while front.configuration_version is None:
                await asyncio.sleep(0.02)
        await asyncio.sleep(SETTLE_S)  # until servers have told their load

    async def _start_engine(self, state: EngineState, address: str) -> None:
        engine = Engine(state)
        loop = asyncio.get_running_loop()
        await loop.create_server(
            lambda: Exchange(engine.handle, state.exchanges),
            *split_address(address),
        )

    def settings(self) -> FrontSettings:
        """Returns the node's settings."""
        caller, directory, ready, peer, metrics = self.addresses[1:6]
        return FrontSettings(
            vm="vm-1",
            region="r",
            failure_domain="z",
            caller_listen=caller,
            directory_listen=directory,
            readiness_listen=ready,
            peer_port=split_address(peer)[1],
            metrics_port=split_address(metrics)[1],
            store=self.addresses[0],
            seeds=(),
            grace_period_s=2.0,
            retry_ratio=0.2,
            retry_window_s=10.0,
            retry_slack=20.0,
            entry_ttl_max_s=5.0,
            interface="completions",
        )

    async def open(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
    ) -> ClientCall:
        """Sends a request as a caller does."""
        host, port = split_address(self.addresses[1])
        call = ClientCall(await connect(host, port, 1.0))
        named = {"host": "h", "x-team": "desk", **(headers or {})}
        call.send(method, target, tuple(named.items()), body)
        return call

    async def ask(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
    ) -> Response:
        """Makes a whole call as a caller does."""
        call = await self.open(method, target, body, headers)
        async with asyncio.timeout(CALL_S):
            return await call.read_answer()

    async def complete(
        self,
        prompt: str,
        headers: Mapping[str, str] | None = None,
        **more: object,
    ) -> Response:
        """Asks for a generation."""
        body = completion(prompt, **more)
        return await self.ask("POST", "/v1/completions", body, headers)

    @property
    def cancelled(self) -> list[str]:
        """Returns the generations that engines were told to cancel."""
        return [i for state in self.engines for _, i in state.record.cancels]

    @property
    def started(self) -> int:
        """Returns how many generations engines have begun."""
        return sum(len(state.record.generations) for state in self.engines)


def on_stage(scene: Callable[[Stage], Coroutine[Any, Any, None]]) -> None:
    """Runs a scene on a stage that has started."""

    async def started() -> None:
        stage = Stage()
        await stage.start()
        await scene(stage)

    play(started())


def completion(prompt: str, **more: object) -> bytes:
    """Returns the body of a request for a generation."""
    body = {"model": MODEL, "prompt": prompt, "seed": 7, **more}
    return json.dumps(body).encode()


def expected(prompt: str) -> str:
    """Returns the answer that the model gives to a prompt."""
    return "".join(Text(prompt, 7, VERSION, BOUNDS).tokens(1 << 20))


def events(answer: Response) -> list[dict[str, Any]]:
    """Returns the JSON data of a stream's events, up to the end mark."""
    lines = answer.body.decode().splitlines()
    data = [
        line.removeprefix("data: ") for line in lines if line[:5] == "data:"
    ]
    return [json.loads(text) for text in data if text != "[DONE]"]


def text_of(answer: Response) -> str:
    """Returns the text of a stream that ended with its end mark."""
    assert answer.body.endswith(b"data: [DONE]\n\n"), answer.body[-300:]
    choices = [
        choice for event in events(answer) for choice in event["choices"]
    ]
    return "".join(choice["text"] for choice in choices)


def error_of(answer: Response) -> dict[str, Any]:
    """Returns the error that an answer tells of."""
    return dict(json.loads(answer.body)["error"])
