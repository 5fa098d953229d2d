"""Values and fakes for tests of requests."""

import json
import random
import time

from savorylift.backends.registry import Known
from savorylift.backends.server import ServerEntry
from savorylift.exchange.admission import Admitted
from savorylift.exchange.budget import BudgetOptions, RetryBudget
from savorylift.exchange.pool import Pool
from savorylift.exchange.request import CallerRequest, Generation
from savorylift.fleet.knowledge import Decoders, Knowledge
from savorylift.fleet.membership import Membership
from savorylift.fleet.state import Change
from savorylift.platform.backend_servers import decode_server
from savorylift.platform.configuration import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    decode_configuration,
)
from savorylift.routing.configuration import (
    Configuration,
    EngineTraits,
    Kind,
    Route,
    Service,
    Target,
    Team,
)
from savorylift.wire.server_connection import InputLimits

ENGINE = EngineTraits(
    slots=8,
    memory_tokens=10_000,
    token_bytes=35_000.0,
    link_bytes_per_s=637_500_000.0,
    can_move=True,
    tokens_per_event=4,
)


def route() -> Route:
    """Returns a route of an idempotent plain call."""
    return Route(
        name="r",
        host="h",
        path_prefix="/a/",
        kind=Kind.IDEMPOTENT,
        targets=(Target("s", 1.0),),
        timeout_s=2.0,
        objective_s=0.4,
        max_servers=2,
        priority=2,
        is_public=False,
        can_resume=False,
        gap_objective_s=None,
    )


def configuration(
    routes: list[Route] | None = None,
    engine: EngineTraits | None = None,
    teams: dict[str, Team] | None = None,
) -> Configuration:
    """Returns a configuration with one service `s`."""
    return Configuration(
        version=1,
        routes={"h": tuple(routes or [route()])},
        services={"s": Service("s", 40.0, engine)},
        teams_by_key=teams,
        limits=InputLimits(),
    )


def request() -> CallerRequest:
    """Returns a caller's request."""
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


def admitted(
    req: CallerRequest | None = None,
    used: Route | None = None,
    engine: EngineTraits | None = None,
) -> Admitted:
    """Returns a request that was let in."""
    asked = req or request()
    return Admitted(
        asked,
        used or route(),
        Service("s", 40.0, engine),
        None,
        2,
        asked.arrived_s + (asked.time_left_s or 2.0),
    )


def generation(prompt: int = 1000, output: int = 100) -> CallerRequest:
    """Returns a request for a generation."""
    return request()._replace(
        method="POST", generation=Generation(prompt, output, output)
    )


def entry(server_id: str = "i-1") -> ServerEntry:
    """Returns a server's entry."""
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


def known(server_id: str = "i-1") -> Known:
    """Returns a server that is not cold."""
    return Known(entry(server_id), 0.0)


def server_value(port: int = 9, sequence: int = 1) -> bytes:
    """Returns a server's entry as it stands in the store."""
    values = {
        "service": "s",
        "address": f"127.0.0.1:{port}",
        "zone": "z1",
        "slots": 6,
        "state": "ready",
        "sequence": sequence,
        "born": 1,
    }
    return json.dumps(values).encode()


def knowledge(**ports: int) -> Knowledge:
    """Returns knowledge of servers that listen on loopback, by name."""
    known = Knowledge(
        Decoders(
            decode_configuration,
            decode_server,
            CONFIGURATION_KEY,
            EVACUATION_PREFIX,
        )
    )
    changes = [Change(n, server_value(port)) for n, port in ports.items()]
    known.list_servers(changes, 1)
    return known


def pool(
    beliefs: Knowledge,
    membership: Membership | None = None,
    slack: float = 50.0,
    region_of: dict[str, str] | None = None,
) -> Pool:
    """Returns a pool over what is believed, for one node."""
    return Pool(
        beliefs,
        membership or Membership("127.0.0.1", ()),
        RetryBudget(BudgetOptions(0.2, 10.0, slack)),
        random.Random(1),
        lambda: None,
        lambda: 0.2,
        region_of or {},
    )
