"""Counters of the permits slice."""

from prometheus_client import CollectorRegistry, Counter, Histogram


class Tally:
    """Prometheus counters; one instance a node."""

    def __init__(self, registry: CollectorRegistry | None = None) -> None:
        """Registers the counters with `registry`, by default its own."""
        registry = registry or CollectorRegistry()
        self.registry = registry
        self.grants = self._counter("grants", "Permits granted.", "cold")
        self.denials = self._counter("denials", "Denied.", "reason")
        self.refusals = self._counter("refusals", "Refused.", "reason")
        self.retries = self._counter("retries", "Asked anew.", "cause")
        self.ended = self._counter("ended", "Ended by a keeper.", "cause")
        self.cold_falls = self._counter("cold_falls", "To cold.", "cause")
        self.handovers = self._counter("handovers", "Lots acquired.", "way")
        self.unused = self._counter("unused_grants", "Returned.", "cause")
        self.forwards = Counter(
            "savorylift_permit_forwards",
            "Requests moved to another keeper with room.",
            registry=registry,
        )
        self.wait_s = Histogram(
            "savorylift_permit_wait_seconds",
            "Time from request to permit.",
            registry=registry,
        )

    def _counter(self, name: str, text: str, label: str) -> Counter:
        full_name = f"savorylift_permit_{name}"
        return Counter(full_name, text, [label], registry=self.registry)
