"""Messages of the peers slice."""

from typing import NamedTuple

from savorylift.peers.marks import VmState


class NodeState(NamedTuple):
    """What a node last said about itself.

    Attributes:
        joined_offset: Offset of its join record, which names the incarnation.
        counter: Raised by the node with each change.
        rules_offset: Newest log offset in force on it.
        load: A few integers; their meaning is the sender's and readers' own.
    """

    joined_offset: int
    counter: int
    rules_offset: int
    load: tuple[int, ...]


class GossipQuestion(NamedTuple):
    """Asks a neighbour for what changed since its last answer.

    Attributes:
        known_change: `change` of that answer; 0 for none.
    """

    known_change: int


class GossipNews(NamedTuple):
    """Says that a question to the sender now would bring a new mark."""


class GossipAnswer(NamedTuple):
    """What the answering node knows. Ages count from its own clock.

    Attributes:
        change: Number of its newest change.
        rules_offset: Newest log offset in force on it.
        newest_offset: Highest offset that it knows any node to have.
        proof_age_ms: Age of its newest proof of the log's tail; -1 for none.
        proof_next_offset: The tail that was proven.
        roster_offset: Names the roster that `heard` goes by.
        heard: Ages of hearing, packed by `hearing.pack_ages`.
        nodes: States changed since the asker's `known_change`.
        vms: Marked VMs changed since then.
    """

    change: int
    rules_offset: int
    newest_offset: int
    proof_age_ms: int
    proof_next_offset: int
    roster_offset: int
    heard: bytes
    nodes: tuple[NodeState, ...]
    vms: tuple[VmState, ...]
