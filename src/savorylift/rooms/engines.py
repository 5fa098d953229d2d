"""Which of a service's engines a waiting generation may get.

They are ranked as by the nodes themselves (`placement/engines.py`).
"""

import math
import random
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from typing import NamedTuple

from savorylift.backends.load import Load
from savorylift.backends.registry import BackendServer
from savorylift.fleet.room_messages import RoomRequest
from savorylift.placement.engines import (
    EngineOptions,
    choose_least_loaded_engine,
    free_tokens,
    has_room,
)
from savorylift.placement.server_speed import usual_speed
from savorylift.routing.configuration import EngineTraits


class Engines(NamedTuple):
    """The engines of a service that may get generations.

    Attributes:
        servers: The engines.
        traits: Their capabilities.
        known: Their loads as the nodes' messages say.
        region_by_domain: Region of each failure domain.
        prefill_per_s: Prompt tokens that each prefills in a second.
        slowdown: Returns how much longer than usual an engine takes, by its ID.
    """

    servers: Sequence[BackendServer]
    traits: EngineTraits
    known: Mapping[str, Load]
    region_by_domain: Mapping[str, str]
    prefill_per_s: float
    slowdown: Callable[[str], float] = usual_speed


def find_most_room(engines: Engines, loads: Mapping[str, Load]) -> float:
    """Returns the most tokens with which a generation fits at any engine."""
    found = [loads[server.entry.server_id] for server in engines.servers]
    # As in `has_room`, an idle engine takes any generation.
    if any(load.requests == 0 for load in found):
        return math.inf
    return max((free_tokens(load, engines.traits) for load in found), default=0)


def choose_allowed(
    req: RoomRequest,
    engines: Engines,
    loads: Mapping[str, Load],
    rng: random.Random,
) -> BackendServer | None:
    """Returns an engine with room, or None."""
    options = _engine_options(req, engines)
    with_room = [
        server
        for server in engines.servers
        if has_room(loads[server.entry.server_id], options)
    ]
    if not with_room:
        return None
    allowed = list(_find_allowed(req, with_room, engines.region_by_domain))
    preferred = [s for s in allowed if s.entry.server_id not in req.spare]
    found = preferred or allowed
    return choose_least_loaded_engine(found, loads, options, rng)


def without_kept_engine(
    req: RoomRequest, engines: Engines, loads: Mapping[str, Load]
) -> Engines:
    """Returns the engines but the one that is kept free for a generation.

    That is the emptiest of those that may run it. Nothing in the choice is
    random: the same one is kept until the generation fits there.
    """

    def fullness(server: BackendServer) -> tuple[bool, int]:
        load = loads[server.entry.server_id]
        return load.is_unhealthy, load.tokens

    allowed = _find_allowed(req, engines.servers, engines.region_by_domain)
    kept = min(allowed, key=fullness, default=None)
    others = [server for server in engines.servers if server is not kept]
    return engines._replace(servers=others)


def has_allowed(req: RoomRequest, engines: Engines) -> bool:
    """Whether any engine may run a generation, with room or without."""
    allowed = _find_allowed(req, engines.servers, engines.region_by_domain)
    return any(True for _ in allowed)


def _find_allowed(
    req: RoomRequest,
    servers: Iterable[BackendServer],
    region_by_domain: Mapping[str, str],
) -> Iterator[BackendServer]:
    """Yields the engines that may run a generation, full ones included."""
    for server in servers:
        entry = server.entry
        if entry.server_id in req.excluded:
            continue
        if req.software_version not in (None, entry.software_version):
            continue
        region = region_by_domain.get(entry.failure_domain)
        if req.regions is None or region in req.regions:
            yield server


def _engine_options(req: RoomRequest, engines: Engines) -> EngineOptions:
    return EngineOptions(
        engines.traits,
        req.tokens,
        req.prompt_tokens,
        req.max_prefill_tokens,
        slowdown=engines.slowdown,
    )
