"""Messages that the rules actor receives."""

import enum
from concurrent.futures import Future
from typing import NamedTuple

from returns.result import Result

from savorylift.identity import NodeRef
from savorylift.log_service.log import LogEntry, LogFault, LogPage
from savorylift.peers.link import Message, PeerFault
from savorylift.rules.messages import (
    OrderGossip,
    RecordsAnswer,
    RecordsAsk,
    StateAnswer,
    StateAsk,
)


class PageRead(NamedTuple):
    """The log answered a read.

    Attributes:
        asked_offset: Offset that was read from.
        sent_s: Monotonic time at which the read was sent.
        page: The answer.
    """

    asked_offset: int
    sent_s: float
    page: LogPage


class ReadFailed(NamedTuple):
    """The log did not answer a read."""

    fault: LogFault


class AppendEnded(NamedTuple):
    """The log answered an append, or did not.

    Attributes:
        purpose: Name of the append, from its job.
        result: First offset, or the fault.
    """

    purpose: str
    result: Result[int, LogFault]


class AppendJob(NamedTuple):
    """An append to try once.

    Attributes:
        purpose: Name of the append, repeated when it has ended.
        entries: Appended atomically to the rules stream.
    """

    purpose: str
    entries: tuple[LogEntry, ...]


class RecordsCame(NamedTuple):
    """Another node answered, or did not; `sent_s` as in `PageRead`."""

    node: NodeRef
    sent_s: float
    result: Result[RecordsAnswer, PeerFault]


class StateCame(NamedTuple):
    """Another node answered, or did not; `sent_s` as in `PageRead`."""

    node: NodeRef
    sent_s: float
    result: Result[StateAnswer, PeerFault]


class RecordsWanted(NamedTuple):
    """Another node asks for records."""

    question: RecordsAsk
    fut: "Future[Message]"


class StateWanted(NamedTuple):
    """Another node asks for the state."""

    question: StateAsk
    fut: "Future[Message]"


class GossipCame(NamedTuple):
    """Another node told of orders."""

    gossip: OrderGossip


class PeerIsAhead(NamedTuple):
    """A heartbeat named a newer offset than this node has."""

    node: NodeRef
    offset: int


class Tick(NamedTuple):
    """Some time has passed."""


class OrderAction(enum.StrEnum):
    """What an order does."""

    OUT = "out"
    BACK = "back"


class SubmitOrder(NamedTuple):
    """An operator gives this node an order.

    Attributes:
        action: Out of service or back.
        target: Name of the failure domain or VM.
        is_domain: True for a failure domain.
        author: Operator.
        cause: Why, in the operator's words.
        record_id: Identifier of its record, when several nodes are given
            the same order; empty for a new one.
    """

    action: OrderAction
    target: str
    is_domain: bool
    author: str
    cause: str
    record_id: str = ""


class OrderState(enum.StrEnum):
    """What is known of an order that this node was given."""

    ACCEPTED = "accepted"  # read back from the log
    APPLIED = "applied"  # an order out, acting but not on the log yet
    WAITING = "waiting"  # an order back, not on the log yet
    OVERRULED = "overruled"  # an order back; a newer out stays in force
    REFUSED = "refused"  # no room for more orders; not taken
    UNKNOWN = "unknown"  # not held here, and not read of late


class OrderReceipt(NamedTuple):
    """Answer to `SubmitOrder` and `OrderQuestion`.

    Attributes:
        record_id: Identifier of the order's record.
        state: What is known of it.
    """

    record_id: str
    state: OrderState


class OrderQuestion(NamedTuple):
    """Asks what is known of an order."""

    record_id: str
