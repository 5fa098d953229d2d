"""Tests that ambiguous request heads are rejected."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from savorylift.wire.head_check import find_head_error

LINE = b"POST /a/b?c=d HTTP/1.1"
HOST = b"Host: example"


def head(*lines: bytes) -> bytes:
    return b"\r\n".join(lines) + b"\r\n\r\n"


@pytest.mark.parametrize(
    "data",
    [
        head(LINE, HOST),
        head(LINE, HOST, b"Content-Length: 3"),
        head(LINE, HOST, b"Transfer-Encoding: chunked"),
        head(b"GET / HTTP/1.0", HOST),
        head(LINE, HOST, b"X-Empty:"),
    ],
)
def test_accepts_valid_heads(data: bytes) -> None:
    assert find_head_error(data) is None


@pytest.mark.parametrize(
    ("data", "fault"),
    [
        (head(LINE), "Host"),
        (head(LINE, HOST, HOST), "Host"),
        (head(LINE, HOST, b"Content-Length: 3", b"Content-Length: 3"), "more"),
        (
            head(LINE, HOST, b"Content-Length: 3", b"Transfer-Encoding: x"),
            "not allowed",
        ),
        (
            head(LINE, HOST, b"Transfer-Encoding: a", b"transfer-encoding: b"),
            "more than one Transfer",
        ),
        (
            head(b"POST / HTTP/1.0", HOST, b"Transfer-Encoding: chunked"),
            "not allowed",
        ),
        (head(LINE, HOST, b" folded"), "folded"),
        (head(LINE, HOST, b"\tfolded"), "folded"),
        (head(LINE, HOST + b"\nX-Smuggled: 1"), "CRLF"),
        (head(LINE, HOST + b"\rX-Smuggled: 1"), "CRLF"),
        (head(LINE, HOST, b"X: a\0b"), "CRLF"),
        (head(b"GET  / HTTP/1.1", HOST), "request line"),
        (head(b"GET / HTTP/2.0", HOST), "request line"),
        (head(b"GET http://a/ HTTP/1.1", HOST), "path"),
        (head(b"CONNECT a:1 HTTP/1.1", HOST), "path"),
    ],
)
def test_rejects_ambiguous_heads_and_says_why(data: bytes, fault: str) -> None:
    assert fault in (find_head_error(data) or "")


@given(st.binary(max_size=60))
def test_never_accepts_a_bare_line_feed(noise: bytes) -> None:
    data = head(LINE, HOST, b"X: " + noise + b"\n" + noise)
    accepted = find_head_error(data) is None
    assert not accepted or b"\n" not in data.replace(b"\r\n", b"")
