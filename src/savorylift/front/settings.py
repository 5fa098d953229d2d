"""Settings of one front node."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Literal, NamedTuple

from savorylift.settings import Address, Count, Name, Seconds, Secret, Tls


class FrontSettings(NamedTuple):
    """Where a node listens and what bounds it.

    Attributes:
        vm: Name of the VM.
        region: Where it runs.
        failure_domain: Where in the region.
        caller_listen: Address for callers.
        directory_listen: Address of the directory.
        readiness_listen: Address at which the platform asks for readiness.
        peer_port: Port for other nodes, datagrams and connections.
        metrics_port: Port of the metrics.
        store: Address of the platform's store.
        seeds: Addresses of other VMs, whatever the port; may be stale.
        grace_period_s: Time from SIGTERM to SIGKILL.
        regions: Region of each failure domain.
        retry_ratio: Repeats for each request, of all nodes together.
        retry_window_s: Sliding window of that ratio.
        retry_slack: Repeats in a window beyond the ratio.
        entry_ttl_max_s: Longest time that callers keep an answer.
        interface: What callers and backend servers speak: the platform's
            form, or completions by model under a rules file.
        caller_tls: Files of the callers' listener; None for plain HTTP.
        peer_keys: Secrets that mark messages between nodes, the first for
            sending; none for networks that only nodes are in.
        most_open: Requests that are served at once; more are refused.
        request_timeout_s: Bound on a request that names no other.
        log_lines_per_s: Log lines of one kind a second; more are counted.
    """

    vm: Name
    region: Name
    failure_domain: Name
    caller_listen: Address
    directory_listen: Address
    readiness_listen: Address
    peer_port: Count
    metrics_port: Count
    store: Address
    seeds: tuple[Address, ...]
    grace_period_s: Seconds
    retry_ratio: float
    retry_window_s: Seconds
    retry_slack: float
    entry_ttl_max_s: Seconds
    regions: Mapping[Name, Name] = MappingProxyType({})
    interface: Literal["platform", "completions"] = "platform"
    caller_tls: Tls | None = None
    peer_keys: tuple[Secret, ...] = ()
    most_open: Count = 2000
    request_timeout_s: Seconds = 60.0
    log_lines_per_s: Count = 200

    def shown(self) -> dict[str, object]:
        """Returns the settings without secrets, for logs."""
        return self._asdict() | {"peer_keys": len(self.peer_keys)}
