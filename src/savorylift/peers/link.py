"""Messages between nodes as the other slices send and receive them."""

from collections.abc import Callable
from concurrent.futures import Future
from typing import NamedTuple, Protocol, TypeVar

from returns.result import Result

from savorylift.identity import NodeRef


class PeerFault(NamedTuple):
    """A request to another node without an answer.

    Attributes:
        sent: False when the request certainly did not leave this node.
        message: Cause, for operators.
    """

    sent: bool
    message: str


Message = tuple[object, ...]  # a NamedTuple registered with `PeerLink.on`
M = TypeVar("M", bound=Message)
Answer = TypeVar("Answer", bound=Message)


class PeerLink(Protocol):
    """Sends typed messages to other nodes and dispatches received ones.

    Message types are `NamedTuple` classes; a type's name on the wire is its
    class name. Handlers run on the link's own thread and must return within
    a millisecond: they `tell` an actor or read published state.
    """

    def tell(self, node: NodeRef, msg: Message) -> bool:
        """Queues `msg` for `node`; False if it was dropped at once."""

    def ask(
        self,
        node: NodeRef,
        msg: Message,
        answer_type: type[Answer],
        timeout_s: float,
    ) -> "Future[Result[Answer, PeerFault]]":
        """Sends `msg` and resolves with the answer or a fault."""

    def on_tell(
        self, msg_type: type[M], handler: Callable[[NodeRef, M], None]
    ) -> None:
        """Registers the handler of a one-way message type."""

    def on_ask(
        self,
        msg_type: type[M],
        handler: Callable[[NodeRef, M, "Future[Message]"], None],
    ) -> None:
        """Registers the handler that resolves the given future once."""
