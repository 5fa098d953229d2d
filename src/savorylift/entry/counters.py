"""Counters of the callers' face."""

from prometheus_client import Counter

REQUESTS = Counter(
    "savorylift_requests",
    "Callers' requests by what came of them.",
    ["outcome"],
)
REFUSALS = Counter(
    "savorylift_refusals",
    "Refused requests by reason and ending.",
    ["reason", "ending"],
)
