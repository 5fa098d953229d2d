"""Counters of the refusals slice."""

from prometheus_client import Counter, Gauge

REFUSALS = Counter(
    "savorylift_refusals",
    "Requests that ended without an answer.",
    ["ending", "reason"],
)
COPIES = Counter(
    "savorylift_refusal_copies", "Copies sent to peers.", ["result"]
)
APPENDS = Counter(
    "savorylift_refusal_appends", "Appends of refusal records.", ["result"]
)
PENDING = Gauge(
    "savorylift_refusals_pending", "Refusals that are not on the log yet."
)
DROPPED = Counter(
    "savorylift_refusals_dropped", "Refusals lost because no room was left."
)
