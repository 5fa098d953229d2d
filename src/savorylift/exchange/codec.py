"""How requests, answers and streams look to callers and backend servers."""

from typing import NamedTuple, Protocol

from returns.result import Result

from savorylift.exchange.ending import Refused
from savorylift.exchange.events import Event
from savorylift.exchange.request import AnswerHead, CallerRequest, Forwarding
from savorylift.wire.message import Headers, Request, ResponseHead


class Withdrawal(NamedTuple):
    """A call that ends a run whose connection is closed.

    Attributes:
        method: Upper-case method.
        target: Path and query.
    """

    method: str
    target: str


class Outgoing(NamedTuple):
    """A request as a backend server gets it.

    Attributes:
        run_id: The server's name for the run, unique to this sending.
        method: Upper-case method.
        target: Path and query.
        headers: Headers without a length.
        body: The body.
        withdrawal: What ends the run, if closing the connection does not.
    """

    run_id: str
    method: str
    target: str
    headers: Headers
    body: bytes
    withdrawal: Withdrawal | None = None


class EventReader(Protocol):
    """Reads the events of one answer."""

    def feed(self, data: bytes) -> list[Event]:
        """Returns the events that `data` completes.

        Raises:
            BrokenAnswerError: An event is not of this answer.
        """
        ...

    def end(self) -> bytes:
        """Returns what follows the last event, once the answer is over.

        Raises:
            BrokenAnswerError: The stream ended before its last event.
        """
        ...


class EventSink(Protocol):
    """The caller's end of a stream."""

    @property
    def is_started(self) -> bool:
        """Whether the caller may have seen a part of the answer."""
        ...

    def start(self, head: AnswerHead) -> None:
        """Takes the head."""
        ...

    async def send(self, data: bytes) -> None:
        """Takes a part of the body."""
        ...

    def finish(self) -> None:
        """Ends the stream as complete."""
        ...

    def fail(self, refused: Refused) -> None:
        """Ends the stream so that it can't look complete."""
        ...


class CallerStream(EventSink, Protocol):
    """A sink that writes straight to a caller's connection."""

    @property
    def is_gone(self) -> bool:
        """Whether the caller has left."""
        ...

    def write(self, data: bytes) -> None:
        """Writes a part of the body without waiting for the caller."""
        ...

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Sends a whole answer in place of a stream."""
        ...


class Codec(Protocol):
    """One way to speak with callers and backend servers."""

    def request(self, req: Request) -> Result[CallerRequest, Refused]:
        """Returns what a caller asks for, or why that can't be told."""
        ...

    def outgoing(self, req: CallerRequest, how: Forwarding) -> Outgoing:
        """Returns the request for a backend server."""
        ...

    def answer_head(self, head: ResponseHead, req: CallerRequest) -> AnswerHead:
        """Returns what the head of an answer says."""
        ...

    def events(self, run_id: str, resume_after: str | None) -> EventReader:
        """Returns a reader for the events of a run.

        Args:
            run_id: The run.
            resume_after: Last event that the caller has, if any.
        """
        ...

    def sink(self, req: CallerRequest, caller: CallerStream) -> EventSink:
        """Returns what a generation's events go to."""
        ...

    def refusal(
        self, req: CallerRequest | None, refused: Refused
    ) -> tuple[Headers, bytes]:
        """Returns headers and body of the system's own answer."""
        ...
