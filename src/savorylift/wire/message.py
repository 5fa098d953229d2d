"""Immutable HTTP requests and responses."""

from typing import NamedTuple

Headers = tuple[tuple[str, str], ...]

# Content-Length is dropped too: it is part of the framing, which is rewritten
# when a message is forwarded.
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# Digits of a number of milliseconds that counts.
MAX_DIGITS = 12


class Request(NamedTuple):
    """A complete request.

    Attributes:
        method: Upper-case method.
        target: Path and query as sent.
        headers: Lower-case names with values, in order.
        body: The decoded body.
        arrived_s: Monotonic time at which its first byte was read.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    arrived_s: float

    def header_values(self, name: str) -> list[str]:
        """Returns all values of a header; `name` must be in lower case."""
        return [value for key, value in self.headers if key == name]


class ResponseHead(NamedTuple):
    """Status and headers of a response.

    Attributes:
        status: Status code.
        headers: Lower-case names with values, in order.
        is_close_delimited: Whether the body has neither a length nor chunks
            and ends with its connection, so that its end can't be told from
            a close in the middle of it (RFC 9112, section 8).
    """

    status: int
    headers: Headers
    is_close_delimited: bool = False

    def header_values(self, name: str) -> list[str]:
        """Returns all values of a header; `name` must be in lower case."""
        return [value for key, value in self.headers if key == name]

    def header(self, name: str) -> str | None:
        """Returns the first value of a header; `name` in lower case."""
        return next((text for key, text in self.headers if key == name), None)


class Response(NamedTuple):
    """A complete response.

    Attributes:
        status: Status code.
        headers: Lower-case names with values, in order.
        body: The decoded body.
    """

    status: int
    headers: Headers
    body: bytes = b""

    def header(self, name: str) -> str | None:
        """Returns the first value of a header; `name` in lower case."""
        return ResponseHead(self.status, self.headers).header(name)


def decode_milliseconds(headers: Headers, name: str) -> float | None:
    """Returns the seconds that a header names; None if it doesn't."""
    text = next((value for key, value in headers if key == name), "")
    is_number = text.isascii() and text.isdigit()
    return int(text) / 1000 if is_number and len(text) < MAX_DIGITS else None


def end_to_end_headers(headers: Headers) -> Headers:
    """Returns the headers without hop-by-hop ones, for forwarding."""
    connection_options = {
        token.strip().lower()
        for key, value in headers
        if key == "connection"
        for token in value.split(",")
    }
    dropped = HOP_BY_HOP_HEADERS | connection_options
    return tuple(item for item in headers if item[0] not in dropped)
