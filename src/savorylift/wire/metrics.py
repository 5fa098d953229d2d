"""Prometheus metrics of connections."""

from prometheus_client import Counter

ANSWERS_UNREADABLE = Counter(
    "savorylift_wire_answers_unreadable",
    "Answers that are none, as their head is not one of HTTP/1, by what is"
    " wrong with it.",
    ["fault"],
)
