"""Generations over HTTP: whole answers, streams and resumed streams."""

import json
import secrets
import time
from collections.abc import Callable
from typing import Annotated, NotRequired, TypedDict

import msgspec
from returns.result import Failure, Result, Success

from savorylift.entry.errors import error_body
from savorylift.entry.exchange import Exchange
from savorylift.entry.request_head import REQUEST_ID_HEADER, RequestHead
from savorylift.outcomes import Reason, Refusal, not_run
from savorylift.rules.view import ANY_MODEL, Model, RulesView
from savorylift.streams.caller_socket import CallerSocket
from savorylift.streams.cleaner import Remnant
from savorylift.streams.generation import Generation
from savorylift.streams.parts import GenerationParts
from savorylift.streams.placement import GenerationRequest
from savorylift.streams.resumption import Resumption, ticket_permit
from savorylift.streams.sink import StreamSink, WholeSink
from savorylift.streams.ticket import open_ticket

DEFAULT_MAX_TOKENS = 1024
MAX_TOKENS = 131_072
SEED_BITS = 31


class CompletionBody(TypedDict):
    """JSON body of a completion request."""

    model: str
    prompt: str
    max_tokens: NotRequired[Annotated[int, msgspec.Meta(ge=1, le=MAX_TOKENS)]]
    seed: NotRequired[Annotated[int, msgspec.Meta(ge=0, lt=1 << SEED_BITS)]]
    stream: NotRequired[bool]


_decoder = msgspec.json.Decoder(CompletionBody)


class Completions:
    """Serves the completion paths of the callers' face."""

    def __init__(self, parts: GenerationParts, buffer_bytes: int) -> None:
        """Keeps what generations need.

        Args:
            parts: Collaborators of the generation slice.
            buffer_bytes: Unsent bytes at which a caller is too slow.
        """
        self._parts = parts
        self._buffer_bytes = buffer_bytes

    def complete(
        self, exchange: Exchange, head: RequestHead
    ) -> Result[None, Refusal]:
        """Answers `POST /v1/completions`; returns what was not sent yet."""
        read = exchange.read_body()
        if isinstance(read, Failure):
            return read
        parsed = _parse(read.unwrap(), head, self._parts.rules.current())
        if isinstance(parsed, Failure):
            return parsed
        body, model = parsed.unwrap()
        req = GenerationRequest(
            request_id=head.request_id,
            team=head.team,
            model=model,
            prompt=body["prompt"],
            max_tokens=body.get("max_tokens", DEFAULT_MAX_TOKENS),
            seed=body.get("seed", secrets.randbits(SEED_BITS)),
            priority=head.priority,
            deadline_s=head.deadline_s,
        )
        if body.get("stream", False):
            return self._stream(exchange, head, req)
        return self._whole(exchange, req)

    def resume(
        self, exchange: Exchange, head: RequestHead, ticket_text: str
    ) -> Result[None, Refusal]:
        """Answers `GET /v1/streams/{ticket}?from=INDEX`."""
        opened = open_ticket(
            ticket_text, self._parts.ticket_keys, head.team.name
        )
        if isinstance(opened, Failure):
            return opened
        from_index = exchange.query.get("from", "0")
        if not from_index.isdecimal() or len(from_index) > 9:
            return Failure(not_run(Reason.BAD_REQUEST, "bad value of from"))
        ticket = opened.unwrap()
        caller = CallerSocket(exchange.socket(), self._buffer_bytes)
        sink = StreamSink(
            caller,
            ticket.answer_id,
            ticket.model,
            _stream_headers(head.request_id),
            accepts_restart=False,
        )
        resumption = Resumption(
            self._parts, ticket, sink, int(from_index), head.deadline_s
        )
        return self._run_stream(exchange, head, sink, resumption.run)

    def cancel(
        self, exchange: Exchange, head: RequestHead, ticket_text: str
    ) -> Result[None, Refusal]:
        """Answers `DELETE /v1/streams/{ticket}`."""
        opened = open_ticket(
            ticket_text, self._parts.ticket_keys, head.team.name
        )
        if isinstance(opened, Failure):
            return opened
        ticket = opened.unwrap()
        permit = ticket_permit(ticket)
        self._parts.gate.take_over(permit)
        remnant = Remnant(permit, ticket.generation_id, time.monotonic(), 0)
        self._parts.cleaner.end(remnant)
        exchange.send("202 Accepted", b'{"cancelled": true}')
        return Success(None)

    def _stream(
        self, exchange: Exchange, head: RequestHead, req: GenerationRequest
    ) -> Result[None, Refusal]:
        caller = CallerSocket(exchange.socket(), self._buffer_bytes)
        sink = StreamSink(
            caller,
            req.request_id,
            req.model.name,
            _stream_headers(req.request_id),
            accepts_restart=head.accepts_restart,
        )
        generation = Generation(self._parts, req, sink)
        return self._run_stream(exchange, head, sink, generation.run)

    def _run_stream(
        self,
        exchange: Exchange,
        head: RequestHead,
        sink: StreamSink,
        run: Callable[[], Result[None, Refusal]],
    ) -> Result[None, Refusal]:
        """Runs a stream and keeps its caller's connection alive meanwhile."""
        self._parts.relay.keep_alive(sink)
        try:
            result = run()
        finally:
            self._parts.relay.forget(sink)
        return _finish_stream(exchange, head, sink, result)

    def _whole(
        self, exchange: Exchange, req: GenerationRequest
    ) -> Result[None, Refusal]:
        caller = CallerSocket(exchange.socket(), self._buffer_bytes)
        sink = WholeSink(caller)
        result = Generation(self._parts, req, sink).run()
        caller.release()
        if isinstance(result, Failure):
            return result
        exchange.send(
            "200 OK",
            _whole_body(req, sink),
            headers=_stream_headers(req.request_id),
        )
        return Success(None)


