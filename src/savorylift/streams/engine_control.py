"""Short requests to an engine beside its streams: cancel and load."""

import contextlib
import enum
import json

import urllib3
from returns.result import Failure, Result, Success

TIMEOUT_S = 1.0
HTTP_OK = 200
HTTP_NOT_FOUND = 404


class CancelOutcome(enum.Enum):
    """What a cancel request brought about."""

    STOPPED = enum.auto()
    UNKNOWN_THERE = enum.auto()


class EngineControl:
    """Sends control requests, each on a fresh connection."""

    def cancel(
        self, address: str, generation_id: str
    ) -> Result[CancelOutcome, str]:
        """Cancels a generation; on success nothing of it runs any more."""
        url = f"http://{address}/v1/generations/{generation_id}"
        try:
            response = urllib3.request(
                "DELETE", url, timeout=TIMEOUT_S, retries=False
            )
        except urllib3.exceptions.HTTPError as exc:
            return Failure(str(exc))
        if response.status == HTTP_OK:
            return Success(CancelOutcome.STOPPED)
        if response.status == HTTP_NOT_FOUND and _names_generation(response):
            return Success(CancelOutcome.UNKNOWN_THERE)
        return Failure(f"status {response.status}")


def _names_generation(response: urllib3.BaseHTTPResponse) -> bool:
    """Returns True if a 404 speaks of the generation, not of the path."""
    with contextlib.suppress(ValueError, KeyError, TypeError):
        code = json.loads(response.data)["error"]["code"]
        return bool(code == "unknown_generation")
    return False
