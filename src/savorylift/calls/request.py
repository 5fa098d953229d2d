"""A call to a plain service, its answer and the fingerprint of a call."""

import hashlib
from typing import NamedTuple

Headers = tuple[tuple[str, str], ...]

FINGERPRINT_BYTES = 8


class CallRequest(NamedTuple):
    """One call that a caller asks for.

    Attributes:
        request_id: Identifier that the service's answer has to carry.
        team: Team of the caller.
        service: Name of the plain service.
        method: HTTP method in upper case.
        path: Path and query at the service, starting with a slash.
        headers: End-to-end headers to pass on.
        body: Whole request body.
        key: Value of `Idempotency-Key`, or None.
        deadline_s: `time.monotonic()` after which an answer is of no use.
        priority: Higher goes first; 0 is ordinary.
    """

    request_id: str
    team: str
    service: str
    method: str
    path: str
    headers: Headers
    body: bytes
    key: str | None
    deadline_s: float
    priority: int = 0


class CallAnswer(NamedTuple):
    """The whole answer of a plain service.

    Attributes:
        status: HTTP status.
        headers: End-to-end headers of the answer.
        body: Whole answer body.
        backend_server: Backend server that answered.
        is_replay: True if the answer is the recorded one of an earlier try.
    """

    status: int
    headers: Headers
    body: bytes
    backend_server: str
    is_replay: bool = False


def fingerprint(req: CallRequest) -> str:
    """Returns a hash of what a key must not be reused with changed."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (req.team, req.service, req.method, req.path):
        digest.update(part.encode())
        digest.update(b"\0")
    digest.update(req.body)
    return digest.hexdigest()
