"""Streamed generation that is resumed at another node after a failure."""

import contextlib
import time
from collections.abc import Iterator
from typing import NamedTuple, NotRequired, TypedDict, cast

import msgspec
import urllib3
from returns.result import Failure, Result, Success

from savorylift.client.node_addresses import NodeAddresses
from savorylift.client.outcomes import (
    ClientError,
    connection_error,
    decode_error,
    with_earlier_ending,
)
from savorylift.exchange.events import DONE_SENTINEL, EventSplitter, event_data
from savorylift.outcomes import Ending
from savorylift.wire.client_call import BrokenAnswerError

MIN_RETRY_DELAY_S = 0.05
MIN_RESUME_READ_TIMEOUT_S = 1.0
MAX_SILENCE_S = 8.0
# Errors after which the request has certainly not reached the node.
CONNECT_ERRORS = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)
HTTP_OK = 200


class Token(NamedTuple):
    """One token, or the end of the answer if `finish_reason` is set.

    Attributes:
        answer_id: Identifier of the answer that the token belongs to.
        token_index: Index of the token in the answer, from 0.
        text: Text of the token; empty in the last item.
        finish_reason: `stop` or `length` in the last item, else None.
    """

    answer_id: str
    token_index: int
    text: str
    finish_reason: str | None


StreamItem = Token | ClientError


class _Choice(TypedDict):
    text: str
    finish_reason: str | None


class _Event(TypedDict):
    id: NotRequired[str]
    choices: NotRequired[list[_Choice]]
    token_index: NotRequired[int]
    run: NotRequired[str]
    error: NotRequired[dict[str, object]]


_decoder = msgspec.json.Decoder(_Event)


class StreamOptions(NamedTuple):
    """Options of one stream.

    Attributes:
        headers: Headers of each request.
        body: JSON body of each request.
        deadline_s: Monotonic time by which the answer must be complete.
        silence_s: Time without data after which the stream is resumed at
            another node; doubles with each resumption that brought no token.
    """

    headers: dict[str, str]
    body: bytes
    deadline_s: float
    silence_s: float


