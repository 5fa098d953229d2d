"""Prometheus metrics of a node's own process."""

from savorylift.metric import Counter

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
