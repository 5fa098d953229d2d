"""Plain HTTP requests to processes under test."""

from collections.abc import Mapping
from typing import Any, NamedTuple

import msgspec
import urllib3

TIMEOUT_S = 10.0

_pool = urllib3.PoolManager(num_pools=64, maxsize=16, retries=False)


class Answer(NamedTuple):
    """A whole answer; header names are case-insensitive."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    def json(self) -> dict[str, Any]:
        """Returns the body, a JSON object."""
        return msgspec.json.decode(self.body, type=dict)


def request(
    method: str,
    url: str,
    json: object = None,
    headers: Mapping[str, str] | None = None,
    timeout_s: float = TIMEOUT_S,
) -> Answer:
    """Sends one request and returns its answer.

    Raises:
        urllib3.exceptions.HTTPError: No whole answer came in time.
    """
    answer = _pool.request(
        method,
        url,
        body=None if json is None else msgspec.json.encode(json),
        headers={"Content-Type": "application/json", **(headers or {})},
        timeout=timeout_s,
    )
    return Answer(answer.status, answer.headers, answer.data)
