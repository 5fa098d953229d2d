"""Metrics of the rules stream on this node."""

import enum

import prometheus_client


class RulesEvent(enum.StrEnum):
    """Events of the rules stream that are counted."""

    LOG_FAULT = "log_fault"
    GAP = "gap"
    PEER_RECORDS = "peer_records"
    PEER_STATE = "peer_state"
    PEER_FAULT = "peer_fault"
    APPEND_RETRY = "append_retry"
    SNAPSHOT = "snapshot"
    ORDER_DROPPED = "order_dropped"


class RulesCounters:
    """Counts events and shows what is in force; once for a registry."""

    def __init__(self, registry: prometheus_client.CollectorRegistry) -> None:
        """Registers the metrics with `registry`."""
        self._events = prometheus_client.Counter(
            "savorylift_rules_events",
            "Events of the rules stream.",
            ["event"],
            registry=registry,
        )
        self._offset = prometheus_client.Gauge(
            "savorylift_rules_offset",
            "Newest log offset folded in.",
            registry=registry,
        )
        self._version = prometheus_client.Gauge(
            "savorylift_rules_version",
            "Log offset of the accepted edit in force.",
            registry=registry,
        )
        self._pending = prometheus_client.Gauge(
            "savorylift_rules_pending_orders",
            "Orders that may not be on the log yet.",
            registry=registry,
        )

        self._unread = prometheus_client.Gauge(
            "savorylift_rules_unread_lines",
            "Lines of the version in force that this release can't read.",
            registry=registry,
        )

    def show_unread(self, lines: int) -> None:
        """Sets the number of lines that are left out."""
        self._unread.set(lines)

    def count(self, event: RulesEvent) -> None:
        """Counts one event."""
        self._events.labels(event.value).inc()

    def show(self, offset: int, version: int, pending: int) -> None:
        """Sets the gauges."""
        self._offset.set(offset)
        self._version.set(version)
        self._pending.set(pending)
