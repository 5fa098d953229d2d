"""HTTP client for requests to processes under test."""

from collections.abc import Mapping
from typing import Any, NamedTuple

import msgspec
import urllib3

DEFAULT_TIMEOUT_S = 10.0

_pool = urllib3.PoolManager(num_pools=64, maxsize=16, retries=False)


class Response(NamedTuple):
    """A complete HTTP response; header names are case-insensitive."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    def json(self) -> dict[str, Any]:
        """Returns the body, decoded from a JSON object."""
        return msgspec.json.decode(self.body, type=dict)


def request(
    method: str,
    url: str,
    json: object = None,
    headers: Mapping[str, str] | None = None,
    timeout_s: float = DEFAULT_TIMEOUT_S,
) -> Response:
    """Sends one request without retries and returns its response.

    Raises:
        urllib3.exceptions.HTTPError: No complete response arrived within
            `timeout_s`.
    """
    response = _pool.request(
        method,
        url,
        body=None if json is None else msgspec.json.encode(json),
        headers={"Content-Type": "application/json", **(headers or {})},
        timeout=timeout_s,
    )
    return Response(response.status, response.headers, response.data)
