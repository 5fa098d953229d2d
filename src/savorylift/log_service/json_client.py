"""JSON requests to one platform service behind several base URLs."""

import enum
import threading
from collections.abc import Mapping
from typing import NamedTuple, TypeVar

import msgspec
import urllib3
from returns.result import Failure, Result, Success

from savorylift.log_service.counters import PlatformCounters

OK = 200

T = TypeVar("T")


class ClientConfig(NamedTuple):
    """How to reach one platform service.

    Attributes:
        base_urls: Equivalent addresses, such as `http://127.0.0.1:7000`.
        connect_timeout_s: Longest wait for a TCP connection.
        read_timeout_s: Longest silence of the server within an answer.
        headers: Sent with each request, such as a credential.
        ca_file: Certificates to trust for `https`; None for the system's.
    """

    base_urls: tuple[str, ...]
    connect_timeout_s: float = 0.5
    read_timeout_s: float = 1.0
    headers: Mapping[str, str] = {}
    ca_file: str | None = None


class FaultReason(enum.StrEnum):
    """Why a request got no usable answer."""

    CONNECT = "connect"
    TIMEOUT = "timeout"
    BROKEN = "broken"
    REFUSED = "refused"
    BAD_ANSWER = "bad_answer"


class ClientFault(NamedTuple):
    """A request without a usable answer.

    Attributes:
        may_have_applied: True unless the service certainly did nothing.
        reason: Stable code for the cause.
        message: Cause, for operators.
    """

    may_have_applied: bool
    reason: FaultReason
    message: str


class JsonRequest(NamedTuple):
    """One request.

    Attributes:
        method: HTTP method.
        path: Path and query, from the slash on.
        body: JSON to send.
        wait_s: How long the server was asked to hold its answer back.
    """

    method: str
    path: str
    body: bytes | None = None
    wait_s: float = 0.0


class _Error(msgspec.Struct):
    code: str
    message: str = ""


class _ErrorBody(msgspec.Struct):
    error: _Error


class JsonClient:
    """Sends requests; safe for use by several threads.

    A base URL that can't be connected to is skipped within the request, as
    nothing was sent. Any other fault ends the request, closes the idle
    connections (what silenced one may have silenced all of them) and
    makes the next request start at the next base URL.
    """

    def __init__(
        self, service: str, cfg: ClientConfig, counters: PlatformCounters
    ) -> None:
        """Makes a client; connections are opened when first needed."""
        assert cfg.base_urls, "a platform service needs a base URL"
        self._service = service
        self._cfg = cfg
        self._counters = counters
        self._http = urllib3.PoolManager(
            maxsize=4, retries=False, ca_certs=cfg.ca_file
        )
        self._lock = threading.Lock()
        self._preferred = 0

    def request(
        self, req: JsonRequest, answer_type: type[T]
    ) -> Result[T, ClientFault]:
        """Returns the decoded body of a 200 answer."""
        start = self._preferred
        count = len(self._cfg.base_urls)
        for step in range(count):
            index = (start + step) % count
            result = self._try(index, req).bind(
                lambda data: _decode(data, answer_type)
            )
            if isinstance(result, Success):
                return result
            fault = result.failure()
            self._counters.count(self._service, fault.reason)
            self._move_past(index)
            if fault.reason is not FaultReason.CONNECT:
                break
        return result

    def close(self) -> None:
        """Closes idle connections."""
        self._http.clear()

    def _try(self, index: int, req: JsonRequest) -> Result[bytes, ClientFault]:
        headers = dict(self._cfg.headers)
        if req.body is not None:
            headers["Content-Type"] = "application/json"
        timeout = urllib3.Timeout(
            connect=self._cfg.connect_timeout_s,
            read=self._cfg.read_timeout_s + req.wait_s,
        )
        try:
            answer = self._http.request(
                req.method,
                self._cfg.base_urls[index].rstrip("/") + req.path,
                body=req.body,
                headers=headers,
                timeout=timeout,
                redirect=False,
            )
        except urllib3.exceptions.HTTPError as exc:
            self._http.clear()
            return Failure(_transport_fault(exc))
        if answer.status == OK:
            return Success(answer.data)
        return Failure(_status_fault(answer.status, answer.data))

    def _move_past(self, index: int) -> None:
        with self._lock:
            if self._preferred == index:
                self._preferred = (index + 1) % len(self._cfg.base_urls)


def bad_answer(message: str) -> ClientFault:
    """Returns the fault of a 200 answer that can't be read."""
    return ClientFault(
        may_have_applied=True,
        reason=FaultReason.BAD_ANSWER,
        message=message,
    )


def _decode(data: bytes, answer_type: type[T]) -> Result[T, ClientFault]:
    try:
        return Success(msgspec.json.decode(data, type=answer_type))
    except msgspec.DecodeError as exc:
        return Failure(bad_answer(str(exc)))


def _transport_fault(exc: urllib3.exceptions.HTTPError) -> ClientFault:
    if isinstance(
        exc,
        urllib3.exceptions.NewConnectionError
        | urllib3.exceptions.ConnectTimeoutError,
    ):
        return ClientFault(
            may_have_applied=False,
            reason=FaultReason.CONNECT,
            message=str(exc),
        )
    is_timeout = isinstance(exc, urllib3.exceptions.TimeoutError)
    reason = FaultReason.TIMEOUT if is_timeout else FaultReason.BROKEN
    return ClientFault(may_have_applied=True, reason=reason, message=str(exc))


def _status_fault(status: int, data: bytes) -> ClientFault:
    # Only the service's own error body shows that it refused; a status from
    # something in between says nothing about what the service did.
    try:
        error = msgspec.json.decode(data, type=_ErrorBody).error
    except msgspec.DecodeError:
        return bad_answer(f"status {status} without an error body")
    return ClientFault(
        may_have_applied=False,
        reason=FaultReason.REFUSED,
        message=f"status {status} {error.code}: {error.message}",
    )
