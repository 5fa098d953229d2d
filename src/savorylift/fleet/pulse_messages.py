"""Messages that show in large fleets which nodes live, and in which state.

Only nodes that say so in their state (`NodeState.message_level`) get them.
"""

from typing import Any, NamedTuple

# Level of the builds that know these messages.
PULSE_LEVEL = 1


class StatePatch(NamedTuple):
    """What differs in a node's state from a message that it sent to all.

    Attributes:
        incarnation: Incarnation of the sender.
        sequence: Number of this message in the incarnation.
        base_sequence: Number of the message that it is compared with.
        changed_sequence: Number of the first message since which nothing has
            changed.
        fields: Values that differ, by the position of their field.
    """

    incarnation: int
    sequence: int
    base_sequence: int
    changed_sequence: int
    fields: dict[int, Any]


class StateQuery(NamedTuple):
    """Asks a node for its whole state.

    Attributes:
        incarnation: Incarnation of the node that the sender heard of.
        names_peers: Whether the answer is to name all live nodes.
    """

    incarnation: int
    names_peers: bool = False


class Pulse(NamedTuple):
    """Says to a watcher of the sender that it lives.

    Attributes:
        incarnation: Incarnation of the sender.
        sequence: Number of this message in the incarnation.
        goes_on: Whether more pulses follow; if not, the receiver is to stop
            watching the sender.
    """

    incarnation: int
    sequence: int
    goes_on: bool


class SilenceReport(NamedTuple):
    """A node whose pulses have stopped.

    Attributes:
        ip: Address of the node.
        incarnation: Its incarnation.
        sequence: Number of the last message that the sender got from it.
    """

    ip: str
    incarnation: int
    sequence: int


class SilenceNews(NamedTuple):
    """Nodes that the sender watches and doesn't hear any more.

    Attributes:
        reports: The nodes.
    """

    reports: tuple[SilenceReport, ...]


PulseMessage = StatePatch | StateQuery | Pulse | SilenceNews
