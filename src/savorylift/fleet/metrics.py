"""Prometheus metrics of the exchange of state between nodes."""

from savorylift.metric import Counter, Histogram

LATENCY_BUCKETS_S = (0.01, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 4.0)

SNAPSHOTS_SENT = Counter(
    "savorylift_fleet_snapshots_sent", "Snapshots sent to other nodes."
)
SNAPSHOTS_REFERRED = Counter(
    "savorylift_fleet_snapshots_referred",
    "Snapshot requests that were referred to other nodes.",
)
SNAPSHOT_BYTES_SENT = Counter(
    "savorylift_fleet_snapshot_bytes_sent", "Bytes of those snapshots."
)
SNAPSHOT_TIME = Histogram(
    "savorylift_fleet_snapshot_seconds",
    "Time to fetch a snapshot from another node.",
    buckets=LATENCY_BUCKETS_S,
)
DELTAS = Counter(
    "savorylift_fleet_deltas", "Deltas sent or received.", ["outcome"]
)
MESSAGE_FAILURES = Counter(
    "savorylift_fleet_message_failures",
    "Messages between nodes on which this node failed.",
)
STATE_QUERIES = Counter(
    "savorylift_fleet_state_queries",
    "Queries of nodes that missed the base of a patch.",
)
SILENCED = Counter(
    "savorylift_fleet_silenced_peers",
    "Nodes taken for silent because several watchers miss them.",
)
STORED_VERSIONS = Counter(
    "savorylift_fleet_stored_version_readings",
    "Readings of the software versions that the store knows.",
    ["outcome"],
)
LOOP_DELAY = Histogram(
    "savorylift_fleet_loop_delay_seconds",
    "How late the event loop runs a periodic task.",
    buckets=LATENCY_BUCKETS_S,
)
