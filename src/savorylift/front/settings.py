"""Settings of one front node."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Annotated, Literal, NamedTuple

import msgspec

from savorylift.settings import (
    Address,
    Name,
    PositiveInt,
    Seconds,
    Secret,
    TlsSettings,
)


class FrontSettings(NamedTuple):
    """Addresses, limits and secrets of a front node.

    Attributes:
        vm: Name of the VM.
        region: Region of the VM.
        failure_domain: Failure domain of the VM within the region.
        caller_listen: Address that accepts callers' requests.
        directory_listen: Address of the directory, which tells callers where
            to connect.
        readiness_listen: Address of the platform's readiness check.
        peer_port: UDP and TCP port for messages between nodes.
        metrics_port: Port of metrics and status.
        store: Address of the platform's store.
        seeds: Addresses of other VMs for discovery; the ports are ignored,
            and entries may be stale.
        grace_period_s: Time from SIGTERM to SIGKILL.
        regions: Region of each failure domain.
        retry_ratio: Retries allowed per request, over all nodes.
        retry_window_s: Sliding window to which the ratio applies.
        retry_slack: Retries allowed in a window on top of the ratio.
        entry_ttl_max_s: Upper bound on the TTL of addresses that callers get.
        rollout_share: Share of a service's requests that a new software version
            may get before it is known to be sound; None to let operators order
            no roll-outs.
        rollout_slack: Requests that it may get on top of that share.
        rollback_ms: Time in milliseconds within which a bad version must get
            no more requests.
        interface: Protocol for callers and backend servers: the platform's
            own, or completions by model with a rules file.
        caller_tls: TLS files of the callers' listener; None for plain HTTP.
        peer_keys: Secrets that authenticate messages between nodes: the first
            one signs, all are accepted. Empty if only nodes can reach the
            network.
        most_open: Most requests served at the same time; more are refused.
        memory_mb: Memory of the VM, in millions of bytes. Bounds what the
            bodies of requests take together.
        request_timeout_s: Timeout of requests for which neither route nor
            caller sets a shorter one.
        room_keeper: Whether, in a large fleet, one node keeps the room of
            a service's engines for all.
        room_shares: Whether that node gives teams and callers turns by what
            they hold of the room; else by what teams were granted.
        move_planner: Whether that node also plans moves off engines that are
            draining.
        log_lines_per_s: Log lines of one event per second; further ones are
            dropped and counted.
        descriptors: Most descriptors that the process may have open, of which
            its listeners get parts; None for what the system allows it.
        peer_pulses: Whether large fleets send patches of states, and pulses to
            watchers.
        bulk_port: UDP port on this node for messages from others that may wait
            until they are needed; 0 for `peer_port`.
        uses_server_speeds: Whether the choice of a server depends on how fast
            it has been, besides its load.
    """

    vm: Name
    region: Name
    failure_domain: Name
    caller_listen: Address
    directory_listen: Address
    readiness_listen: Address
    peer_port: PositiveInt
    metrics_port: PositiveInt
    store: Address
    seeds: tuple[Address, ...] = ()
    grace_period_s: Seconds = 8.0
    retry_ratio: float = 0.2
    retry_window_s: Seconds = 10.0
    retry_slack: float = 5.0
    entry_ttl_max_s: Seconds = 5.0
    regions: Mapping[Name, Name] = MappingProxyType({})
    rollout_share: float | None = None
    rollout_slack: float = 0.0
    rollback_ms: float = 5000.0
    interface: Literal["platform", "completions"] = "platform"
    caller_tls: TlsSettings | None = None
    peer_keys: tuple[Secret, ...] = ()
    most_open: PositiveInt = 2000
    memory_mb: PositiveInt = 150
    request_timeout_s: Seconds = 60.0
    log_lines_per_s: PositiveInt = 200
    room_keeper: bool = True
    room_shares: bool = True
    move_planner: bool = True
    descriptors: PositiveInt | None = None
    peer_pulses: bool = True
    bulk_port: Annotated[int, msgspec.Meta(ge=0)] = 0
    uses_server_speeds: bool = True

    def redacted(self) -> dict[str, object]:
        """Returns the settings for logs, with the number of secrets only."""
        return self._asdict() | {"peer_keys": len(self.peer_keys)}
