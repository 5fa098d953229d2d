"""The completion interface as a codec of the core."""

from collections.abc import Callable, Sequence

import msgspec
from returns.result import Result

from savorylift.completions.caller_request import decode_request
from savorylift.completions.engine_call import (
    TokenReader,
    generation_call,
    read_head,
    service_call,
)
from savorylift.completions.errors import error_body, error_headers
from savorylift.completions.sinks import StreamSink, WholeSink
from savorylift.exchange.codec import CallerStream, EventSink, Outgoing
from savorylift.exchange.ending import Refused
from savorylift.exchange.request import AnswerHead, CallerRequest, Forwarding
from savorylift.wire.message import Headers, Request, Response, ResponseHead

ENTRY_PATH = "/v1/entry"


class CompletionCodec:
    """Requests by model and team, tokens as events."""

    def request(self, req: Request) -> Result[CallerRequest, Refused]:
        """Returns what a caller asks for, or why that can't be told."""
        return decode_request(req)

    def outgoing(self, req: CallerRequest, how: Forwarding) -> Outgoing:
        """Returns the request for an engine or a plain service."""
        if req.generation is None:
            return service_call(req)
        return generation_call(req, how)

    def answer_head(self, head: ResponseHead, req: CallerRequest) -> AnswerHead:
        """Returns what the head of an answer says."""
        return read_head(head, req)

    def events(self, run_id: str, resume_after: str | None) -> TokenReader:
        """Returns a reader for the tokens of a generation."""
        return TokenReader(run_id, resume_after)

    def sink(self, req: CallerRequest, caller: CallerStream) -> EventSink:
        """Returns a stream of events, or a collector of the whole answer."""
        if req.wants_whole:
            return WholeSink(req, caller)
        return StreamSink(req, caller)

    def refusal(
        self, req: CallerRequest | None, refused: Refused
    ) -> tuple[Headers, bytes]:
        """Returns headers and body of the system's own answer."""
        request_id = "" if req is None else req.attempt_id
        headers = error_headers(request_id, refused)
        return headers, error_body(request_id, refused)


def entry_answer(
    req: Request, addresses: Callable[[], Sequence[str]], ttl_s: float
) -> Response | None:
    """Answers where to connect; None for any other request."""
    path = req.target.partition("?")[0]
    if path != ENTRY_PATH or req.method != "GET":
        return None
    body = {"entries": list(addresses()), "ttl_s": ttl_s}
    headers = (("content-type", "application/json"),)
    return Response(200, headers, msgspec.json.encode(body))
