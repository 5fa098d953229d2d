"""A streamed generation that survives the loss of its node."""

import contextlib
import time
from collections.abc import Iterator
from typing import NamedTuple, NotRequired, TypedDict, cast

import msgspec
import urllib3
from returns.result import Failure, Result, Success

from savorylift.client.entries import Entries
from savorylift.client.outcomes import (
    ClientError,
    despite,
    error_from,
    not_reached,
)
from savorylift.exchange.events import END_MARK, EventSplitter, data_of
from savorylift.outcomes import Ending

RESUME_PAUSE_S = 0.05
RESUME_READ_S = 1.0
MAX_SILENCE_S = 8.0
NEVER_SENT = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)
HTTP_OK = 200


class Token(NamedTuple):
    """One token, or the end if `finish_reason` is set.

    Attributes:
        answer_id: Identifier of the answer that the token belongs to.
        token_index: Position in the answer, from 0.
        text: Text of the token; empty at the end.
        finish_reason: `stop` or `length` at the end, else None.
    """

    answer_id: str
    token_index: int
    text: str
    finish_reason: str | None


Item = Token | ClientError


class _Choice(TypedDict):
    text: str
    finish_reason: str | None


class _Event(TypedDict):
    id: NotRequired[str]
    choices: NotRequired[list[_Choice]]
    token_index: NotRequired[int]
    error: NotRequired[dict[str, object]]


_decoder = msgspec.json.Decoder(_Event)


class StreamOptions(NamedTuple):
    """Options of one stream.

    Attributes:
        headers: Headers of each request.
        body: JSON body of each request.
        deadline_s: `time.monotonic()` by which the answer must be whole.
        silence_s: Silence after which another node is asked; doubles with
            each resumption that brought no token.
    """

    headers: dict[str, str]
    body: bytes
    deadline_s: float
    silence_s: float


class GenerationStream:
    """Iterates over an answer's tokens across lost connections."""

    def __init__(
        self, entries: Entries, pool: urllib3.PoolManager, cfg: StreamOptions
    ) -> None:
        """Prepares the stream; iterating sends the request."""
        self._entries = entries
        self._pool = pool
        self._cfg = cfg
        self._next_index = 0
        self._answer_id = ""
        self._is_over = False
        self._is_unsure = False  # a request may have begun a generation
        self._silence_s = cfg.silence_s
        self.resumes = 0

    def __iter__(self) -> Iterator[Item]:
        """Yields tokens in order; an error, if one comes, is the last."""
        while not self._is_over:
            opened = self._open()
            if isinstance(opened, Failure):
                yield despite(opened.failure(), self._known())
                return
            url, response = opened.unwrap()
            yield from self._read(url, response)

    def _open(
        self,
    ) -> Result[tuple[str, urllib3.BaseHTTPResponse], ClientError]:
        """Sends the request on one node after another."""
        error = not_reached("no node could be reached")
        while time.monotonic() < self._cfg.deadline_s:
            for url in self._entries.in_order():
                tried = self._try(url)
                if isinstance(tried, Success):
                    return Success((url, tried.unwrap()))
                error = tried.failure()
                if not _may_retry(error):
                    return Failure(error)
            self._pause(error.retry_after_s)
        return Failure(error)

    def _known(self) -> Ending:
        """Returns what is known about the effect of all requests so far."""
        if self._next_index:
            return Ending.FAILED
        return Ending.UNKNOWN if self._is_unsure else Ending.NOT_RUN

    def _pause(self, wanted_s: float | None) -> None:
        left_s = self._cfg.deadline_s - time.monotonic()
        pause_s = max(wanted_s or 0.0, RESUME_PAUSE_S)
        time.sleep(max(0.0, min(pause_s, left_s)))

    def _try(self, url: str) -> Result[urllib3.BaseHTTPResponse, ClientError]:
        try:
            response = self._request(url)
            if response.status == HTTP_OK:
                self._is_unsure = True
                return Success(response)
            return Failure(error_from(response.read()))
        except urllib3.exceptions.HTTPError as exc:
            self._entries.note_failed(url)
            self._is_unsure |= not isinstance(exc, NEVER_SENT)
            # A generation nobody reads is ended by its node, so asking
            # another node for a new one doubles nothing for the caller.
            return Failure(not_reached(str(exc)))

    def _request(self, url: str) -> urllib3.BaseHTTPResponse:
        left_s = self._cfg.deadline_s - time.monotonic()
        headers = self._cfg.headers | {
            "X-Deadline-Ms": str(max(1, int(left_s * 1000)))
        }
        read_s = max(0.01, left_s)
        if self._next_index:
            self.resumes += 1
            # An engine that preempted the stream is silent at every node.
            self._silence_s = min(2 * self._silence_s, MAX_SILENCE_S)
            headers["Last-Event-Id"] = str(self._next_index - 1)
            # Another node shows at once that it is alive.
            read_s = min(read_s, max(self._silence_s, RESUME_READ_S))
        return self._pool.request(
            "POST",
            f"{url}/v1/completions",
            body=self._cfg.body,
            headers=headers,
            timeout=urllib3.Timeout(connect=1.0, read=read_s),
            retries=False,
            preload_content=False,
        )

    def _read(
        self, url: str, response: urllib3.BaseHTTPResponse
    ) -> Iterator[Item]:
        """Yields items until the end mark, an error or a lost connection."""
        splitter = EventSplitter()
        self._limit_silence(response)
        try:
            while data := response.read1():
                for event in splitter.feed(data):
                    text = data_of(event.data)
                    if text == END_MARK:
                        self._is_over = True
                        return
                    if text:
                        yield from self._items(text)
                if self._is_over:
                    return
        except (urllib3.exceptions.HTTPError, OSError):
            self._entries.note_failed(url)
        finally:
            response.close()

    def _limit_silence(self, response: urllib3.BaseHTTPResponse) -> None:
        """Bounds the silence between events, once the first has come."""
        # The connection no longer has its socket once an answer without a
        # length has begun; only the answer's own file does.
        with contextlib.suppress(OSError, AttributeError):
            response._fp.fp.raw._sock.settimeout(  # type: ignore[attr-defined]
                self._silence_s
            )

    def _items(self, data: bytes) -> Iterator[Item]:
        event = _decoder.decode(data)
        if "error" in event:
            error = error_from(data)
            if _may_retry(error):
                self._pause(error.retry_after_s)
                return
            self._is_over = True
            yield error
            return
        self._answer_id = event.get("id", self._answer_id)
        for choice in event.get("choices", []):
            token = Token(
                self._answer_id,
                cast("int", event.get("token_index")),
                choice["text"],
                choice["finish_reason"],
            )
            self._silence_s = self._cfg.silence_s
            if token.finish_reason is None:
                self._next_index = token.token_index + 1
            yield token


def _may_retry(error: ClientError) -> bool:
    return error.ending is Ending.NOT_RUN and error.retry_after_s is not None
