"""What a node tells the others about itself."""

import enum
from typing import NamedTuple

from savorylift.placement.move_order import PlannedMove


class ServerLoad(NamedTuple):
    """A node's work on one backend server.

    Attributes:
        server_id: The backend server.
        requests: Requests under way.
        tokens: Tokens that its generations there are expected to reach.
        unread: Prompt tokens of those that have made no event yet.
        succeeded: Requests that ended well in the last seconds.
        failed: Requests that failed in the last seconds.
    """

    server_id: str
    requests: int
    tokens: int
    unread: int
    succeeded: int
    failed: int


class NodeState(NamedTuple):
    """One message of a node.

    Attributes:
        node: Name of its VM.
        ip: Address that other nodes reach it at.
        region: Where it runs.
        failure_domain: Where in the region.
        caller_address: IP:PORT for callers.
        incarnation: Differs at each start of the process.
        sequence: Number of the message since then.
        is_ready: Whether it takes requests.
        is_leaving: Whether it is being stopped.
        operators_version: Store offset that its configuration stands for.
        servers_version: Store offset of its backend servers, and changes
            since that were not records.
        reading_age_s: Age of its own last reading of the store; None if it
            has none.
        has_store_fault: Whether the store lately failed it.
        loads: Its work on each backend server.
        moves: Runs that it is to copy off engines that leave.
        interval_s: Time until its next message, if nothing happens.
        peers: Addresses of other nodes that it heard lately; not in every
            message.
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


class Topic(enum.StrEnum):
    """What a change of the store is about."""

    OPERATORS = "operators"
    SERVERS = "servers"


class Change(NamedTuple):
    """A key's newest value.

    Attributes:
        key: The key.
        value: The value; None if it was removed.
    """

    key: str
    value: bytes | None


class Delta(NamedTuple):
    """A change of the store, for nodes that know all before it.

    Attributes:
        topic: What it is about.
        before: Version that it builds on.
        after: Version that it leads to.
        changes: Records in order.
    """

    topic: Topic
    before: tuple[int, int]
    after: tuple[int, int]
    changes: tuple[Change, ...]


class Snapshot(NamedTuple):
    """All that a node knows from the store, for a node that knows less.

    Attributes:
        operators_version: Offset that the operators' records stand for.
        servers_version: Offset of the servers' records, and later changes.
        operators: Values by key, as in the store.
        servers: Values by identifier, as in the store.
    """

    operators_version: int
    servers_version: tuple[int, int]
    operators: dict[str, bytes]
    servers: dict[str, bytes]
