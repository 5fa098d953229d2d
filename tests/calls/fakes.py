"""Fakes at the interfaces of the calls slice."""

import uuid
from collections.abc import Callable, Mapping

from returns.result import Failure, Result, Success

from savorylift.calls.budget import RetryBudget
from savorylift.calls.claims import Claim, ClaimRequest
from savorylift.calls.dispatch import Answered, DispatchOutcome
from savorylift.calls.parts import CallParts
from savorylift.calls.request import CallAnswer, CallRequest
from savorylift.identity import NodeRef
from savorylift.outcomes import Refusal
from savorylift.permits.gate import (
    BackendHint,
    Permit,
    PermitRequest,
    PermitUse,
)
from savorylift.rules.view import (
    BackendServer,
    OutOfService,
    RuleSource,
    RulesSource,
    RulesView,
    Service,
)

KEEPER = NodeRef("entry-1", "i1")
SOURCE = RuleSource(1, "rule", "desk")


def make_key(time_ms: int, tail: int = 0) -> str:
    value = time_ms << 80 | 7 << 76 | 2 << 62 | tail
    return str(uuid.UUID(int=value))


def server(name: str, domain: str = "anjara") -> BackendServer:
    return BackendServer(
        name, f"{name}:80", domain, None, "crew", 1, 4, 0, False, SOURCE
    )


def rules(
    names: tuple[str, ...] = ("s1", "s2"), out: tuple[OutOfService, ...] = ()
) -> RulesView:
    return RulesView(
        services={"crew": Service("crew", frozenset({"GET"}), SOURCE)},
        backend_servers={name: server(name) for name in names},
        out_of_service={order.target: order for order in out},
    )


class FakeGate:
    """Grants the first candidate and notes what was returned."""

    def __init__(self) -> None:
        self.refusal: Refusal | None = None
        self.requests: list[PermitRequest] = []
        self.uses: list[PermitUse] = []
        self.on_grant: Callable[[], None] = lambda: None

    def acquire(self, req: PermitRequest) -> Result[Permit, Refusal]:
        self.requests.append(req)
        self.on_grant()
        if self.refusal is not None:
            return Failure(self.refusal)
        name = req.candidates[0]
        return Success(
            Permit(req.permit_id, name, req.stream_id, KEEPER, False)
        )

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
        pass

    def is_held(self, permit: Permit) -> bool:
        return True

    def adjust(self, permit: Permit, tokens: int) -> None:
        pass

    def release(self, permit: Permit, use: PermitUse) -> None:
        self.uses.append(use)

    def take_over(self, permit: Permit) -> None:
        raise NotImplementedError


class FakeDispatcher:
    """Gives scripted outcomes, then answers."""

    def __init__(self, *script: DispatchOutcome) -> None:
        self.script = list(script)
        self.sent: list[str] = []

    def dispatch(self, address: str, req: CallRequest) -> DispatchOutcome:
        self.sent.append(address)
        if self.script:
            return self.script.pop(0)
        return Answered(200, (), b"done", 0.01, "1")


class FakeClaims:
    """Grants every claim and notes what became of it."""

    def __init__(
        self, result: Result[Claim | CallAnswer, Refusal] | None = None
    ) -> None:
        self.result = result
        self.log: list[str] = []

    def claim(self, req: ClaimRequest) -> Result[Claim | CallAnswer, Refusal]:
        return self.result or Success(Claim("c1", req.key))

    def void(self, claim: Claim) -> None:
        self.log.append("void")

    def record(self, claim: Claim, answer: CallAnswer | None) -> None:
        self.log.append("answer" if answer else "unknown")


def call_parts(
    dispatcher: FakeDispatcher,
    claims: FakeClaims | None = None,
    view: RulesView | None = None,
) -> CallParts:
    return CallParts(
        RulesSource(view or rules()),
        FakeGate(),
        claims or FakeClaims(),
        dispatcher,
        is_open=lambda _: True,
        may_dispatch=lambda: Success(None),
        budget=RetryBudget(floor=2),
    )
