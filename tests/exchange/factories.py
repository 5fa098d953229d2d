"""Factories of objects for tests of request handling."""

import json
import random
import time

from savorylift.backends.registry import BackendServer
from savorylift.backends.request_quarantine import RequestQuarantine
from savorylift.backends.server import ServerEntry
from savorylift.exchange.admission import AdmittedRequest
from savorylift.exchange.crash_guard import CrashGuard
from savorylift.exchange.request import CallerRequest, Generation
from savorylift.exchange.retry_budget import RetryBudget, RetryBudgetOptions
from savorylift.exchange.server_holds import ServerHolds
from savorylift.exchange.server_pool import ServerPool
from savorylift.fleet.membership import LIVENESS_TIMEOUT_S, Membership
from savorylift.fleet.state import NodeState, ServerLoad
from savorylift.fleet.store_records import Change
from savorylift.fleet.store_view import Decoders, StoreView
from savorylift.limits.limit_gate import LimitGate
from savorylift.limits.permit_issuer import PermitIssuer
from savorylift.limits.process_lookup import ProcessLookup
from savorylift.platform.backend_servers import decode_server
from savorylift.platform.configuration import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    decode_configuration,
)
from savorylift.platform.engine_client import read_start
from savorylift.rollouts.board import RolloutBoard
from savorylift.routing.configuration import (
    Configuration,
    EngineTraits,
    Route,
    RouteKind,
    Service,
    Target,
    Team,
)
from savorylift.wire.request_input import InputLimits
from tests.fleet.test_membership import state

PEER_NUMBERS = (2, 3)  # of the nodes besides the tested one
COLD_PLACES = 6  # two for each of three nodes
ENGINE = EngineTraits(
    slots=8,
    memory_tokens=10_000,
    token_bytes=35_000.0,
    link_bytes_per_s=637_500_000.0,
    can_move=True,
    tokens_per_event=4,
)


def make_route() -> Route:
    """Returns a route for idempotent plain calls."""
    return Route(
        name="r",
        host="h",
        path_prefix="/a/",
        kind=RouteKind.IDEMPOTENT,
        targets=(Target("s", 1.0),),
        timeout_s=2.0,
        objective_s=0.4,
        max_attempts=2,
        priority=2,
        is_public=False,
        can_resume=False,
        gap_objective_s=None,
    )


def make_configuration(
    routes: list[Route] | None = None,
    engine: EngineTraits | None = None,
    teams: dict[str, Team] | None = None,
) -> Configuration:
    """Returns a configuration with a single service, `s`."""
    return Configuration(
        version=1,
        routes={"h": tuple(routes or [make_route()])},
        services={"s": Service("s", 40.0, engine)},
        teams_by_key=teams,
        limits=InputLimits(),
    )


def make_caller_request() -> CallerRequest:
    """Returns a decoded request for a plain call."""
    return CallerRequest(
        attempt_id="a1",
        method="GET",
        host="h",
        target="/a/x",
        path="/a/x",
        api_key=None,
        arrived_s=time.monotonic(),
        time_left_s=2.0,
        resume_after=None,
        generation=None,
        headers=(("host", "h"), ("x-savorylift-attempt-id", "a1")),
        body=b"",
    )


def make_admitted_request(
    req: CallerRequest | None = None,
    route: Route | None = None,
    engine: EngineTraits | None = None,
) -> AdmittedRequest:
    """Returns an admitted request for service `s`."""
    caller_request = req or make_caller_request()
    return AdmittedRequest(
        caller_request,
        route or make_route(),
        Service("s", 40.0, engine),
        None,
        2,
        caller_request.arrived_s + (caller_request.time_left_s or 2.0),
    )


def make_generation_request(
    prompt_tokens: int = 1000, output_tokens: int = 100
) -> CallerRequest:
    """Returns a decoded request for a generation."""
    return make_caller_request()._replace(
        method="POST",
        generation=Generation(prompt_tokens, output_tokens, output_tokens),
    )


def make_server_entry(server_id: str = "i-1") -> ServerEntry:
    """Returns the entry of a server that is not draining."""
    return ServerEntry(
        server_id,
        service="s",
        address=("127.0.0.1", 9),
        failure_domain="z1",
        slots=6,
        is_leaving=False,
        cold_s=0.0,
        started_ms=1,
        sequence=1,
    )


