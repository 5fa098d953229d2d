"""Prometheus metrics of a node's own process."""

from savorylift.metric import Counter, Histogram

TASK_FAILURES = Counter(
    "savorylift_front_task_failures",
    "Background tasks that ended with an exception, by what they do.",
    ["task"],
)
ADDRESSES_HELD = Counter(
    "savorylift_front_addresses_held",
    "Sockets that could not be opened when the node started, as somebody held"
    " their address.",
    ["socket"],
)
CALLBACK_FAILURES = Counter(
    "savorylift_front_callback_failures",
    "Callbacks of the event loop that ended with an exception.",
)
LOOP_HELD = Histogram(
    "savorylift_front_loop_held_seconds",
    "Longest turn of the event loop in each interval of maintenance.",
    buckets=(0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0),
)
