"""Counters of the generation slice."""

from prometheus_client import Counter, Histogram

RESUMES = Counter(
    "savorylift_stream_resumes",
    "New connections to an engine for a running generation, by cause.",
    ["cause"],
)
REPLAYS = Counter(
    "savorylift_stream_replays",
    "Generations started anew on another engine, by cause.",
    ["cause"],
)
RESTARTS = Counter(
    "savorylift_stream_restarts",
    "Answers started over because a replay differed.",
)
GENERATIONS = Counter(
    "savorylift_generations",
    "Generations by how they ended.",
    ["end"],
)
TOKENS = Counter(
    "savorylift_tokens",
    "Tokens delivered to callers.",
)
FIRST_TOKEN = Histogram(
    "savorylift_first_token_seconds",
    "Time from dispatch to the first token.",
    buckets=(0.05, 0.1, 0.2, 0.33, 0.66, 1.0, 2.0, 5.0, 10.0),
)