def _parse(
    data: bytes, head: RequestHead, rules: RulesView
) -> Result[tuple[CompletionBody, Model], Refusal]:
    try:
        body = _decoder.decode(data)
    except msgspec.MsgspecError as exc:
        return Failure(not_run(Reason.BAD_REQUEST, f"bad body: {exc}"))
    model = rules.models.get(body["model"])
    if model is None:
        message = f"unknown model {body['model']!r}"
        return Failure(not_run(Reason.UNKNOWN_MODEL, message))
    allowed = head.team.models
    if ANY_MODEL not in allowed and model.name not in allowed:
        message = f"team {head.team.name} may not use {model.name}"
        refusal = not_run(Reason.MODEL_NOT_ALLOWED, message)
        source = head.team.source
        return Failure(
            refusal._replace(rule=source.text, asked_by=source.asked_by)
        )
    return Success((body, model))


def _finish_stream(
    exchange: Exchange,
    head: RequestHead,
    sink: StreamSink,
    result: Result[None, Refusal],
) -> Result[None, Refusal]:
    """Ends a stream; a refusal before its head is left to the caller."""
    if sink.is_started():
        if isinstance(result, Failure):
            sink.fail(error_body(result.failure(), head.request_id))
        exchange.note_streamed()
    sink.caller.release()
    return result


def _stream_headers(request_id: str) -> list[tuple[str, str]]:
    return [(REQUEST_ID_HEADER, request_id)]


def _whole_body(req: GenerationRequest, sink: WholeSink) -> bytes:
    choice = {
        "index": 0,
        "text": sink.text(),
        "finish_reason": sink.finish_reason,
    }
    body = {
        "id": req.request_id,
        "object": "text_completion",
        "model": req.model.name,
        "choices": [choice],
        "usage": {"completion_tokens": sink.token_count()},
    }
    return json.dumps(body).encode()
