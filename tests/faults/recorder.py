"""A connection pool that notes what nodes answered to each request."""

import json
import time
from collections.abc import Mapping
from typing import Any, NamedTuple

import urllib3

ENTRY_PATH = "/v1/entry"


class Attempt(NamedTuple):
    """One request to one node.

    Attributes:
        request_id: Identifier that the request carried.
        address: Node's address for callers.
        key: Idempotency key, or an empty string.
        status: HTTP status; None if no whole answer came.
        error: The node's error, or None if the answer is no refusal.
        time_s: Wall-clock time at which it was sent.
    """

    request_id: str
    address: str
    key: str
    status: int | None
    error: Mapping[str, Any] | None
    time_s: float


class RecordingPool(urllib3.PoolManager):
    """Notes attempts, and sends each through the link of its node."""

    def __init__(self, links: Mapping[str, str]) -> None:
        """Starts empty; `links` are addresses to use in place of nodes'."""
        super().__init__(maxsize=1, block=False)
        self.attempts: list[Attempt] = []
        self.last_address = ""
        self._links = links

    def urlopen(  # type: ignore[override]
        self,
        method: str,
        url: str,
        **kw: Any,  # noqa: ANN401
    ) -> urllib3.BaseHTTPResponse:
        """Sends one request."""
        if ENTRY_PATH in url:
            return super().urlopen(method, self._linked(url), **kw)
        address = url.split("/")[2]
        self.last_address = address
        headers = kw.get("headers") or {}
        attempt = Attempt(
            str(headers.get("X-Request-Id", "")),
            address,
            str(headers.get("Idempotency-Key", "")),
            None,
            None,
            time.time(),
        )
        try:
            response = super().urlopen(method, self._linked(url), **kw)
            error = _error_of(response)
        except urllib3.exceptions.HTTPError:
            self.attempts.append(attempt)
            raise
        self.attempts.append(
            attempt._replace(status=response.status, error=error)
        )
        return response

    def _linked(self, url: str) -> str:
        address = url.split("/")[2]
        return url.replace(address, self._links.get(address, address), 1)


def _error_of(
    response: urllib3.BaseHTTPResponse,
) -> Mapping[str, Any] | None:
    if response.headers.get("X-Savorylift-Error") != "true":
        return None
    data = response.data
    # The client reads the body again, unaware that it was read here.
    response.read = lambda *_, **__: data  # type: ignore[method-assign]
    error: Mapping[str, Any] = json.loads(data)["error"]
    return error
