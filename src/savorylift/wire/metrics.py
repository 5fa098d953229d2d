"""Prometheus metrics of connections."""

from savorylift.metric import Counter, Gauge

ANSWERS_UNREADABLE = Counter(
    "savorylift_wire_answers_unreadable",
    "Answers that are not valid HTTP/1, by what is wrong with them.",
    ["fault"],
)
BODIES_DISPLACED = Counter(
    "savorylift_wire_bodies_displaced",
    "Waiting bodies that gave way to one of a team with less in the queue.",
)
RESPONSE_BUFFER_BYTES = Gauge(
    "savorylift_wire_response_buffer_bytes",
    "Bytes in use by responses that are read whole and by unfinished events.",
)
ACCEPTS_PAUSED = Counter(
    "savorylift_wire_accepts_paused",
    "Times that accepting paused, as the process had no descriptor left.",
)
CONNECTIONS_OPENED = Counter(
    "savorylift_wire_connections_opened",
    "Connections that this node opened or tried to open, by purpose.",
    ["purpose"],
)
CONNECTIONS_CLOSED = Counter(
    "savorylift_wire_connections_closed",
    "Connections closed or refused for the sake of others, by listener and by"
    " what they waited for.",
    ["listener", "reason"],
)
UPLOADS_CLOSED = Counter(
    "savorylift_wire_uploads_closed",
    "Connections closed as their body came too slowly for the memory left.",
)
ANSWERS_UNREAD = Counter(
    "savorylift_wire_answers_unread",
    "Connections closed as nothing of an answer was read for the idle"
    " time-out.",
)
