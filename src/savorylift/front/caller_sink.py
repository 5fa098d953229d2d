"""Writes streamed responses to a caller's connection."""

from savorylift.exchange.request import AnswerHead
from savorylift.exchange.results import Refused
from savorylift.wire.message import Headers
from savorylift.wire.server_connection import ServerConnection


class CallerSink:
    """Writes one streamed response to a caller's connection.

    Attributes:
        is_started: Whether the head has been sent.
        is_aborted: Whether the stream was cut off before its end.
    """

    def __init__(self, conn: ServerConnection) -> None:
        """Uses `conn`; sends nothing yet."""
        self._conn = conn
        self.is_started = False
        self.is_aborted = False

    @property
    def is_disconnected(self) -> bool:
        """Whether the caller has disconnected."""
        return self._conn.channel.is_peer_closed

    def start(self, head: AnswerHead) -> None:
        """Sends status and headers."""
        self.is_started = True
        self._conn.start_response(
            head.status,
            head.headers,
            is_close_delimited=head.is_close_delimited,
        )

    def write(self, data: bytes) -> None:
        """Queues a chunk of the body without waiting for the caller to read."""
        self._conn.send_body(data)

    async def send(self, data: bytes) -> None:
        """Sends a chunk of the body; waits if the caller reads too slowly."""
        self._conn.send_body(data)
        await self._conn.drain()

    def finish(self) -> None:
        """Marks the stream as complete."""
        self._conn.end_response()

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Sends a complete response instead of a stream."""
        self.is_started = True
        self._conn.respond(status, headers, body)

    def fail(self, refused: Refused) -> None:  # noqa: ARG002
        """Closes the connection so that the body is seen as incomplete.

        Without framing, the close resets it.
        """
        self.is_aborted = True
        self._conn.is_closing = True
        self._conn.channel.close()
