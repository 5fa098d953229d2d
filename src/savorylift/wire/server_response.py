"""One response on the server side of an HTTP/1.1 connection."""

import http

import h11
import structlog

from savorylift.wire.body_admission import BodyAdmission
from savorylift.wire.body_budget import SMALL_BODY_BYTES
from savorylift.wire.body_lease import BodyLease
from savorylift.wire.channel import Channel
from savorylift.wire.message import Headers

# Less than this isn't counted of an answer that its caller has yet to read.
MIN_UNREAD_BYTES = 4096

_log = structlog.get_logger()


class ServerResponse:
    """Writes the response to one request; the next request gets its own.

    Attributes:
        added_headers: Headers beside those that `start` is given.
    """

    def __init__(
        self, channel: Channel, parser: h11.Connection, admission: BodyAdmission
    ) -> None:
        """Creates a response that has not started.

        Args:
            channel: The connection.
            parser: Has parsed nothing but the request.
            admission: Counts what the caller has yet to read.
        """
        self._channel = channel
        self._parser = parser
        self._admission = admission
        self._unread_lease = BodyLease()
        self._is_close_delimited = False
        self._is_ended = False
        self.added_headers: Headers = ()

    @property
    def is_awaited(self) -> bool:
        """Whether the request was read and the response has not started."""
        return self._parser.our_state is h11.SEND_RESPONSE

    @property
    def ends_on_close(self) -> bool:
        """Whether a close now marks it as complete."""
        return self._is_close_delimited and self._is_ended

    def start(
        self,
        status: int,
        headers: Headers,
        *,
        is_close_delimited: bool,
        is_last: bool,
    ) -> None:
        """Writes the head; without a length, the body is chunked.

        Args:
            status: Status code.
            headers: Headers with lower-case names.
            is_close_delimited: Whether nothing but the close of the connection
                marks the end of the body. Until `end`, any close resets the
                connection.
            is_last: Whether the connection closes after it.
        """
        if is_close_delimited:
            # To such callers, h11 sends bodies without any framing.
            self._parser.their_http_version = b"1.0"
        headers += self.added_headers
        if is_last:
            headers = (*headers, ("connection", "close"))
        head = h11.Response(
            status_code=status,
            headers=_encode_headers(headers),
            reason=_reason_phrase(status),
        )
        has_length = any(key == "content-length" for key, _ in headers)
        if self._parser.their_http_version == b"1.0" and not has_length:
            self._is_close_delimited = True
            self._channel.reset_on_close()
        self._write(head)

    def send_body(self, data: bytes) -> None:
        """Writes a chunk of the body."""
        self._write(h11.Data(data=data))

    def end(self) -> None:
        """Marks it as complete."""
        self._write(h11.EndOfMessage())
        self._is_ended = True
        unread = self._channel.unsent_bytes
        if unread > MIN_UNREAD_BYTES:
            self._admission.budget.add_unread(
                self._unread_lease, unread, self._cut
            )

    async def flush(self) -> None:
        """Waits until another one may follow, or the connection be closed.

        A body without framing is handed to the system first.
        """
        if self.ends_on_close:
            await self._channel.allow_close()
        await self._channel.drain()
        self.release()

    def release(self) -> None:
        """Declares that its caller has read it, or never will."""
        if self._unread_lease.is_used:
            self._admission.budget.release(self._unread_lease)

    def _cut(self) -> None:
        """Ends the connection: its caller reads too slowly."""
        self._admission.on_cut()
        _log.warning(
            "answer_cut",
            peer=self._channel.peer,
            unread=self._channel.unsent_bytes,
        )
        self._channel.abort()

    def _write(self, event: h11.Event) -> None:
        data = self._parser.send(event)
        if data and len(data) > SMALL_BODY_BYTES:
            self._channel.write_large(data)
        elif data:
            self._channel.write(data)


def _reason_phrase(status: int) -> bytes:
    if status not in http.HTTPStatus._value2member_map_:
        return b""
    return http.HTTPStatus(status).phrase.encode()


def _encode_headers(headers: Headers) -> list[tuple[bytes, bytes]]:
    return [
        (key.encode("ascii"), value.encode("latin-1")) for key, value in headers
    ]
