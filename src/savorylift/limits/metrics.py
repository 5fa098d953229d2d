"""Prometheus metrics of the limits that backend servers name."""

from savorylift.metric import Counter, Gauge

PERMITS = Counter(
    "savorylift_front_permits",
    "Requests for which a limited backend server needed a permit.",
    ["outcome"],
)
LIMITED_SERVERS = Gauge(
    "savorylift_front_limited_servers",
    "Backend servers that name a limit on their requests.",
)
PROCESS_QUESTIONS = Counter(
    "savorylift_front_process_questions",
    "Limited servers that this node asked for all when they started.",
)
