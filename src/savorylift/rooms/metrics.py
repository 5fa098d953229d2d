"""Prometheus metrics of the keeper of engines' room."""

from savorylift.metric import Counter, Gauge

ROOM_REPLIES = Counter(
    "savorylift_front_room_replies",
    "Replies of this node as the keeper of engines' room.",
    ["outcome"],
)
ROOM_WAITING = Gauge(
    "savorylift_front_room_waiting",
    "Generations of all nodes that wait at this node as the keeper of room.",
)
