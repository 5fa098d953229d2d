"""Requests to savorylift on behalf of one team."""

import json
import secrets
import time
from collections.abc import Mapping
from typing import NamedTuple

import urllib3
from returns.result import Failure, Result, Success

from savorylift.client.entries import Entries
from savorylift.client.outcomes import (
    Answer,
    CallReply,
    ClientError,
    despite,
    error_from,
    not_reached,
)
from savorylift.client.stream import GenerationStream, StreamOptions
from savorylift.identity import new_id
from savorylift.outcomes import Ending

MIN_PAUSE_S = 0.05
SEED_BITS = 31
REPEATABLE = frozenset({"GET", "HEAD"})


class ClientOptions(NamedTuple):
    """Options of a client.

    Attributes:
        seeds: `http://ip:port` of some nodes.
        team: Team that the requests belong to.
        timeout_s: Deadline of a request that names none.
        connect_s: Bound on opening a connection.
        silence_s: Silence on a stream after which another node is asked.
        authorities: Path of PEM certificates to trust, for TLS.
    """

    seeds: tuple[str, ...]
    team: str
    timeout_s: float = 60.0
    connect_s: float = 1.0
    silence_s: float = 0.75
    authorities: str | None = None


class Client:
    """Sends generations and calls; safe to share between threads."""

    def __init__(self, cfg: ClientOptions) -> None:
        """Opens no connection before the first request."""
        self._cfg = cfg
        self._pool = urllib3.PoolManager(
            maxsize=1, block=False, ca_certs=cfg.authorities
        )
        self._entries = Entries(cfg.seeds, cfg.team, self._pool)

    def stream(
        self,
        model: str,
        prompt: str,
        max_tokens: int | None = None,
        timeout_s: float | None = None,
        seed: int | None = None,
    ) -> GenerationStream:
        """Returns a stream whose iteration yields the answer's tokens."""
        body = _completion(model, prompt, max_tokens, seed, is_stream=True)
        cfg = StreamOptions(
            headers=self._headers(new_id("req")),
            body=json.dumps(body).encode(),
            deadline_s=self._deadline_s(timeout_s),
            silence_s=self._cfg.silence_s,
        )
        return GenerationStream(self._entries, self._pool, cfg)

    def complete(
        self,
        model: str,
        prompt: str,
        max_tokens: int | None = None,
        timeout_s: float | None = None,
        seed: int | None = None,
    ) -> Result[Answer, ClientError]:
        """Returns a whole answer."""
        body = _completion(model, prompt, max_tokens, seed, is_stream=False)
        replied = self._send(
            "POST",
            "/v1/completions",
            self._headers(new_id("req")),
            json.dumps(body).encode(),
            self._deadline_s(timeout_s),
            may_repeat=True,
        )
        return replied.bind(_answer_from)

    def call(
        self,
        service: str,
        method: str,
        path: str,
        body: bytes = b"",
        key: str | None = None,
        timeout_s: float | None = None,
    ) -> Result[CallReply, ClientError]:
        """Returns a plain service's answer.

        Args:
            service: Name of the service.
            method: HTTP method.
            path: Path and query, starting with a slash.
            body: Request body.
            key: Idempotency key, passed on for the service to judge by.
            timeout_s: Deadline, or None for the client's own.
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
            may_repeat=method in REPEATABLE,
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
            # A node may close an idle connection just as it is used again,
            # and then nobody knows whether the request ran.
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
        may_repeat: bool,
    ) -> Result[CallReply, ClientError]:
        """Tries one node after another until one answers."""
        error = not_reached("no node could be reached")
        known = Ending.NOT_RUN
        while time.monotonic() < deadline_s:
            for url in self._entries.in_order():
                tried = self._try(method, url + path, headers, body, deadline_s)
                if isinstance(tried, Success):
                    return tried
                error = tried.failure()
                if error.code == "connection":
                    self._entries.note_failed(url)
                if not _may_retry(error, may_repeat=may_repeat):
                    return Failure(despite(error, known))
                if error.ending is not Ending.NOT_RUN:
                    known = error.ending
            pause_s = max(error.retry_after_s or 0.0, MIN_PAUSE_S)
            time.sleep(max(0.0, min(pause_s, deadline_s - time.monotonic())))
        return Failure(despite(error, known))

    def _try(
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
            return Failure(not_reached(str(exc)))
        except urllib3.exceptions.HTTPError as exc:
            return Failure(not_reached(str(exc), Ending.UNKNOWN))
        if _is_refusal(response):
            return Failure(error_from(response.data))
        got = tuple(response.headers.items())
        return Success(CallReply(response.status, got, response.data))


def _may_retry(error: ClientError, *, may_repeat: bool) -> bool:
    if error.retry_after_s is None:
        return False
    return error.ending is Ending.NOT_RUN or (
        may_repeat and error.code == "connection"
    )


def _is_refusal(response: urllib3.BaseHTTPResponse) -> bool:
    """Returns True if a node, not a plain service, speaks of an error."""
    return response.headers.get("X-Savorylift-Error") == "true"


def _completion(
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
    # Another node has to make the same tokens to go on with a stream.
    body["seed"] = secrets.randbits(SEED_BITS) if seed is None else seed
    return body


def _answer_from(reply: CallReply) -> Result[Answer, ClientError]:
    try:
        body = json.loads(reply.body)
        choice = body["choices"][0]
        return Success(
            Answer(body["id"], choice["text"], choice["finish_reason"])
        )
    except (ValueError, KeyError, IndexError):
        return Failure(error_from(reply.body))
