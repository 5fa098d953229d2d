"""Interfaces between request handling and the wire formats.

A codec translates between callers, the types of this package and backend
servers; sinks and readers do so for the events of a stream.
"""

from collections.abc import Iterable
from typing import NamedTuple, Protocol

from returns.result import Result

from savorylift.exchange.events import Event
from savorylift.exchange.request import (
    AnswerHead,
    CallerRequest,
    ForwardingOptions,
)
from savorylift.exchange.results import Refused
from savorylift.exchange.server_notice import ServerNotice
from savorylift.wire.message import Headers, Request, ResponseHead


class CancelRequest(NamedTuple):
    """A request that cancels a run on its backend server.

    Attributes:
        method: Upper-case method.
        target: Path and query.
    """

    method: str
    target: str


class OutgoingRequest(NamedTuple):
    """A request as it is sent to a backend server.

    Attributes:
        run_id: ID of the run at the server.
        method: Upper-case method.
        target: Path and query.
        headers: Headers without `content-length`.
        body: The body.
        cancel_request: Request that cancels the run; None if closing the
            connection cancels it.
    """

    run_id: str
    method: str
    target: str
    headers: Headers
    body: bytes
    cancel_request: CancelRequest | None = None


class EventReader(Protocol):
    """Incremental parser for the events of one response."""

    def feed(self, data: bytes) -> Iterable[Event]:
        """Returns the events that `data` completes.

        Raises:
            BrokenAnswerError: An event does not belong to this response.
        """
        ...

    def end(self) -> None:
        """Checks that the response is complete at its end.

        Raises:
            BrokenAnswerError: The stream ended before its last event.
        """
        ...

    def close(self) -> None:
        """Frees what it holds of an unfinished event."""
        ...


class EventSink(Protocol):
    """Receives the events of a stream and delivers them to the caller."""

    @property
    def is_started(self) -> bool:
        """Whether the caller may have received a part of the response."""
        ...

    def start(self, head: AnswerHead) -> None:
        """Starts the response with the given head."""
        ...

    async def send(self, data: bytes) -> None:
        """Sends a part of the body."""
        ...

    def finish(self) -> None:
        """Ends the stream as complete."""
        ...

    def fail(self, refused: Refused) -> None:
        """Ends the stream so that the caller can tell it is incomplete."""
        ...


class CallerStream(EventSink, Protocol):
    """A sink that writes directly to the caller's connection."""

    @property
    def is_disconnected(self) -> bool:
        """Whether the caller has disconnected."""
        ...

    def write(self, data: bytes) -> None:
        """Writes a part of the body without waiting for the caller to read."""
        ...

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Sends a complete response instead of a stream."""
        ...


class Codec(Protocol):
    """Encodes and decodes messages of callers and backend servers."""

    @property
    def team_header(self) -> str:
        """Name of the header with the key of a caller's team."""
        ...

    def decode_request(self, req: Request) -> Result[CallerRequest, Refused]:
        """Decodes a caller's request, or returns the refusal to send."""
        ...

    def decode_time_left(self, headers: Headers) -> float | None:
        """Returns for how many seconds a caller waits; None if unknown."""
        ...

    def encode_request(
        self, req: CallerRequest, forwarding: ForwardingOptions
    ) -> OutgoingRequest:
        """Encodes a request for a backend server."""
        ...

    def decode_answer_head(
        self, head: ResponseHead, req: CallerRequest
    ) -> AnswerHead:
        """Decodes the head of a backend server's response."""
        ...

    def decode_notice(self, head: ResponseHead) -> ServerNotice:
        """Decodes what a backend server says of its plans in any answer."""
        ...

    def make_event_reader(
        self, run_id: str, resume_after: str | None
    ) -> EventReader:
        """Returns a reader for the events of a run.

        Args:
            run_id: ID of the run at the backend server.
            resume_after: ID of the last event that the caller has, if any.
        """
        ...

    def make_event_sink(
        self, req: CallerRequest, caller: CallerStream
    ) -> EventSink:
        """Returns the sink that delivers a generation's events."""
        ...

    def encode_time_left(self, time_left_s: float) -> tuple[str, str]:
        """Encodes how long a caller still waits, as a header of a request."""
        ...

    def encode_refusal(
        self, req: CallerRequest | None, refused: Refused
    ) -> tuple[Headers, bytes]:
        """Encodes a refusal as the headers and body of a response."""
        ...
