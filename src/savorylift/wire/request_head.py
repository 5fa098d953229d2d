"""What the heads of requests say, decoded."""

import h11

from savorylift.wire.message import Headers


def decode_headers(head: h11.Request) -> Headers:
    """Returns the headers, with lower-case names."""
    return tuple(
        (key.decode("ascii"), value.decode("latin-1"))
        for key, value in head.headers
    )


def body_length(head: h11.Request) -> int | None:
    """Returns the length of a body; None if it comes in chunks."""
    for name, value in head.headers:
        if name == b"content-length":
            return int(value)
        if name == b"transfer-encoding":
            return None
    return 0
