"""Counters of the account; refusals themselves are counted at the entry."""

from prometheus_client import Counter, Gauge

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
