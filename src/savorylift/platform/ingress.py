"""Callers' requests and answers, to and from the product's own types."""

import urllib.parse

import msgspec
from returns.result import Failure, Result, Success

from savorylift.exchange.codec import CallerStream, Outgoing
from savorylift.exchange.ending import Refused
from savorylift.exchange.events import EventSplitter
from savorylift.exchange.request import (
    AnswerHead,
    CallerRequest,
    Continuation,
    Forwarding,
    Generation,
)
from savorylift.outcomes import Reason
from savorylift.platform import headers as names
from savorylift.wire.message import (
    Headers,
    Request,
    ResponseHead,
    end_to_end,
)

MAX_ATTEMPT_ID_CHARS = 200
JSON_TYPE = ("content-type", "application/json")


class PlatformCodec:
    """The platform's form of requests, answers and streams."""

    def request(self, req: Request) -> Result[CallerRequest, Refused]:
        """Returns what a caller asks for, or why that can't be told."""
        return decode_request(req).alt(
            lambda fault: Refused(400, Reason.BAD_REQUEST, fault)
        )

    def outgoing(self, req: CallerRequest, how: Forwarding) -> Outgoing:
        """Returns the request for a backend server, under the caller's id."""
        headers = encode_forwarded(req, how)
        return Outgoing(
            req.attempt_id, req.method, req.target, headers, req.body
        )

    def answer_head(self, head: ResponseHead, req: CallerRequest) -> AnswerHead:
        """Returns what the head of an answer says."""
        return decode_answer_head(head, req.attempt_id)

    def events(
        self,
        run_id: str,  # noqa: ARG002
        resume_after: str | None,  # noqa: ARG002
    ) -> EventSplitter:
        """Returns a reader; servers themselves go on after an event."""
        return EventSplitter()

    def sink(
        self,
        req: CallerRequest,  # noqa: ARG002
        caller: CallerStream,
    ) -> CallerStream:
        """Returns the caller's connection: events pass unchanged."""
        return caller

    def refusal(
        self,
        req: CallerRequest | None,  # noqa: ARG002
        refused: Refused,
    ) -> tuple[Headers, bytes]:
        """Returns headers and body of the system's own answer."""
        return encode_refusal(refused.message, refused.retry_after_s)


def decode_request(req: Request) -> Result[CallerRequest, str]:
    """Returns what a caller asks for, or why that can't be told."""
    attempt_ids = req.values(names.ATTEMPT_ID)
    if len(attempt_ids) != 1 or not attempt_ids[0]:
        return Failure("expected one attempt id")
    if len(attempt_ids[0]) > MAX_ATTEMPT_ID_CHARS:
        return Failure("the attempt id is too long")
    keys = req.values(names.API_KEY)
    if len(keys) > 1:
        return Failure("more than one API key")
    time_left = req.values(names.TIME_LEFT_MS)
    if len(time_left) > 1 or any(not _is_number(text) for text in time_left):
        return Failure("bad time left")
    resume_after = req.values(names.LAST_EVENT_ID)
    return Success(
        CallerRequest(
            attempt_id=attempt_ids[0],
            method=req.method,
            host=_host(req.values("host")[0]),
            target=req.target,
            path=req.target.partition("?")[0],
            api_key=keys[0] if keys else None,
            arrived_s=req.arrived_s,
            time_left_s=float(time_left[0]) / 1000 if time_left else None,
            resume_after=resume_after[-1] if resume_after else None,
            generation=_generation(req),
            headers=tuple(
                item
                for item in end_to_end(req.headers)
                if item[0] not in names.SET_BY_SYSTEM
            ),
            body=req.body,
        )
    )


def encode_forwarded(req: CallerRequest, how: Forwarding) -> Headers:
    """Returns the headers with which a backend server gets a request."""
    added = [(names.EXPECTED_SERVER, how.server_id)]
    added.append((names.TIME_LEFT_MS, str(max(int(how.time_left_s * 1000), 1))))
    if how.team is not None:
        added.append((names.TEAM, how.team))
    if how.priority is not None:
        added.append((names.PRIORITY, str(how.priority)))
    if how.resume_after is not None:
        added.append((names.LAST_EVENT_ID, how.resume_after))
    if how.continuation is not None:
        added.append((names.COPIED_MEMORY, _encode_copy(how.continuation)))
    return req.headers + tuple(added)


def decode_answer_head(head: ResponseHead, attempt_id: str) -> AnswerHead:
    """Returns what the head of a backend server's answer says."""
    return AnswerHead(
        status=head.status,
        headers=end_to_end(head.headers),
        is_ours=head.value(names.ATTEMPT_ID) == attempt_id,
        is_not_run=head.status == 421 or head.value(names.NOT_RUN) is not None,
        is_signed=head.value(names.SEAL) is not None,
    )


def encode_refusal(
    message: str, retry_after_s: float | None
) -> tuple[Headers, bytes]:
    """Returns headers and body of an answer of the system's own."""
    headers: Headers = (JSON_TYPE,)
    if retry_after_s is not None:
        headers += ((names.RETRY_AFTER, f"{retry_after_s:.3f}"),)
    return headers, msgspec.json.encode({"error": message})


def _host(value: str) -> str:
    return value.partition(":")[0].lower()


def _generation(req: Request) -> Generation | None:
    counts = req.values(names.TOKEN_COUNTS)
    if not counts:
        return None
    prompt, _, output = counts[0].partition(",")
    if not prompt.isdigit() or not output.isdigit():
        return None
    hints = req.values(names.OUTPUT_HINT)
    return Generation(
        prompt_tokens=int(prompt),
        max_output_tokens=int(output),
        output_hint=int(hints[0]) if hints and hints[0].isdigit() else None,
        prompt_parts=tuple(_parts(req.values(names.PROMPT_PARTS))),
    )


def _parts(values: list[str]) -> list[tuple[str, int]]:
    parts = []
    for entry in ",".join(values).split(","):
        part_id, _, tokens = entry.strip().partition(":")
        if part_id and tokens.isdigit():
            parts.append((part_id, int(tokens)))
    return parts


def _encode_copy(copy: Continuation) -> str:
    host, port = copy.source
    return f"{host}:{port}/{copy.handle}"


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) < 12


def query_value(target: str, name: str) -> str | None:
    """Returns the first value of a query parameter of a target."""
    query = urllib.parse.urlsplit(target).query
    found = urllib.parse.parse_qs(query).get(name)
    return found[0] if found else None
