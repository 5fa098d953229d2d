"""What a model engine is told: settings, faults and requests."""

import msgspec

from tests.standins.control import Settings


class EngineSettings(Settings):
    """Capacity and faults of a model engine.

    Attributes:
        model: Model that is loaded.
        version: Version of it.
        interval_s: Time between the tokens of a running generation.
        first_token_s: Least time from start to first token.
        prefill_s: Additional time for each prompt token not cached.
        kv_tokens: Tokens that the memory holds.
        max_running: Generations that run at once; others wait.
        max_waiting: Waiting generations; past it 503 `overloaded`.
        min_length: Least output length drawn.
        max_length: Largest output length drawn.
        cached_prefixes: Prompt prefixes that the cache holds.
        cold_limit: Unfinished generations it bears while cold.
        starts_cold: True starts each incarnation cold.
        cold_requests: Completed generations until it is warm; 0 for none.
        cold_s: Seconds until it is warm; 0 for none.
        cold_factor: How much longer a first token takes while cold.
        cold_grace_s: Time after `turn_cold` without falling over.
        restart_s: Time without answers after it fell over.
        load_lag_s: Age of the load report.
        cache_lag_s: Age of the newest cache event shown.
        cache_gap_share: Share of cache events never shown.
        order_s: Time that an order takes.
        checks_fencing: True refuses orders with an old fencing number.
        nondeterministic: True draws other tokens for each generation.
        stall: True stops all tokens.
        silence_open: One-shot: open connections go silent for good.
        drop_connections: One-shot: cuts open connections.
        turn_cold: One-shot: cold again, in the same incarnation.
        hides_cold: True reports warm while cold.
        leaving: True refuses new generations with 503 `leaving`.
        die_s: One-shot: time without answers before a new incarnation;
            below 0 until `revive`.
        revive: One-shot: ends a `die_s` below 0.
        hang_when_dead: True leaves connections open and unanswered, dead.
        wrong_ids: Number of next generations whose events carry a wrong id.
        cross_answers: Number of next generations that swap answers with
            another one.
        lose_answers: Number of next generations that run unanswered.
        seed: Seed of the random choices.
    """

    model: str = "m"
    version: str = "v1"
    interval_s: float = 0.033
    first_token_s: float = 0.05
    prefill_s: float = 0.0001
    kv_tokens: int = 8192
    max_running: int = 64
    max_waiting: int = 256
    min_length: int = 8
    max_length: int = 256
    cached_prefixes: int = 32
    cold_limit: int = 4
    starts_cold: bool = True
    cold_requests: int = 8
    cold_s: float = 0.0
    cold_factor: float = 4.0
    cold_grace_s: float = 0.0
    restart_s: float = 1.0
    load_lag_s: float = 0.5
    cache_lag_s: float = 1.0
    cache_gap_share: float = 0.1
    order_s: float = 0.0
    checks_fencing: bool = True
    nondeterministic: bool = False
    stall: bool = False
    silence_open: bool = False
    drop_connections: bool = False
    turn_cold: bool = False
    hides_cold: bool = False
    leaving: bool = False
    die_s: float = 0.0
    revive: bool = False
    hang_when_dead: bool = False
    wrong_ids: int = 0
    cross_answers: int = 0
    lose_answers: int = 0
    seed: int = 1


class Ask(msgspec.Struct, frozen=True, kw_only=True):
    """Body of a request for a generation."""

    model: str
    version: str
    prompt: str
    max_tokens: int
    generation_id: str
    seed: int = 0
    stream: bool = True
    priority: int = 0
    team: str = ""
