"""What of a call goes into an HTTP request, and what of an answer out."""

import re

from urllib3 import HTTPHeaderDict

from savorylift.calls.request import CallRequest, Headers
from savorylift.wire.message import SINGLE_HOP

REQUEST_ID_HEADER = "X-Request-Id"
KEY_HEADER = "Idempotency-Key"
DROPPED_HEADERS = SINGLE_HOP | {"content-length", "host"}
SET_HEADERS = frozenset({REQUEST_ID_HEADER.lower(), KEY_HEADER.lower()})


_TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_PATH = re.compile(r"/[!-~]*")
_UNSENDABLE = re.compile(r"[^\t -~\x80-\xff]")


def is_sendable(req: CallRequest) -> bool:
    """Returns True if `req` can be put into an HTTP request as it is."""
    texts = [text for header in req.headers for text in header]
    return (
        _TOKEN.fullmatch(req.method) is not None
        and _PATH.fullmatch(req.path) is not None
        and all(_TOKEN.fullmatch(name) for name, _ in req.headers)
        and not any(_UNSENDABLE.search(text) for text in texts)
    )


def request_headers(req: CallRequest) -> HTTPHeaderDict:
    """Returns the headers that `req` is sent with."""
    headers = HTTPHeaderDict()
    for name, value in end_to_end(req.headers):
        if name.lower() not in SET_HEADERS:
            headers.add(name, value)
    headers[REQUEST_ID_HEADER] = req.request_id
    headers["Accept-Encoding"] = "identity"
    headers["Connection"] = "close"
    if req.key:
        headers[KEY_HEADER] = req.key
    return headers


def end_to_end(headers: Headers) -> Headers:
    """Returns the headers that are not for one connection only."""
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in DROPPED_HEADERS
    )
