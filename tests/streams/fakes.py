"""Fakes at the interfaces of the streams slice."""

import socket
import threading
import time
from collections.abc import Mapping

from returns.result import Result, Success

from savorylift.calls.budget import RetryBudget
from savorylift.identity import NodeRef
from savorylift.outcomes import Refusal
from savorylift.permits.gate import (
    BackendHint,
    Permit,
    PermitRequest,
    PermitUse,
)
from savorylift.restrictions import Restrictions
from savorylift.rules.view import (
    BackendServer,
    Model,
    RuleSource,
    RulesSource,
    RulesView,
    Team,
)
from savorylift.settings import Key, Timing
from savorylift.streams.caller_socket import CallerSocket
from savorylift.streams.cleaner import Cleaner
from savorylift.streams.engine_control import EngineControl
from savorylift.streams.memory_placement import MemoryPlacement
from savorylift.streams.parts import GenerationParts
from savorylift.streams.placement import GenerationRequest
from savorylift.streams.relay import Relay
from savorylift.streams.sink import StreamSink
from savorylift.trail import Trail

SOURCE = RuleSource(1, "rule", "desk")
OWN = NodeRef("entry-1", "i1")
KEYS = (Key("k1", "0123456789abcdef"),)
MODEL = Model("m", "v1", SOURCE)
TEAM = Team("desk", 1, frozenset({"*"}), 0, SOURCE)
TIMING = Timing(token_timeout_s=0.3, first_token_timeout_s=1.0)


def engine_rule(name: str, address: str) -> BackendServer:
    return BackendServer(
        name, address, "anjara", "m", None, 4, 32, 8192, True, SOURCE
    )


class FakeGate:
    """Grants the first candidate and notes every release."""

    def __init__(self) -> None:
        self.granted: list[str] = []
        self.uses: list[tuple[str, PermitUse]] = []
        self.held: set[str] = set()
        self.starts: list[str] = []
        self.delays_s: list[float] = []

    def acquire(self, req: PermitRequest) -> Result[Permit, Refusal]:
        name = req.candidates[0]
        self.granted.append(name)
        self.held.add(req.permit_id)
        return Success(Permit(req.permit_id, name, req.stream_id, OWN, False))

    def hints(self) -> Mapping[str, BackendHint]:
        return {}

    def started(
        self,
        permit: Permit,
        incarnation: str,
        first_token_s: float,
        *,
        is_cold: bool,
    ) -> None:
        self.starts.append(permit.backend_server)
        self.delays_s.append(first_token_s)

    def adjust(self, permit: Permit, tokens: int) -> None:
        pass

    def release(self, permit: Permit, use: PermitUse) -> None:
        self.held.remove(permit.permit_id)  # a second release is an error
        self.uses.append((permit.backend_server, use))

    def is_held(self, permit: Permit) -> bool:
        return permit.permit_id in self.held

    def take_over(self, permit: Permit) -> None:
        self.held.add(permit.permit_id)


class Bench:
    """A relay, a cleaner and the parts of generations on given engines."""

    def __init__(self, engines: Mapping[str, str]) -> None:
        self.gate = FakeGate()
        servers = {n: engine_rule(n, a) for n, a in engines.items()}
        self.rules = RulesSource(RulesView(backend_servers=servers))
        self.relay = Relay()
        self.cleaner = Cleaner(self.gate, self.rules, EngineControl())
        self.leaving: set[str] = set()
        self.parts = GenerationParts(
            ref=OWN,
            rules=self.rules,
            restrictions=Restrictions(self.rules, self.leaving.__contains__),
            may_dispatch=lambda: Success(None),
            gate=self.gate,
            relay=self.relay,
            cleaner=self.cleaner,
            placement=MemoryPlacement(self.rules),
            budget=RetryBudget(),
            mark_leaving=lambda vm, _: self.leaving.add(vm),
            ticket_keys=KEYS,
            timing=TIMING,
            trail=Trail(),
        )

    def __enter__(self) -> "Bench":
        self.relay.start()
        self.cleaner.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.relay.stop()
        self.cleaner.stop()

    def wait_cleaned(self, timeout_s: float = 5.0) -> None:
        deadline_s = time.monotonic() + timeout_s
        while self.gate.held and time.monotonic() < deadline_s:
            time.sleep(0.01)
        assert not self.gate.held


def request(prompt: str, timeout_s: float = 10.0) -> GenerationRequest:
    return GenerationRequest(
        "req-1", TEAM, MODEL, prompt, 10_000, 7, 0, time.monotonic() + timeout_s
    )


class Caller:
    """A caller's end of a connection with a stream sink at the other."""

    def __init__(self, *, accepts_restart: bool = False) -> None:
        self.near, far = socket.socketpair()
        self._far = far
        self.sink = StreamSink(
            CallerSocket(far, 1 << 20),
            "req-1",
            "m",
            (),
            accepts_restart=accepts_restart,
        )

    def received(self) -> bytes:
        """Closes the node's end and returns all that the caller got."""
        ending = threading.Thread(target=self._end)
        ending.start()  # blocks while the connection is full
        self.near.settimeout(5.0)
        parts = []
        while data := self.near.recv(65_536):
            parts.append(data)
        ending.join()
        return b"".join(parts)

    def _end(self) -> None:
        self.sink.caller.release()
        self._far.close()
