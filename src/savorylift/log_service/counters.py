"""Counters of requests to the platform that got no usable answer."""

import prometheus_client


class PlatformCounters:
    """Counts faults by service and reason; made once for a registry."""

    def __init__(self, registry: prometheus_client.CollectorRegistry) -> None:
        """Registers the counters with `registry`."""
        self._faults = prometheus_client.Counter(
            "savorylift_platform_faults",
            "Requests to the platform without a usable answer.",
            ["service", "reason"],
            registry=registry,
        )

    def count(self, service: str, reason: str) -> None:
        """Counts one fault of `service`, such as `log` and `timeout`."""
        self._faults.labels(service, reason).inc()