def make_server(server_id: str = "i-1") -> BackendServer:
    """Returns a registered server that is warm."""
    return BackendServer(make_server_entry(server_id), 0.0)


def encode_server_entry(
    port: int = 9, sequence: int = 1, state: str = "ready"
) -> bytes:
    """Returns a server's entry as encoded in the store."""
    values = {
        "service": "s",
        "address": f"127.0.0.1:{port}",
        "zone": "z1",
        "slots": 6,
        "state": state,
        "sequence": sequence,
        "born": 1,
    }
    return json.dumps(values).encode()


def make_store_view(**ports: int) -> StoreView:
    """Returns a store view of servers on loopback, given by ID and port."""
    store_view = StoreView(
        Decoders(
            decode_configuration,
            decode_server,
            CONFIGURATION_KEY,
            EVACUATION_PREFIX,
        )
    )
    changes = [
        Change(n, encode_server_entry(port)) for n, port in ports.items()
    ]
    store_view.replace_server_records(changes, 1)
    return store_view


def make_limit_gate(membership: Membership) -> LimitGate:
    """Returns the limit gate of a node that sends no messages."""
    rng = random.Random(1)
    issuer = PermitIssuer("127.0.0.1", membership, lambda: False, rng)
    return LimitGate(
        issuer,
        lambda _message, _ip: None,
        lambda: 1,
        lambda: 0.2,
        lambda _server_id: True,
        make_process_lookup(issuer),
        rng,
    )


def make_process_lookup(issuer: PermitIssuer) -> ProcessLookup:
    """Returns a lookup that knows no server."""
    return ProcessLookup(issuer, lambda _: None, lambda _: False, read_start)


def make_crash_guard(membership: Membership | None = None) -> CrashGuard:
    """Returns the crash guard of a single node."""
    known = membership or Membership("127.0.0.1", ())
    quarantine = RequestQuarantine("127.0.0.1")
    return CrashGuard(quarantine, known, lambda: None)


def make_pool(
    store_view: StoreView,
    membership: Membership | None = None,
    slack: float = 50.0,
    region_by_domain: dict[str, str] | None = None,
    rollouts: RolloutBoard | None = None,
) -> ServerPool:
    """Returns the server pool of a single node."""
    known = membership or Membership("127.0.0.1", ())
    rng = random.Random(1)
    return ServerPool(
        store_view,
        known,
        RetryBudget(RetryBudgetOptions(0.2, 10.0, slack)),
        rng,
        lambda: None,
        lambda: 0.2,
        region_by_domain or {},
        make_limit_gate(known),
        ServerHolds(rng),
        rollouts,
    )


def make_peer_state(number: int, requests: int) -> NodeState:
    """Returns the state of another node with requests at server `a`."""
    return state(number)._replace(
        ip=f"127.0.0.{number}",
        failure_domain=f"z{number}",
        caller_address=f"127.0.0.{number}:80",
        loads=(ServerLoad("a", requests, 0, 0, 0, 0),),
    )


def make_full_pool(
    peer_requests: tuple[int, int],
    silent_count: int = 0,
    *,
    is_cold: bool = True,
) -> ServerPool:
    """Returns the pool of a node that has used up its places at server `a`.

    Args:
        peer_requests: Requests of the other two nodes at the server.
        silent_count: Number of other nodes that are no longer heard.
        is_cold: Whether the server is cold.
    """
    now_s = time.monotonic()
    store_view = make_store_view(a=9)
    entry = store_view.registry.servers["a"].entry._replace(
        sequence=2,
        cold_s=60.0 if is_cold else 0.0,
        max_cold_requests=COLD_PLACES,
    )
    store_view.registry.put(entry, now_s)
    members = Membership("127.0.0.1", ())
    numbered = zip(PEER_NUMBERS, peer_requests, strict=True)
    for index, (number, requests) in enumerate(numbered):
        is_silent = index < silent_count
        heard_s = now_s - (LIVENESS_TIMEOUT_S + 1.0 if is_silent else 0.0)
        members.update_peer(make_peer_state(number, requests), heard_s)
    server_pool = make_pool(store_view, members)
    for number in range(COLD_PLACES // 3):
        server_pool.load_tracker.add_request("a", f"own-{number}", 0)
    return server_pool
