"""Client that sends the requests of one team to savorylift nodes."""

import json
import secrets
import time
from collections.abc import Mapping
from typing import NamedTuple

import urllib3
from returns.result import Failure, Result, Success

from savorylift.client.connection_pool import make_pool
from savorylift.client.node_addresses import NodeAddresses
from savorylift.client.outcomes import (
    Answer,
    CallReply,
    ClientError,
    connection_error,
    decode_error,
    with_earlier_ending,
)
from savorylift.client.stream import GenerationStream, StreamOptions
from savorylift.identity import new_id
from savorylift.outcomes import Ending

MIN_RETRY_DELAY_S = 0.05
SEED_BITS = 31
# Methods without side effects: retried even if the first attempt may have run.
RETRYABLE_METHODS = frozenset({"GET", "HEAD"})


class ClientOptions(NamedTuple):
    """Options of a client.

    Attributes:
        seeds: Base URLs, `http://ip:port`, of some nodes.
        team: Team that the requests belong to.
        timeout_s: Default timeout of a request.
        connect_s: Connect timeout.
        silence_s: Time without data after which a stream is resumed at
            another node.
        authorities: Path of a PEM file with the CA certificates for TLS;
            None for the system's.
    """

    seeds: tuple[str, ...]
    team: str
    timeout_s: float = 60.0
    connect_s: float = 1.0
    silence_s: float = 0.75
    authorities: str | None = None


class Client:
    """Requests generations and calls services; thread-safe."""

    def __init__(self, cfg: ClientOptions) -> None:
        """Initializes the client; connections are opened on first use."""
        self._cfg = cfg
        self._pool = make_pool(cfg.authorities)
        self._nodes = NodeAddresses(cfg.seeds, cfg.team, self._pool)

    def stream(
        self,
        model: str,
        prompt: str,
        max_tokens: int | None = None,
        timeout_s: float | None = None,
        seed: int | None = None,
    ) -> GenerationStream:
        """Returns a stream; iterating over it yields the tokens."""
        body = _completion_body(model, prompt, max_tokens, seed, is_stream=True)
        cfg = StreamOptions(
            headers=self._headers(new_id("req")),
            body=json.dumps(body).encode(),
            deadline_s=self._deadline_s(timeout_s),
            silence_s=self._cfg.silence_s,
        )
        return GenerationStream(self._nodes, self._pool, cfg)

    def complete(
        self,
        model: str,
        prompt: str,
        max_tokens: int | None = None,
        timeout_s: float | None = None,
        seed: int | None = None,
    ) -> Result[Answer, ClientError]:
        """Returns the complete answer."""
        body = _completion_body(
            model, prompt, max_tokens, seed, is_stream=False
        )
        reply = self._send(
            "POST",
            "/v1/completions",
            self._headers(new_id("req")),
            json.dumps(body).encode(),
            self._deadline_s(timeout_s),
            is_retryable=True,
        )
        return reply.bind(_decode_answer)

    def call(
        self,
        service: str,
        method: str,
        path: str,
        body: bytes = b"",
        key: str | None = None,
        timeout_s: float | None = None,
    ) -> Result[CallReply, ClientError]:
        """Calls a plain service and returns its response.

        Args:
            service: Name of the service.
            method: HTTP method.
            path: Path and query, starting with a slash.
            body: Request body.
            key: Idempotency key, passed on to the service.
            timeout_s: Timeout of the request; None for the client's default.
        """
        headers = self._headers(new_id("req"))
        if key is not None:
            headers["Idempotency-Key"] = key
        return self._send(
            method,
            f"/v1/services/{service}{path}",
            headers,
            body,
            self._deadline_s(timeout_s),
            is_retryable=method in RETRYABLE_METHODS,
        )

    def _deadline_s(self, timeout_s: float | None) -> float:
        if timeout_s is None:
            timeout_s = self._cfg.timeout_s
        return time.monotonic() + timeout_s

    def _headers(self, request_id: str) -> dict[str, str]:
        return {
            "X-Team": self._cfg.team,
            "X-Request-Id": request_id,
            "Content-Type": "application/json",
            # A node may close an idle connection just as it is reused; the
            # client could then not tell whether the request ran.
            "Connection": "close",
        }

    def _send(
        self,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
        deadline_s: float,
        *,
        is_retryable: bool,
    ) -> Result[CallReply, ClientError]:
        """Tries the nodes in turn until one responds or the deadline passes."""
        error = connection_error("no node could be reached")
        earlier_ending = Ending.NOT_RUN
        while time.monotonic() < deadline_s:
            for url in self._nodes.in_order():
                result = self._send_to_node(
                    method, url + path, headers, body, deadline_s
                )
                if isinstance(result, Success):
                    return result
                error = result.failure()
                if error.code == "connection":
                    self._nodes.note_failed(url)
                if not _may_retry(error, is_retryable=is_retryable):
                    return Failure(with_earlier_ending(error, earlier_ending))
                if error.ending is not Ending.NOT_RUN:
                    earlier_ending = error.ending
            delay_s = max(error.retry_after_s or 0.0, MIN_RETRY_DELAY_S)
            time.sleep(max(0.0, min(delay_s, deadline_s - time.monotonic())))
        return Failure(with_earlier_ending(error, earlier_ending))

    def _send_to_node(
        self,
        method: str,
        url: str,
        headers: Mapping[str, str],
        body: bytes,
        deadline_s: float,
    ) -> Result[CallReply, ClientError]:
        left_s = max(0.01, deadline_s - time.monotonic())
        timeout = urllib3.Timeout(connect=self._cfg.connect_s, read=left_s)
        sent = dict(headers) | {"X-Deadline-Ms": str(int(left_s * 1000) or 1)}
        try:
            response = self._pool.request(
                method,
                url,
                body=body,
                headers=sent,
                timeout=timeout,
                retries=False,
                redirect=False,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as exc:
            return Failure(connection_error(str(exc)))
        except urllib3.exceptions.HTTPError as exc:
            return Failure(connection_error(str(exc), Ending.UNKNOWN))
        if _is_node_error(response):
            return Failure(decode_error(response.data))
        response_headers = tuple(response.headers.items())
        return Success(
            CallReply(response.status, response_headers, response.data)
        )


def _may_retry(error: ClientError, *, is_retryable: bool) -> bool:
    if error.retry_after_s is None:
        return False
    return error.ending is Ending.NOT_RUN or (
        is_retryable and error.code == "connection"
    )


def _is_node_error(response: urllib3.BaseHTTPResponse) -> bool:
    """Returns True if the error comes from a node, not from a service."""
    return response.headers.get("X-Savorylift-Error") == "true"


def _completion_body(
    model: str,
    prompt: str,
    max_tokens: int | None,
    seed: int | None,
    *,
    is_stream: bool,
) -> dict[str, object]:
    body: dict[str, object] = {
        "model": model,
        "prompt": prompt,
        "stream": is_stream,
    }
    if max_tokens is not None:
        body["max_tokens"] = max_tokens
    # A stream can only be resumed at another node if that node generates the
    # same tokens.
    body["seed"] = secrets.randbits(SEED_BITS) if seed is None else seed
    return body


def _decode_answer(reply: CallReply) -> Result[Answer, ClientError]:
    try:
        body = json.loads(reply.body)
        choice = body["choices"][0]
        return Success(
            Answer(body["id"], choice["text"], choice["finish_reason"])
        )
    except (ValueError, KeyError, IndexError):
        return Failure(decode_error(reply.body))
