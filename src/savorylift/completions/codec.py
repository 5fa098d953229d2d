"""Codec of the completion interface."""

from collections.abc import Callable, Sequence

import msgspec
from returns.result import Result

from savorylift.completions.caller_request import (
    DEADLINE_HEADER,
    TEAM_HEADER,
    decode_request,
)
from savorylift.completions.engine_call import (
    TokenReader,
    decode_answer_head,
    encode_generation,
    encode_service_call,
)
from savorylift.completions.errors import error_body, error_headers
from savorylift.completions.notices import decode_notice
from savorylift.completions.sinks import BufferingSink, StreamSink
from savorylift.exchange.codec import CallerStream, EventSink, OutgoingRequest
from savorylift.exchange.request import (
    AnswerHead,
    CallerRequest,
    ForwardingOptions,
)
from savorylift.exchange.results import Refused
from savorylift.exchange.server_notice import ServerNotice
from savorylift.wire.message import (
    Headers,
    Request,
    Response,
    ResponseHead,
    decode_milliseconds,
)

ENTRY_PATH = "/v1/entry"


class CompletionCodec:
    """Translates between the completion interface and the core's types."""

    team_header = TEAM_HEADER

    def decode_request(self, req: Request) -> Result[CallerRequest, Refused]:
        """Decodes a caller's request; returns a refusal if it is invalid."""
        return decode_request(req)

    def encode_request(
        self, req: CallerRequest, forwarding: ForwardingOptions
    ) -> OutgoingRequest:
        """Returns the request for an engine or a plain service."""
        if req.generation is None:
            return encode_service_call(req)
        return encode_generation(req, forwarding)

    def decode_answer_head(
        self, head: ResponseHead, req: CallerRequest
    ) -> AnswerHead:
        """Decodes status and headers of a backend server's response."""
        return decode_answer_head(head, req)

    def decode_notice(self, head: ResponseHead) -> ServerNotice:
        """Decodes what a backend server says of its plans in any answer."""
        return decode_notice(head)

    def make_event_reader(
        self,
        run_id: str,
        resume_after: str | None,  # noqa: ARG002
    ) -> TokenReader:
        """Returns a reader for the tokens of a generation."""
        return TokenReader(run_id)

    def make_event_sink(
        self, req: CallerRequest, caller: CallerStream
    ) -> EventSink:
        """Returns a sink that streams tokens or buffers the complete answer."""
        if req.wants_single_response:
            return BufferingSink(req, caller)
        return StreamSink(req, caller)

    def decode_time_left(self, headers: Headers) -> float | None:
        """Returns for how many seconds a caller waits; None if unknown."""
        return decode_milliseconds(headers, DEADLINE_HEADER)

    def encode_time_left(self, time_left_s: float) -> tuple[str, str]:
        """Encodes how long a caller still waits, as a header of a request."""
        return DEADLINE_HEADER, str(max(int(time_left_s * 1000), 1))

    def encode_refusal(
        self, req: CallerRequest | None, refused: Refused
    ) -> tuple[Headers, bytes]:
        """Returns headers and body of an error response of this node."""
        request_id = "" if req is None else req.attempt_id
        headers = error_headers(request_id, refused)
        return headers, error_body(request_id, refused)


def entry_response(
    req: Request, addresses: Callable[[], Sequence[str]], ttl_s: float
) -> Response | None:
    """Returns addresses of nodes to connect to; None for other requests."""
    path = req.target.partition("?")[0]
    if path != ENTRY_PATH or req.method != "GET":
        return None
    body = {"entries": list(addresses()), "ttl_s": ttl_s}
    headers = (("content-type", "application/json"),)
    return Response(200, headers, msgspec.json.encode(body))
