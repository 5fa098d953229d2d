"""Messages that nodes send each other.

Builds run side by side while a fleet is upgraded: fields are only added, at
the end and with a default; new kinds of messages are ignored by older builds.
"""

import enum
from typing import NamedTuple

from savorylift.placement.move_order import PlannedMove

# Stands for the version of a process whose entry isn't read yet. No server has
# it, so that builds that don't know it continue such streams nowhere.
UNKNOWN_VERSION = "\0"


class ServerLoad(NamedTuple):
    """A node's load on one backend server.

    Attributes:
        server_id: Identifier of the backend server.
        requests: Requests in progress.
        tokens: Tokens that the generations in progress are expected to reach.
        prefill_tokens: Prompt tokens of generations without a first event,
            whose prefill is still pending.
        succeeded: Requests that succeeded in the last seconds.
        failed: Requests that failed in the last seconds.
    """

    server_id: str
    requests: int
    tokens: int
    prefill_tokens: int
    succeeded: int
    failed: int


class CrashReport(NamedTuple):
    """A crash of an engine, as seen by one node.

    Attributes:
        server_id: Identifier of the engine.
        age_s: Time since the crash.
        prefixes: Traits of the requests that it had not answered yet: the IDs
            of the parts of their prompts without the last, and those of the
            requests themselves.
        sent_ages_s: Time since each of them was sent, in the same order;
            empty from builds that don't say.
    """

    server_id: str
    age_s: float
    prefixes: tuple[tuple[str, ...], ...]
    sent_ages_s: tuple[float, ...] = ()


class SoundPart(NamedTuple):
    """A trait of requests that a server survived.

    Attributes:
        part: ID of a part of prompts, or of a request.
        age_s: Time since a server last did so.
    """

    part: str
    age_s: float


class QuarantinedParts(NamedTuple):
    """Traits; requests that have all of them go to no server.

    Attributes:
        parts: IDs of parts of prompts, or of a request.
        age_s: Time since the quarantine began.
        remaining_s: Time until it ends.
    """

    parts: tuple[str, ...]
    age_s: float
    remaining_s: float


class QuarantineNews(NamedTuple):
    """What a node knows of requests that crash engines.

    Attributes:
        crash_reports: Crashes that the node has seen lately.
        sound_parts: Suspected parts that engines have begun to answer.
        quarantined: Requests that the node does not send to engines.
    """

    crash_reports: tuple[CrashReport, ...] = ()
    sound_parts: tuple[SoundPart, ...] = ()
    quarantined: tuple[QuarantinedParts, ...] = ()


class LimitReport(NamedTuple):
    """What the newest response of a backend server said of its limit.

    Attributes:
        server_id: Identifier of the server.
        started_ms: Unix time in milliseconds at which the server started.
        requests_per_s: Requests per second that it takes from all nodes
            together; None if it no longer names a limit.
        age_s: Time since the response.
    """

    server_id: str
    started_ms: int
    requests_per_s: float | None
    age_s: float


class LimitNews(NamedTuple):
    """Limits that backend servers have named, or no longer name.

    Attributes:
        reports: What was heard, one report a server.
    """

    reports: tuple[LimitReport, ...]


class PermitRequest(NamedTuple):
    """Asks the issuer of a limited server for permission to send a request.

    Attributes:
        number: Number of the permit request, for the reply.
        limit: The limit that the sender knows.
        max_wait_s: Longest time that the request can wait to be sent.
        is_probe: Whether it may only use what requests leave.
        start_age_s: If the sender wants to know which process the server is,
            time since when it must have answered; None to want a permit. The
            issuer asks the server; one of an earlier build grants a permit.
    """

    number: int
    limit: LimitReport
    max_wait_s: float
    is_probe: bool
    start_age_s: float | None = None


class PermitReply(NamedTuple):
    """The issuer's decision on a permit request.

    Attributes:
        number: Number of the permit request.
        is_granted: Whether the request may be sent.
        wait_s: Time until it may be sent; without a permit, the time until
            it is worth asking again.
        started_ms: Start that the server named; None if it wasn't to be asked,
            or hasn't answered yet.
        is_silent: Whether the server doesn't answer the issuer.
    """

    number: int
    is_granted: bool
    wait_s: float
    started_ms: int | None = None
    is_silent: bool = False


LimitMessage = LimitNews | PermitRequest | PermitReply


class ServerProcess(NamedTuple):
    """A process of a server, as its entry says.

    Attributes:
        server_id: Identifier of the server.
        started_ms: Unix time in milliseconds at which the process started.
        software_version: Its software version.
        age_s: Time since a moment at which the stream had begun.
    """

    server_id: str
    started_ms: int
    software_version: str
    age_s: float = 0.0


class StreamOrigin(NamedTuple):
    """Where a stream began that its caller may resume.

    Attributes:
        attempt_id: ID of the attempt that brought its first event.
        service: Service that ran it.
        software_version: Software version of the server that sent that event;
            `UNKNOWN_VERSION` if that isn't known yet.
        ttl_s: Time for which the caller may still resume it.
        model_version: Version of the model that the service required; empty
            for any.
        process: The server and the process of its entry that began the stream
            if that process still answers; None if none is known.
    """

    attempt_id: str
    service: str
    software_version: str
    ttl_s: float
    model_version: str = ""
    process: ServerProcess | None = None

    @property
    def is_certain(self) -> bool:
        """Whether it is known which version began the stream."""
        return self.software_version != UNKNOWN_VERSION

    @property
    def certainty(self) -> int:
        """Which of two origins of a stream goes before the other."""
        if self.is_certain:
            return 2
        return 1 if self.process is None else 0


class OriginNews(NamedTuple):
    """Origins that the receiver is to hold.

    Attributes:
        origins: The origins.
    """

    origins: tuple[StreamOrigin, ...]


