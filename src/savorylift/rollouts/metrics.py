"""Prometheus metrics of roll-outs."""

from savorylift.metric import Counter

STAGES = Counter(
    "savorylift_rollout_stages",
    "Stages of roll-outs that this node has decided on, by phase.",
    ["phase"],
)
REQUESTS = Counter(
    "savorylift_rollout_requests",
    "Requests that were sent while their service was rolled out, by version.",
    ["version"],
)
STOPS = Counter(
    "savorylift_rollout_stops",
    "Roll-outs in which this node stopped by itself.",
)
