"""Prometheus metrics of a node's own process."""

from savorylift.metric import Counter

TASK_FAILURES = Counter(
    "savorylift_front_task_failures",
    "Background tasks that ended with an exception, by what they do.",
    ["task"],
)
CALLBACK_FAILURES = Counter(
    "savorylift_front_callback_failures",
    "Callbacks of the event loop that ended with an exception.",
)
