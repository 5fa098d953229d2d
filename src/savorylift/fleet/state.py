"""The state message that nodes send each other.

Builds run side by side while a fleet is upgraded: fields of this and of all
other messages are only added, at the end and with a default; new kinds of
messages are ignored by older builds.
"""

from typing import NamedTuple

from savorylift.fleet.limit_messages import (
    LimitMessage,
    LimitNews,
    LimitReport,
    PermitReply,
    PermitRequest,
)
from savorylift.fleet.origin_messages import (
    UNKNOWN_VERSION,
    OriginAck,
    OriginMessage,
    OriginNews,
    OriginQuery,
    OriginReply,
    ServerProcess,
    StreamOrigin,
)
from savorylift.fleet.quarantine_news import (
    CrashReport,
    QuarantinedParts,
    QuarantineNews,
    SoundPart,
)
from savorylift.fleet.rollout_messages import (
    AnswerCell,
    AnswerReport,
    RolloutMessage,
    RolloutPhase,
    Stage,
    StageNews,
)
from savorylift.fleet.server_sightings import (
    BrittleNews,
    LeavingServer,
    ServerSpeed,
    VersionSighting,
    WitnessedProcess,
)
from savorylift.fleet.sound_values import (
    Count,
    Interval,
    Ip,
    Number,
    Port,
    Seconds,
)
from savorylift.fleet.store_records import (
    Change,
    Delta,
    Patch,
    Segment,
    Snapshot,
    Topic,
)
from savorylift.moves.move_order import PlannedMove

# The other messages are imported from here, too.
__all__ = [
    "UNKNOWN_VERSION",
    "AnswerCell",
    "AnswerReport",
    "BrittleNews",
    "Change",
    "CrashReport",
    "Delta",
    "LeavingServer",
    "LimitMessage",
    "LimitNews",
    "LimitReport",
    "NodeState",
    "OriginAck",
    "OriginMessage",
    "OriginNews",
    "OriginQuery",
    "OriginReply",
    "Patch",
    "PermitReply",
    "PermitRequest",
    "QuarantineNews",
    "QuarantinedParts",
    "RolloutMessage",
    "RolloutPhase",
    "Segment",
    "ServerLoad",
    "ServerProcess",
    "ServerSpeed",
    "Snapshot",
    "SoundPart",
    "Stage",
    "StageNews",
    "StreamOrigin",
    "Topic",
    "VersionSighting",
    "WitnessedProcess",
]


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
    requests: Count
    tokens: Count
    prefill_tokens: Count
    succeeded: Count
    failed: Count


class DividedService(NamedTuple):
    """A service whose engines have several keepers.

    Attributes:
        service: Name of the service.
        groups: Number of groups of its engines, each with a keeper.
    """

    service: str
    groups: Count


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
        witnessed_processes: Processes to which the node keeps connections, or
            did until lately.
        knows_rollouts: Whether the node heeds the stages of roll-outs; builds
            that don't say send requests to servers of any version.
        server_speeds: How quick servers were, for those with most samples.
        message_level: Kinds of messages that the node knows beside those of
            the first builds: 1 for those of `pulse_messages`.
        bulk_port: UDP port for messages that may wait; 0 if it has none.
        divided_services: Services whose engines it counts as several groups.
        store_up_age_s: Age of the first reading of the servers' entries, by
            any node, since which the store has had no outage up to this node's
            last one; None if the node doesn't know.
        store_era: How often the store had come back from a copy by then.
    """

    node: str
    ip: Ip
    region: str
    failure_domain: str
    caller_address: str
    incarnation: Number
    sequence: Number
    is_ready: bool
    is_leaving: bool
    operators_version: Number
    servers_version: tuple[Number, Number]
    reading_age_s: Seconds | None
    has_store_fault: bool
    loads: tuple[ServerLoad, ...]
    moves: tuple[PlannedMove, ...]
    interval_s: Interval
    peers: tuple[Ip, ...]
    quarantine_news: QuarantineNews = QuarantineNews()
    version_sightings: tuple[VersionSighting, ...] = ()
    unreached_services: tuple[str, ...] = ()
    brittle_services: tuple[BrittleNews, ...] = ()
    leaving_servers: tuple[LeavingServer, ...] = ()
    servers_reading_age_s: Seconds | None = None
    has_version_history: bool = False
    witnessed_processes: tuple[WitnessedProcess, ...] = ()
    knows_rollouts: bool = False
    server_speeds: tuple[ServerSpeed, ...] = ()
    message_level: int = 0
    bulk_port: Port = 0
    divided_services: tuple[DividedService, ...] = ()
    store_up_age_s: float | None = None
    store_era: int = 0
