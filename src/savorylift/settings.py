"""Settings of one node, as checked values."""

from typing import Annotated, Literal, NamedTuple

import msgspec

Address = Annotated[str, msgspec.Meta(pattern=r"^\d+\.\d+\.\d+\.\d+:\d+$")]
Url = Annotated[str, msgspec.Meta(pattern=r"^https?://\d+(\.\d+){3}:\d+$")]
Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9._-]*$")]
Seconds = Annotated[float, msgspec.Meta(gt=0)]
Count = Annotated[int, msgspec.Meta(ge=1)]
Secret = Annotated[str, msgspec.Meta(min_length=16)]


class Key(NamedTuple):
    """A named secret; two may be valid at once while keys are rotated.

    Attributes:
        key_id: Name that tells keys apart.
        secret: Text of at least 16 characters; never logged.
    """

    key_id: Name
    secret: Secret

    def __repr__(self) -> str:
        """Leaves the secret out, so that it can't reach a log."""
        return f"Key(key_id={self.key_id!r})"


class Tls(NamedTuple):
    """Files for one TLS listener, and for clients of it.

    Attributes:
        certificate: Path of the PEM certificate chain.
        private_key: Path of the PEM private key.
        authorities: Path of PEM certificates that peers must be signed by.
    """

    certificate: str
    private_key: str
    authorities: str | None = None


class Timing(NamedTuple):
    """Durations that govern a node.

    Attributes:
        stale_after_s: Age of the log proof at which new work is refused.
        heartbeat_s: Interval between heartbeats to one neighbour.
        log_poll_s: How long one read of the log may wait for a record.
        request_timeout_s: Default deadline of a request without one.
        connect_timeout_s: Bound on opening a connection.
        token_timeout_s: Silence on a stream after which it is resumed.
        first_token_timeout_s: Silence before the first token.
        entry_ttl_s: How long callers keep an answer about entries.
        drain_s: Longest graceful shutdown; 0 waits for every stream.
    """

    stale_after_s: Seconds = 2.0
    heartbeat_s: Seconds = 1.0
    log_poll_s: Seconds = 0.5
    request_timeout_s: Seconds = 60.0
    connect_timeout_s: Seconds = 1.0
    token_timeout_s: Seconds = 0.5
    first_token_timeout_s: Seconds = 10.0
    entry_ttl_s: Seconds = 5.0
    drain_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0


class Bounds(NamedTuple):
    """Sizes that keep a node within its memory.

    Attributes:
        caller_threads: Concurrent caller requests, streams included.
        caller_backlog: Requests beyond these that may wait for a refusal.
        operator_threads: Threads of the operators' listener.
        body_bytes: Largest request body.
        header_bytes: Largest request head.
        request_read_s: Longest time to receive one request.
        stream_buffer_bytes: Unsent bytes at which a caller is too slow.
    """

    caller_threads: Count = 256
    caller_backlog: Count = 32
    operator_threads: Count = 4
    body_bytes: Count = 1_048_576
    header_bytes: Count = 32_768
    request_read_s: Seconds = 10.0
    stream_buffer_bytes: Count = 262_144


class Settings(NamedTuple):
    """Everything a node reads from its JSON settings file.

    Attributes:
        vm: Name of this VM in the platform's list.
        failure_domain: Failure domain of this VM.
        caller_listen: `ip:port` for callers.
        peer_listen: `ip:port` for other nodes.
        operator_listen: `ip:port` for operators.
        log_urls: Base URLs of the platform's log service.
        vm_list_urls: Base URLs of the platform's VM list.
        ticket_keys: Keys that sign resume tickets; the first one signs.
        weight_store_url: Base URL of the weight store, if there is one.
        seeds: `ip:port` peer addresses to try while the log is down.
        peer_keys: Keys that authenticate nodes to each other.
        operator_keys: Credentials accepted for operator orders.
        caller_tls: TLS of the callers' listener; None for plain HTTP.
        operator_tls: TLS of the operators' listener.
        peer_tls: TLS between nodes, both sides authenticated.
        timing: Durations.
        bounds: Sizes.
        log_format: `auto` writes JSON unless standard error is a terminal.
        log_level: Least severe level that is written.
    """

    vm: Name
    failure_domain: Name
    caller_listen: Address
    peer_listen: Address
    operator_listen: Address
    log_urls: Annotated[tuple[Url, ...], msgspec.Meta(min_length=1)]
    vm_list_urls: Annotated[tuple[Url, ...], msgspec.Meta(min_length=1)]
    ticket_keys: Annotated[tuple[Key, ...], msgspec.Meta(min_length=1)]
    weight_store_url: Url | None = None
    seeds: tuple[Address, ...] = ()
    peer_keys: tuple[Key, ...] = ()
    operator_keys: tuple[Key, ...] = ()
    caller_tls: Tls | None = None
    operator_tls: Tls | None = None
    peer_tls: Tls | None = None
    timing: Timing = Timing()
    bounds: Bounds = Bounds()
    log_format: Literal["auto", "json", "human"] = "auto"
    log_level: Literal["debug", "info", "warning", "error"] = "info"
