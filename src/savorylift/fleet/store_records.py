"""Messages with records of the store, and with differences of them."""

import enum
from typing import NamedTuple

# Offset in the store, and the number of changes since then that are not
# records.
Version = tuple[int, int]


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
    base_version: Version
    new_version: Version
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
    servers_version: Version
    operators: dict[str, bytes]
    servers: dict[str, bytes]
