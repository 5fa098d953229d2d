"""Chooses a model engine for a generation.

What limits an engine is the memory of its generations (the KV cache) rather
than their number. So each generation counts with the tokens that it is
expected to reach.
"""

import math
import random
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from savorylift.backends.load import Load
from savorylift.backends.registry import BackendServer
from savorylift.exchange.request import Generation
from savorylift.placement.server_speed import usual_speed
from savorylift.routing.configuration import EngineTraits

# Largest share of an engine's memory that is assigned to runs. The rest is
# headroom for runs that outgrow their estimate.
MAX_MEMORY_SHARE = 0.95
# Weight of prompt tokens that await prefill, in addition to the memory that
# they take: they delay the first event of the next generation.
PREFILL_WEIGHT = 2.0
# Expected output as a share of the output limit, if the caller sends no
# estimate.
DEFAULT_OUTPUT_RATIO = 0.4
# Cost of an idle engine, as a share of an engine's memory: one that takes twice
# as long is chosen before a usual one that has so much more.
IDLE_COST = 0.3
# Spreads nearly equal choices over engines, as a share of an engine's memory.
JITTER = 0.03


class EngineOptions(NamedTuple):
    """What the choice of an engine depends on besides the engines' loads.

    Attributes:
        traits: Capabilities of the service's engines.
        tokens: Tokens that the generation is expected to reach.
        prompt_tokens: Tokens of its prompt.
        max_prefill_tokens: Most prompt tokens that may await prefill at an
            engine, including this prompt, for the first event to be on time.
        preferred_domain: Failure domain whose engines are preferred, if any.
        cross_domain_cost: Cost of an engine in another failure domain, as a
            share of an engine's memory.
        jitter: Largest random cost, which spreads nearly equal choices, as a
            share of an engine's memory.
        slowdown: Returns how much longer than usual an engine takes, by its ID.
    """

    traits: EngineTraits
    tokens: int
    prompt_tokens: int = 0
    max_prefill_tokens: float = math.inf
    preferred_domain: str | None = None
    cross_domain_cost: float = 0.0
    jitter: float = JITTER
    slowdown: Callable[[str], float] = usual_speed


def expected_tokens(generation: Generation) -> int:
    """Returns the tokens that a generation is expected to reach.

    The prompt is included.
    """
    limit = generation.max_output_tokens
    hint = generation.output_hint
    output = DEFAULT_OUTPUT_RATIO * limit if hint is None else min(hint, limit)
    return generation.prompt_tokens + int(output)


def choose_engine(
    candidates: Iterable[BackendServer],
    loads: Mapping[str, Load],
    options: EngineOptions,
    rng: random.Random,
) -> BackendServer | None:
    """Returns the least loaded engine with room, or None if none has room."""
    with_room = [
        server
        for server in candidates
        if has_room(loads.get(server.entry.server_id, Load()), options)
    ]
    return choose_least_loaded_engine(with_room, loads, options, rng)


def choose_least_loaded_engine(
    candidates: Iterable[BackendServer],
    loads: Mapping[str, Load],
    options: EngineOptions,
    rng: random.Random,
) -> BackendServer | None:
    """Returns the least loaded engine, whether or not it has enough room.

    Unhealthy engines are used only if there are no others.
    """

    def cost(server: BackendServer) -> tuple[bool, float]:
        load = loads.get(server.entry.server_id, Load())
        total_cost = load.tokens / options.traits.memory_tokens
        total_cost += (
            PREFILL_WEIGHT * load.prefill_tokens / options.traits.memory_tokens
        )
        if options.preferred_domain not in (None, server.entry.failure_domain):
            total_cost += options.cross_domain_cost
        slowdown = options.slowdown(server.entry.server_id)
        total_cost = slowdown * (IDLE_COST + total_cost)
        return load.is_unhealthy, total_cost + rng.uniform(0, options.jitter)

    return min(candidates, key=cost, default=None)


def has_room(load: Load, options: EngineOptions) -> bool:
    """Returns whether an engine can take the generation without preemption.

    An idle engine is always accepted: the engine itself rejects a generation
    that exceeds its memory.
    """
    if load.requests >= options.traits.slots:
        return False
    if load.requests == 0:
        return True
    if (
        load.prefill_tokens
        and load.prefill_tokens + options.prompt_tokens
        > options.max_prefill_tokens
    ):
        return False
    return options.tokens <= free_tokens(load, options.traits)


def free_tokens(load: Load, traits: EngineTraits) -> float:
    """Returns the memory of an engine that generations may be assigned."""
    return traits.memory_tokens * MAX_MEMORY_SHARE - load.tokens


def count_free_tokens(loads: Iterable[Load], traits: EngineTraits) -> int:
    """Returns the memory that generations may be assigned at all engines."""
    return sum(max(int(free_tokens(load, traits)), 0) for load in loads)
