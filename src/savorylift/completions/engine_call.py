"""Encodes requests to engines and services; decodes their responses."""

from typing import NamedTuple

import msgspec
from returns.pipeline import is_successful

from savorylift.completions.caller_request import (
    COMPLETIONS_PATH,
    DEFAULT_RANK,
    PRIORITIES_PER_RANK,
    CompletionBody,
    make_run_id,
)
from savorylift.completions.errors import REQUEST_ID_HEADER
from savorylift.completions.notices import decode_notice
from savorylift.exchange.codec import CancelRequest, OutgoingRequest
from savorylift.exchange.events import (
    DONE_SENTINEL,
    MAX_NUMBER_DIGITS,
    Event,
    EventSplitter,
    event_data,
)
from savorylift.exchange.request import (
    AnswerHead,
    CallerRequest,
    ForwardingOptions,
)
from savorylift.json_input import decode_json
from savorylift.wire.buffer_budget import RESPONSE_BUFFERS
from savorylift.wire.client_call import BrokenAnswerError
from savorylift.wire.message import ResponseHead, end_to_end_headers

GENERATIONS_PATH = "/v1/generations/"
# Statuses by which an engine declares that it has not started the generation:
# 503 if it is full or draining; 409 if it serves another model or already has a
# generation with this id.
NOT_RUN_STATUSES = frozenset({409, 503})
# An engine that doesn't know a run that is to go on.
UNKNOWN_RUN_STATUS = 404
# Any other finish reason, such as `cancelled`, means an incomplete answer.
NORMAL_FINISH_REASONS = frozenset({"stop", "length"})


class Token(NamedTuple):
    """One token of a generation, or its last event.

    Attributes:
        token_index: Index of the token in the output, from 0.
        text: Text of the token; empty in the last event.
        finish_reason: `stop` or `length` in the last event, else None.
        run_id: ID of the run that generated it.
    """

    token_index: int
    text: str
    finish_reason: str | None
    run_id: str


class _EngineEvent(msgspec.Struct):
    id: str
    index: int
    token: str
    finish_reason: str | None = None


def encode_generation(
    req: CallerRequest, forwarding: ForwardingOptions
) -> OutgoingRequest:
    """Encodes the request that starts a generation on an engine.

    A run that the caller names goes on if the engine is its own.
    """
    known = req.known_run
    if known is not None and known.server_id == forwarding.server_id:
        return _encode_rest(req, known.run_id, forwarding.resume_after)
    completion = msgspec.json.decode(req.body, type=CompletionBody)
    run_id = make_run_id(req.attempt_id, forwarding.server_id)
    rank = DEFAULT_RANK if forwarding.priority is None else forwarding.priority
    body = {
        "model": completion.model,
        "version": forwarding.model_version or "",
        "prompt": completion.prompt,
        "max_tokens": completion.max_tokens,
        "seed": completion.seed,
        "stream": True,
        "generation_id": run_id,
        "priority": (DEFAULT_RANK - rank) * PRIORITIES_PER_RANK,
        "team": forwarding.team or "",
    }
    headers = (
        ("host", "engine"),
        ("content-type", "application/json"),
        (REQUEST_ID_HEADER, req.attempt_id),
    )
    data = msgspec.json.encode(body)
    return OutgoingRequest(
        run_id, "POST", COMPLETIONS_PATH, headers, data, _cancel_request(run_id)
    )


def _encode_rest(
    req: CallerRequest, run_id: str, resume_after: str | None
) -> OutgoingRequest:
    """Encodes the request for the rest of a run that goes on."""
    after = resume_after or ""
    is_numbered = after.isdecimal() and len(after) <= MAX_NUMBER_DIGITS
    start = int(after) + 1 if is_numbered else 0
    target = f"{GENERATIONS_PATH}{run_id}/events?from={start}"
    headers = (("host", "engine"), (REQUEST_ID_HEADER, req.attempt_id))
    return OutgoingRequest(
        run_id, "GET", target, headers, b"", _cancel_request(run_id)
    )


def _cancel_request(run_id: str) -> CancelRequest:
    # An engine continues a generation whose connection is closed, so it has to
    # be cancelled explicitly.
    return CancelRequest("DELETE", f"{GENERATIONS_PATH}{run_id}")


def encode_service_call(req: CallerRequest) -> OutgoingRequest:
    """Encodes the request that is forwarded to a plain service."""
    headers = (("host", "service"), *req.headers)
    return OutgoingRequest(
        req.attempt_id, req.method, req.target, headers, req.body
    )


def decode_answer_head(head: ResponseHead, req: CallerRequest) -> AnswerHead:
    """Decodes status and headers of an engine's or a service's response.

    A service echoes the request id in a header. An engine may leave it out: it
    puts the generation id into each event, where `TokenReader` checks it.
    """
    echoed_id = head.header(REQUEST_ID_HEADER)
    is_generation = req.generation is not None
    is_not_run = head.status == 503 or (
        is_generation and head.status in NOT_RUN_STATUSES
    )
    is_not_run |= (
        req.known_run is not None and head.status == UNKNOWN_RUN_STATUS
    )
    return AnswerHead(
        status=head.status,
        headers=end_to_end_headers(head.headers),
        matches_request=echoed_id == req.attempt_id
        or (is_generation and echoed_id is None),
        is_not_run=is_not_run,
        is_signed=True,
        # An event marks the end of a generation.
        is_close_delimited=head.is_close_delimited and not is_generation,
        notice=decode_notice(head),
    )


class TokenReader:
    """Decodes an engine's event stream."""

    def __init__(self, run_id: str) -> None:
        """Initializes the reader.

        Args:
            run_id: Generation id that each event must carry.
        """
        self._run_id = run_id
        self._splitter = EventSplitter(RESPONSE_BUFFERS)
        self._is_complete = False

    def feed(self, data: bytes) -> list[Event]:
        """Returns the tokens that `data` completes, encoded as JSON.

        Tokens that the caller already has are among them: they show that the
        engine works.

        Raises:
            BrokenAnswerError: An event is invalid, too large or of another
                generation.
        """
        events = []
        for event in self._splitter.feed(data):
            text = event_data(event.data)
            if text == DONE_SENTINEL:
                self._is_complete = True
            elif text:
                token = self._decode_event(text)
                encoded = msgspec.json.encode(token)
                events.append(Event(encoded, token.token_index))
        return events

    def end(self) -> None:
        """Checks that the stream is complete.

        Raises:
            BrokenAnswerError: The stream ended without its end marker.
        """
        if not self._is_complete:
            raise BrokenAnswerError("the stream ended without its end marker")

    def close(self) -> None:
        """Drops what it holds of an unfinished event."""
        self._splitter.close()

    def _decode_event(self, text: bytes) -> Token:
        decoded = decode_json(text, _EngineEvent)
        if not is_successful(decoded):
            raise BrokenAnswerError(f"bad engine event: {decoded.failure()}")
        event = decoded.unwrap()
        if event.id != self._run_id:
            raise BrokenAnswerError(
                f"got an event of another generation: {event.id}"
            )
        reason = event.finish_reason
        if reason is not None and reason not in NORMAL_FINISH_REASONS:
            raise BrokenAnswerError(f"generation ended early: {reason}")
        return Token(event.index, event.token, reason, self._run_id)


def decode_token(data: bytes) -> Token:
    """Decodes a token that `TokenReader` encoded."""
    return msgspec.json.decode(data, type=Token)