class OriginAck(NamedTuple):
    """Confirms origins that the sender now holds.

    Attributes:
        attempt_ids: Their attempts.
        uncertain_ids: Attempts whose version was not known yet; builds that
            don't have this field list them with the others.
    """

    attempt_ids: tuple[str, ...]
    uncertain_ids: tuple[str, ...] = ()


class OriginQuery(NamedTuple):
    """Asks where a stream began.

    Attributes:
        number: Number of the query, for the reply.
        attempt_id: ID of the attempt that brought its first event.
    """

    number: int
    attempt_id: str


class OriginReply(NamedTuple):
    """The answer to a query.

    Attributes:
        number: Number of the query.
        origin: The origin; None if the sender doesn't hold it.
    """

    number: int
    origin: StreamOrigin | None


OriginMessage = OriginNews | OriginAck | OriginQuery | OriginReply


class VersionSighting(NamedTuple):
    """A software version that had a server until lately.

    Attributes:
        service: Service of the server.
        software_version: The version.
        age_s: Time since the version last had a server.
    """

    service: str
    software_version: str
    age_s: float


class BrittleNews(NamedTuple):
    """A service whose servers say that they fall over if they reject much.

    Attributes:
        service: Name of the service.
        age_s: Time since a server last said so.
    """

    service: str
    age_s: float


class LeavingServer(NamedTuple):
    """A server that said itself that it is draining.

    Attributes:
        server_id: Identifier of the server.
        started_ms: Start of the incarnation that said so.
    """

    server_id: str
    started_ms: int


class NodeState(NamedTuple):
    """State message that a node sends periodically and after changes.

    Attributes:
        node: Name of the node's VM.
        ip: IP address for other nodes.
        region: Region of the node.
        failure_domain: Failure domain of the node.
        caller_address: IP:PORT for callers.
        incarnation: Random number that identifies the process.
        sequence: Number of the message in this incarnation.
        is_ready: Whether the node accepts requests.
        is_leaving: Whether the node is draining before it stops.
        operators_version: Store offset of the operators' records it has.
        servers_version: Store offset of the server entries it has, and the
            number of changes since then that are not records.
        reading_age_s: Age of its last reading of the store; None before the
            first.
        has_store_fault: Whether a call to the store failed recently.
        loads: The node's load on each backend server.
        moves: Runs that the node plans to move off draining engines.
        interval_s: Time until the next message if nothing changes.
        peers: Addresses of its live peers; empty in most messages.
        quarantine_news: What it knows of requests that crash engines.
        version_sightings: Software versions that no server has any more.
        unreached_services: Services of which the node reaches no server.
        brittle_services: Services whose servers said that they are brittle.
        leaving_servers: Servers that said themselves that they are draining.
        servers_reading_age_s: Age of its last reading of the servers' entries;
            None before the first, and from builds that don't say.
        has_version_history: Whether `version_sightings` has all versions that
            served before the node started, too; builds that don't say don't
            know.
    """

    node: str
    ip: str
    region: str
    failure_domain: str
    caller_address: str
    incarnation: int
    sequence: int
    is_ready: bool
    is_leaving: bool
    operators_version: int
    servers_version: tuple[int, int]
    reading_age_s: float | None
    has_store_fault: bool
    loads: tuple[ServerLoad, ...]
    moves: tuple[PlannedMove, ...]
    interval_s: float
    peers: tuple[str, ...]
    quarantine_news: QuarantineNews = QuarantineNews()
    version_sightings: tuple[VersionSighting, ...] = ()
    unreached_services: tuple[str, ...] = ()
    brittle_services: tuple[BrittleNews, ...] = ()
    leaving_servers: tuple[LeavingServer, ...] = ()
    servers_reading_age_s: float | None = None
    has_version_history: bool = False


class Topic(enum.StrEnum):
    """What the records of a store topic describe."""

    OPERATORS = "operators"
    SERVERS = "servers"


class Change(NamedTuple):
    """A record of the store: a key and its new value.

    Attributes:
        key: The key.
        value: The value; None if the key was removed.
    """

    key: str
    value: bytes | None


class Segment(NamedTuple):
    """A part of a new value: either copied from the old one, or literal.

    Attributes:
        first_part: Index of the first part to copy.
        part_count: Number of parts to copy; 0 for a literal.
        literal: Bytes that the old value does not have.
    """

    first_part: int
    part_count: int
    literal: bytes


class Patch(NamedTuple):
    """The new value of a record, as its difference from the old one.

    Attributes:
        key: The key.
        base_checksum: CRC-32 of the old value.
        segments: The new value.
    """

    key: str
    base_checksum: int
    segments: tuple[Segment, ...]


class Delta(NamedTuple):
    """New records of a topic, for nodes that have its previous version.

    Attributes:
        topic: Topic of the records.
        base_version: Version that the delta applies to.
        new_version: Version after the delta.
        changes: Records in order.
        patches: Records whose value is sent as a difference; they come after
            `changes`.
        relay_to: Addresses of the nodes that the receiver forwards it to.
    """

    topic: Topic
    base_version: tuple[int, int]
    new_version: tuple[int, int]
    changes: tuple[Change, ...]
    patches: tuple[Patch, ...] = ()
    relay_to: tuple[str, ...] = ()


class Snapshot(NamedTuple):
    """All records of the topics of which the requester has an older version.

    Attributes:
        operators_version: Store offset of the operators' records.
        servers_version: Store offset of the server entries, and the number of
            changes since then that are not records.
        operators: Operators' records by key, as stored.
        servers: Server entries by server identifier, as stored.
    """

    operators_version: int
    servers_version: tuple[int, int]
    operators: dict[str, bytes]
    servers: dict[str, bytes]