class GenerationStream:
    """Iterates over the tokens of an answer, resuming after lost connections.

    Attributes:
        resumes: Number of requests sent to resume the stream.
    """

    def __init__(
        self,
        nodes: NodeAddresses,
        pool: urllib3.PoolManager,
        cfg: StreamOptions,
    ) -> None:
        """Initializes the stream; the request is sent on iteration."""
        self._nodes = nodes
        self._pool = pool
        self._cfg = cfg
        self._next_index = 0
        self._answer_id = ""
        # Run that sent the last token; it may go on without its node.
        self._run_id = ""
        self._is_finished = False
        # Whether an attempt may have started a generation.
        self._may_have_started = False
        self._silence_s = cfg.silence_s
        # Nodes that have refused the rest of the stream since the last wait,
        # with their errors.
        self._refusals: dict[str, ClientError] = {}
        self.resumes = 0

    def __iter__(self) -> Iterator[StreamItem]:
        """Yields the tokens in order; an error is always the last item."""
        while not self._is_finished:
            opened = self._open()
            if isinstance(opened, Failure):
                yield with_earlier_ending(
                    opened.failure(), self._overall_ending()
                )
                return
            url, response = opened.unwrap()
            yield from self._read_events(url, response)

    def _open(
        self,
    ) -> Result[tuple[str, urllib3.BaseHTTPResponse], ClientError]:
        """Tries the nodes in turn until one accepts the request."""
        error = connection_error("no node could be reached")
        while time.monotonic() < self._cfg.deadline_s:
            for url in self._nodes.in_order():
                if url in self._refusals:
                    continue
                result = self._send_to_node(url)
                if isinstance(result, Success):
                    return Success((url, result.unwrap()))
                error = result.failure()
                if not _may_retry(error):
                    return Failure(error)
            self._wait_before_retry(self._soonest_retry_s(error))
        return Failure(error)

    def _soonest_retry_s(self, error: ClientError) -> float | None:
        """Returns when to try all nodes again, which none has served.

        Args:
            error: Error of the node tried last.
        """
        refusals = [*self._refusals.values()]
        if not refusals or error.code != "connection":
            refusals.append(error)
        self._refusals.clear()
        return min(
            (e.retry_after_s for e in refusals if e.retry_after_s is not None),
            default=None,
        )

    def _overall_ending(self) -> Ending:
        """Returns what is known of the effect of all attempts so far."""
        if self._next_index:
            return Ending.FAILED
        return Ending.UNKNOWN if self._may_have_started else Ending.NOT_RUN

    def _wait_before_retry(self, retry_after_s: float | None) -> None:
        left_s = self._cfg.deadline_s - time.monotonic()
        delay_s = max(retry_after_s or 0.0, MIN_RETRY_DELAY_S)
        time.sleep(max(0.0, min(delay_s, left_s)))

    def _send_to_node(
        self, url: str
    ) -> Result[urllib3.BaseHTTPResponse, ClientError]:
        try:
            response = self._request(url)
            if response.status == HTTP_OK:
                self._may_have_started = True
                return Success(response)
            return Failure(decode_error(response.read()))
        except urllib3.exceptions.HTTPError as exc:
            self._nodes.note_failed(url)
            self._may_have_started |= not isinstance(exc, CONNECT_ERRORS)
            # A node cancels the generation of a caller that disconnects, so a
            # retry at another node leaves no second generation running.
            return Failure(connection_error(str(exc)))

    def _request(self, url: str) -> urllib3.BaseHTTPResponse:
        left_s = self._cfg.deadline_s - time.monotonic()
        headers = self._cfg.headers | {
            "X-Deadline-Ms": str(max(1, int(left_s * 1000)))
        }
        read_s = max(0.01, left_s)
        if self._next_index:
            self.resumes += 1
            # A preempted generation sends no tokens through any node, so the
            # timeout backs off exponentially.
            self._silence_s = min(2 * self._silence_s, MAX_SILENCE_S)
            headers["Last-Event-Id"] = str(self._next_index - 1)
            if self._run_id:
                headers["X-Run"] = self._run_id
            # A node starts the response to a resumed request at once, before
            # the first token.
            read_s = min(
                read_s, max(self._silence_s, MIN_RESUME_READ_TIMEOUT_S)
            )
        return self._pool.request(
            "POST",
            f"{url}/v1/completions",
            body=self._cfg.body,
            headers=headers,
            timeout=urllib3.Timeout(connect=1.0, read=read_s),
            retries=False,
            preload_content=False,
        )

    def _read_events(
        self, url: str, response: urllib3.BaseHTTPResponse
    ) -> Iterator[StreamItem]:
        """Yields items until the end marker, an error or a lost connection."""
        splitter = EventSplitter()
        self._set_read_timeout(response)
        try:
            while data := response.read1():
                for event in splitter.feed(data):
                    text = event_data(event.data)
                    if text == DONE_SENTINEL:
                        self._is_finished = True
                        return
                    if text:
                        yield from self._decode_event(url, text)
                if self._is_finished or url in self._refusals:
                    return
        except (urllib3.exceptions.HTTPError, OSError, BrokenAnswerError):
            self._nodes.note_failed(url)
        finally:
            response.close()

    def _set_read_timeout(self, response: urllib3.BaseHTTPResponse) -> None:
        """Sets the read timeout for the body to the silence timeout."""
        # Once the body of a response without Content-Length has begun, the
        # connection no longer holds the socket; only the response's file does.
        with contextlib.suppress(OSError, AttributeError):
            response._fp.fp.raw._sock.settimeout(  # type: ignore[attr-defined]
                self._silence_s
            )

    def _decode_event(self, url: str, data: bytes) -> Iterator[StreamItem]:
        event = _decoder.decode(data)
        if "error" in event:
            error = decode_error(data)
            if _may_retry(error):
                # Another node may have room now.
                self._refusals[url] = error
                return
            self._is_finished = True
            yield error
            return
        self._answer_id = event.get("id", self._answer_id)
        self._run_id = event.get("run", self._run_id)
        for choice in event.get("choices", []):
            token = Token(
                self._answer_id,
                cast("int", event.get("token_index")),
                choice["text"],
                choice["finish_reason"],
            )
            self._silence_s = self._cfg.silence_s
            self._refusals.clear()
            if token.finish_reason is None:
                self._next_index = token.token_index + 1
            else:
                # What is left on the connection is only the end marker.
                self._is_finished = True
            yield token


def _may_retry(error: ClientError) -> bool:
    return error.ending is Ending.NOT_RUN and error.retry_after_s is not None
