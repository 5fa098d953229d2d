"""Counters of the peers slice."""

import enum

from prometheus_client import CollectorRegistry, Counter


class Drop(enum.StrEnum):
    """Why a message between nodes was thrown away."""

    QUEUE_FULL = "queue_full"
    NO_ADDRESS = "no_address"
    UNREACHABLE = "unreachable"
    STOPPED = "stopped"
    ENDED_INCARNATION = "ended_incarnation"
    OTHER_INCARNATION = "other_incarnation"
    WRONG_SENDER = "wrong_sender"
    MALFORMED = "malformed"
    UNKNOWN_TYPE = "unknown_type"
    HANDLER_ERROR = "handler_error"
    LATE_ANSWER = "late_answer"
    UNAUTHENTICATED = "unauthenticated"


class LinkCounters:
    """Counts messages, bytes and drops; safe from any thread."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """Registers the counters."""
        self._messages = Counter(
            "savorylift_peer_messages",
            "Messages between nodes.",
            ["direction", "type"],
            registry=registry,
        )
        self._bytes = Counter(
            "savorylift_peer_bytes",
            "Bytes of messages between nodes, without framing.",
            ["direction", "type"],
            registry=registry,
        )
        self._drops = Counter(
            "savorylift_peer_dropped",
            "Messages between nodes thrown away.",
            ["reason"],
            registry=registry,
        )
        self._reopened = Counter(
            "savorylift_peer_connections_lost",
            "Connections to other nodes that ended without being idle.",
            registry=registry,
        )

    def sent(self, type_name: str, size: int) -> None:
        """Counts a message handed to a connection."""
        self._messages.labels("sent", type_name).inc()
        self._bytes.labels("sent", type_name).inc(size)

    def received(self, type_name: str, size: int) -> None:
        """Counts a message of a registered type."""
        self._messages.labels("received", type_name).inc()
        self._bytes.labels("received", type_name).inc(size)

    def dropped(self, reason: Drop) -> None:
        """Counts a message thrown away."""
        self._drops.labels(reason.value).inc()

    def connection_lost(self) -> None:
        """Counts a connection that broke or timed out."""
        self._reopened.inc()


class GossipCounters:
    """Counts gossip, proofs and refusals; safe from any thread."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """Registers the counters."""
        self._exchanges = Counter(
            "savorylift_gossip_exchanges",
            "Gossip questions by outcome.",
            ["outcome"],
            registry=registry,
        )
        self._proofs = Counter(
            "savorylift_tail_proofs",
            "Proofs of the log's tail by where they came from.",
            ["source"],
            registry=registry,
        )
        self._refusals = Counter(
            "savorylift_guard_refusals",
            "Dispatches refused because an order may be missing.",
            ["reason"],
            registry=registry,
        )
        self._pauses = Counter(
            "savorylift_pauses",
            "Pauses of this process that were noticed.",
            registry=registry,
        )

    def exchange(self, outcome: str) -> None:
        """Counts a gossip question as answered, unsent or unanswered."""
        self._exchanges.labels(outcome).inc()

    def proof(self, source: str) -> None:
        """Counts a newer proof from the log or a peer."""
        self._proofs.labels(source).inc()

    def refusal(self, reason: str) -> None:
        """Counts a dispatch that the guard refused."""
        self._refusals.labels(reason).inc()

    def pause(self) -> None:
        """Counts a pause."""
        self._pauses.inc()
