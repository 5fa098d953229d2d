"""A caller's connection as the end of a stream."""

from savorylift.exchange.ending import Refused
from savorylift.exchange.request import AnswerHead
from savorylift.wire.message import Headers
from savorylift.wire.server_connection import ServerConnection


class CallerSink:
    """Writes a stream to a caller's connection."""

    def __init__(self, conn: ServerConnection) -> None:
        """Writes nothing yet."""
        self._conn = conn
        self.is_started = False
        self.is_aborted = False

    @property
    def is_gone(self) -> bool:
        """Whether the caller has left."""
        return self._conn.channel.is_ended

    def start(self, head: AnswerHead) -> None:
        """Sends the head."""
        self.is_started = True
        self._conn.start_response(head.status, head.headers)

    def write(self, data: bytes) -> None:
        """Sends a part of the body without waiting for the caller."""
        self._conn.send_body(data)

    async def send(self, data: bytes) -> None:
        """Sends a part of the body, at the caller's pace."""
        self._conn.send_body(data)
        await self._conn.channel.drain()

    def finish(self) -> None:
        """Ends the stream as complete."""
        self._conn.end_response()

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Sends a whole answer in place of a stream."""
        self.is_started = True
        self._conn.respond(status, headers, body)

    def fail(self, refused: Refused) -> None:  # noqa: ARG002
        """Ends the connection without the end of the body."""
        self.is_aborted = True
        self._conn.is_closing = True
        self._conn.channel.close()
