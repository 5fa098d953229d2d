"""Settings, injected faults and requests of the simulated engine."""

import msgspec

from tests.standins.control import Settings


class EngineSettings(Settings):
    """Capacity and injected faults of a model engine.

    Attributes:
        model: Name of the loaded model.
        version: Version of the loaded model.
        interval_s: Time between the tokens of a running generation.
        first_token_s: Minimum time to first token.
        prefill_s: Prefill time for each prompt token that is not cached.
        kv_tokens: Capacity of the KV cache in tokens.
        max_running: Maximum number of generations in the batch.
        max_waiting: Maximum number of queued generations; further ones get
            503 `overloaded`.
        min_length: Minimum of the random output length in tokens.
        max_length: Maximum of the random output length in tokens.
        cached_prefixes: Capacity of the prefix cache in prompt prefixes.
        cold_limit: Maximum number of unfinished generations while cold; one
            more crashes the engine.
        starts_cold: Whether each incarnation starts cold.
        cold_requests: Completed generations that end a cold phase; 0 disables
            this condition.
        cold_s: Seconds that end a cold phase; 0 disables this condition.
        cold_factor: Multiplier of the time to first token while cold.
        cold_grace_s: Time after `turn_cold` during which an excess of
            `cold_limit` does not crash the engine.
        restart_s: Downtime after a crash from an excess of `cold_limit`.
        load_lag_s: Age of the load report that callers get.
        cache_lag_s: Age of the newest cache event that callers get.
        cache_gap_share: Share of cache events that are lost, from 0 to 1.
        order_s: Time that an order to change the model or version takes.
        checks_fencing: Whether orders with a stale fencing number are refused.
        nondeterministic: Whether equal requests get different tokens.
        stall: Whether all generations stop producing tokens.
        silence_open: One-shot: open connections permanently stop reading and
            writing.
        drop_connections: One-shot: aborts open connections.
        turn_cold: One-shot: starts a cold phase in the same incarnation.
        hides_cold: Whether the engine reports itself as warm while cold.
        leaving: Whether the engine drains: it refuses new generations with
            503 `leaving`.
        says_leaving: Whether the engine says in all its answers that it
            leaves.
        retry_after: For how long it wants nothing, as its 503 answers say; None
            not to say.
        die_s: One-shot: crashes the engine for this long, after which a new
            incarnation answers; a negative value means until `revive`.
        revive: One-shot: ends the downtime of a crash.
        hang_when_dead: Whether connections hang instead of being aborted while
            the engine is down.
        wrong_ids: Number of upcoming generations whose events carry a wrong id.
        cross_answers: Number of upcoming generations whose events go to the
            caller of another generation and vice versa.
        lose_answers: Number of upcoming generations that run although the
            connection is aborted without a response.
        seed: Seed for the choice of lost cache events.
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
    says_leaving: bool = False
    retry_after: str | None = None
    die_s: float = 0.0
    revive: bool = False
    hang_when_dead: bool = False
    wrong_ids: int = 0
    cross_answers: int = 0
    lose_answers: int = 0
    seed: int = 1


class CompletionRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Body of `POST /v1/completions`."""

    model: str
    version: str
    prompt: str
    max_tokens: int
    generation_id: str
    seed: int = 0
    stream: bool = True
    priority: int = 0
    team: str = ""
