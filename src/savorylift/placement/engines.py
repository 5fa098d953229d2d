"""Chooses a model engine for a generation.

Answers the load of generations whose memory, not their number, fills an
engine: each counts with the tokens that it is expected to reach.
"""

import math
import random
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from savorylift.backends.registry import Known
from savorylift.backends.work import Load
from savorylift.exchange.request import Generation
from savorylift.routing.configuration import EngineTraits

# Runs that grow beyond what was expected need some room.
FILL = 0.95
# Prompts that wait to be read delay the next one's first event.
UNREAD_COST = 2.0
# Without a caller's estimate: share of the output limit.
DEFAULT_OUTPUT = 0.4
# Spread of equal choices over engines, as a share of an engine.
JITTER = 0.03


class EngineOptions(NamedTuple):
    """What a choice looks at beside the engines' loads.

    Attributes:
        traits: What the service's engines can do.
        tokens: Tokens that the generation is expected to reach.
        prompt: Tokens of its prompt.
        most_unread: Prompt tokens that an engine may have before it, this
            generation's included, for a first event in time.
        near: Failure domain whose engines are preferred, if any.
        far_cost: What another failure domain costs, as a share of an engine.
        jitter: Spread of nearly equal choices, as a share of an engine.
    """

    traits: EngineTraits
    tokens: int
    prompt: int = 0
    most_unread: float = math.inf
    near: str | None = None
    far_cost: float = 0.0
    jitter: float = JITTER


def expected_tokens(generation: Generation) -> int:
    """Returns the tokens that a generation is expected to reach."""
    limit = generation.max_output_tokens
    hint = generation.output_hint
    output = DEFAULT_OUTPUT * limit if hint is None else min(hint, limit)
    return generation.prompt_tokens + int(output)


def choose_engine(
    candidates: Iterable[Known],
    loads: Mapping[str, Load],
    options: EngineOptions,
    rng: random.Random,
) -> Known | None:
    """Returns the engine with most room, or None if none has enough."""
    room = [
        server
        for server in candidates
        if has_room(loads.get(server.entry.server_id, Load()), options)
    ]
    return choose_refuge(room, loads, options, rng)


def choose_refuge(
    candidates: Iterable[Known],
    loads: Mapping[str, Load],
    options: EngineOptions,
    rng: random.Random,
) -> Known | None:
    """Returns the engine with most room, whether or not it is enough."""

    def cost(server: Known) -> tuple[bool, float]:
        load = loads.get(server.entry.server_id, Load())
        fill = load.tokens / options.traits.memory_tokens
        fill += UNREAD_COST * load.unread / options.traits.memory_tokens
        if options.near not in (None, server.entry.failure_domain):
            fill += options.far_cost
        return load.is_grey, fill + rng.uniform(0, options.jitter)

    return min(candidates, key=cost, default=None)


def has_room(load: Load, options: EngineOptions) -> bool:
    """Whether an engine can take the generation without preempting."""
    if load.requests >= options.traits.slots:
        return False
    if load.requests == 0:
        return True
    if load.unread and load.unread + options.prompt > options.most_unread:
        return False
    limit = options.traits.memory_tokens * FILL
    return load.tokens + options.tokens <= limit
