"""One HTTP request and the means to answer it."""

import socket
import urllib.parse
from collections.abc import Iterable
from typing import Any

from returns.result import Failure, Result, Success

from savorylift.entry.errors import Header
from savorylift.outcomes import Reason, Refusal, not_run

JSON = "application/json"
READ_CHUNK = 65_536
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "host",
        "expect",
    }
)


class Exchange:
    """A request read by `cheroot`; answered once.

    Attributes:
        method: HTTP method in upper case.
        path: Path without escapes and query.
        target: Path and query as the caller wrote them.
        query: Query fields; of a repeated one the last.
    """

    def __init__(self, req: Any) -> None:  # noqa: ANN401
        """Wraps `cheroot`'s request, which has no types of its own."""
        self._req = req
        self.method: str = req.method.decode("ascii", "replace")
        self.path: str = req.path.decode("utf-8", "replace")
        self.target: str = req.uri.decode("latin-1")
        query = req.qs.decode("utf-8", "replace")
        self.query: dict[str, str] = dict(urllib.parse.parse_qsl(query))
        self._headers: dict[str, str] = {
            name.decode("latin-1").lower(): value.decode("latin-1")
            for name, value in req.inheaders.items()
        }

    def header(self, name: str) -> str | None:
        """Returns a request header by its lower-case name."""
        return self._headers.get(name)

    def end_to_end_headers(self) -> tuple[Header, ...]:
        """Returns the headers that a proxy passes on."""
        return tuple(
            (name, value)
            for name, value in self._headers.items()
            if name not in HOP_BY_HOP
        )

    def read_body(self) -> Result[bytes, Refusal]:
        """Reads the whole body within the listener's bounds."""
        parts: list[bytes] = []
        try:
            while data := self._req.rfile.read(READ_CHUNK):
                parts.append(data)
        except TimeoutError:
            return self._unreadable(Reason.SLOW_REQUEST, "body came too late")
        except ValueError as exc:
            return self._unreadable(Reason.BAD_REQUEST, str(exc).lower())
        except Exception as exc:
            if "Too Large" in str(exc):
                message = "the body is too large"
                return self._unreadable(Reason.BODY_TOO_LARGE, message)
            return self._unreadable(Reason.BAD_REQUEST, "body was cut off")
        body = b"".join(parts)
        expected = self._headers.get("content-length")
        if expected is not None and len(body) < int(expected):
            return self._unreadable(Reason.BAD_REQUEST, "body was cut off")
        return Success(body)

    def _unreadable(
        self, reason: Reason, message: str
    ) -> Result[bytes, Refusal]:
        self._req.close_connection = True
        return Failure(not_run(reason, message))

    def send(
        self,
        status: str,
        body: bytes,
        content_type: str = JSON,
        headers: Iterable[Header] = (),
    ) -> None:
        """Sends a whole answer; a caller that is gone is not an error."""
        self._req.status = status.encode()
        self._req.outheaders = [
            (b"Content-Type", content_type.encode()),
            (b"Content-Length", str(len(body)).encode()),
            *((n.encode(), v.encode("latin-1")) for n, v in headers),
        ]
        self._req.close_connection |= self._has_unread_body()
        try:
            self._req.ensure_headers_sent()
            self._req.write(body)
        except OSError:
            self._req.close_connection = True

    def _has_unread_body(self) -> bool:
        if self._req.chunked_read:
            return not self._req.rfile.closed
        return bool(self._req.rfile.remaining)

    def socket(self) -> socket.socket:
        """Returns the connection, for an answer written without `send`."""
        conn: socket.socket = self._req.conn.socket
        return conn

    def is_answered(self) -> bool:
        """Returns True once an answer's head was sent."""
        return bool(self._req.sent_headers)

    def note_streamed(self) -> None:
        """Records that the answer was written to the socket directly."""
        self._req.sent_headers = True
        self._req.close_connection = True
