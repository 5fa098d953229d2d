"""Codec of the platform interface: requests, responses and streams."""

import math
import re
import urllib.parse

import msgspec
from returns.result import Failure, Result, Success

from savorylift.backends.named_limits import NamedLimit
from savorylift.exchange.codec import CallerStream, OutgoingRequest
from savorylift.exchange.events import NumberedEventReader
from savorylift.exchange.request import (
    AnswerHead,
    CallerRequest,
    ForwardingOptions,
    Generation,
    KvCopy,
)
from savorylift.exchange.results import Refused
from savorylift.exchange.server_notice import ServerNotice
from savorylift.outcomes import Reason
from savorylift.platform import headers as header_names
from savorylift.platform.notices import decode_notice
from savorylift.wire.message import (
    Headers,
    Request,
    ResponseHead,
    decode_milliseconds,
    end_to_end_headers,
)

MAX_ATTEMPT_ID_CHARS = 200
# Statuses by which callers are told that their request did not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# A decimal number of requests per second, without sign or exponent.
LIMIT_PATTERN = re.compile(r"[0-9]+(\.[0-9]*)?|\.[0-9]+")
# What a header can hold.
HEADER_VALUE_PATTERN = re.compile(
    r"([!-~\x80-\xff]([\t -~\x80-\xff]*[!-~\x80-\xff])?)?"
)
JSON_CONTENT_TYPE = ("content-type", "application/json")


class PlatformCodec:
    """Translates between the platform's HTTP messages and the core's types."""

    team_header = header_names.API_KEY

    def decode_request(self, req: Request) -> Result[CallerRequest, Refused]:
        """Decodes a caller's request; returns a refusal if it is invalid."""
        return decode_request(req).alt(
            lambda message: Refused(400, Reason.BAD_REQUEST, message)
        )

    def decode_time_left(self, headers: Headers) -> float | None:
        """Returns for how many seconds a caller waits; None if unknown."""
        return decode_milliseconds(headers, header_names.TIME_LEFT_MS)

    def encode_request(
        self, req: CallerRequest, forwarding: ForwardingOptions
    ) -> OutgoingRequest:
        """Returns the request for a backend server.

        Its run id is the attempt id.
        """
        headers = encode_forwarded_headers(req, forwarding)
        return OutgoingRequest(
            req.attempt_id, req.method, req.target, headers, req.body
        )

    def decode_answer_head(
        self, head: ResponseHead, req: CallerRequest
    ) -> AnswerHead:
        """Decodes status and headers of a backend server's response."""
        return decode_answer_head(head, req.attempt_id)

    def decode_notice(self, head: ResponseHead) -> ServerNotice:
        """Decodes what a backend server says of its plans in any answer."""
        return decode_notice(head)

    def make_event_reader(
        self,
        run_id: str,  # noqa: ARG002
        resume_after: str | None,
    ) -> NumberedEventReader:
        """Returns a reader of event streams.

        It skips no events: on this interface, the servers themselves resume a
        stream after the event that the request names.
        """
        return NumberedEventReader(resume_after)

    def make_event_sink(
        self,
        req: CallerRequest,  # noqa: ARG002
        caller: CallerStream,
    ) -> CallerStream:
        """Returns the caller's connection; events are forwarded unchanged."""
        return caller

    def encode_time_left(self, time_left_s: float) -> tuple[str, str]:
        """Encodes how long a caller still waits, as a header of a request."""
        return _encode_time_left(time_left_s)

    def encode_refusal(
        self,
        req: CallerRequest | None,  # noqa: ARG002
        refused: Refused,
    ) -> tuple[Headers, bytes]:
        """Returns headers and body of an error response of this node."""
        return encode_refusal(refused.message, refused.retry_after_s)


def decode_request(req: Request) -> Result[CallerRequest, str]:
    """Decodes a caller's request; returns an error message if invalid."""
    attempt_ids = req.header_values(header_names.ATTEMPT_ID)
    if len(attempt_ids) != 1 or not attempt_ids[0]:
        return Failure("expected one attempt id")
    if len(attempt_ids[0]) > MAX_ATTEMPT_ID_CHARS:
        return Failure("the attempt id is too long")
    keys = req.header_values(header_names.API_KEY)
    if len(keys) > 1:
        return Failure("more than one API key")
    time_left = req.header_values(header_names.TIME_LEFT_MS)
    if len(time_left) > 1 or any(not _is_number(text) for text in time_left):
        return Failure("bad time left")
    resume_after = req.header_values(header_names.LAST_EVENT_ID)
    return Success(
        CallerRequest(
            attempt_id=attempt_ids[0],
            method=req.method,
            host=_host_name(req.header_values("host")[0]),
            target=req.target,
            path=req.target.partition("?")[0],
            api_key=keys[0] if keys else None,
            arrived_s=req.arrived_s,
            time_left_s=float(time_left[0]) / 1000 if time_left else None,
            resume_after=resume_after[-1] if resume_after else None,
            generation=_decode_generation(req),
            headers=tuple(
                item
                for item in end_to_end_headers(req.headers)
                if item[0] not in header_names.RESERVED
            ),
            body=req.body,
            resumes=_decode_resumes(req),
        )
    )


def _decode_resumes(req: Request) -> str | None:
    """Returns the attempt that a request resumes; "" if that is unclear."""
    values = set(req.header_values(header_names.RESUMES))
    if not values:
        return None
    value = values.pop()
    is_clear = not values and len(value) <= MAX_ATTEMPT_ID_CHARS
    return value if is_clear else ""


def encode_forwarded_headers(
    req: CallerRequest, forwarding: ForwardingOptions
) -> Headers:
    """Returns the headers of a request that is forwarded to a server."""
    added = [(header_names.EXPECTED_INSTANCE, forwarding.server_id)]
    added.append(_encode_time_left(forwarding.time_left_s))
    if forwarding.team is not None:
        added += _encode_team(forwarding.team)
    if forwarding.priority is not None:
        added.append((header_names.PRIORITY, str(forwarding.priority)))
    if forwarding.resume_after is not None:
        added.append((header_names.LAST_EVENT_ID, forwarding.resume_after))
    if forwarding.kv_copy is not None:
        added.append(
            (
                header_names.KV_FROM,
                _encode_kv_copy(forwarding.kv_copy),
            )
        )
    return req.headers + tuple(added)


def _encode_team(team: str) -> Headers:
    """Returns the header with a team's name; none if none can hold it.

    A name beyond Latin-1 is sent as the UTF-8 that operators write it in.
    """
    try:
        team.encode("latin-1")
    except UnicodeEncodeError:
        team = team.encode().decode("latin-1")
    if HEADER_VALUE_PATTERN.fullmatch(team) is None:
        return ()
    return ((header_names.TEAM, team),)


def _encode_time_left(time_left_s: float) -> tuple[str, str]:
    return header_names.TIME_LEFT_MS, str(max(int(time_left_s * 1000), 1))


def decode_answer_head(head: ResponseHead, attempt_id: str) -> AnswerHead:
    """Decodes status and headers of a backend server's response."""
    return AnswerHead(
        status=head.status,
        headers=end_to_end_headers(head.headers),
        matches_request=head.header(header_names.ATTEMPT_ID) == attempt_id,
        is_not_run=head.status == 421
        or head.header(header_names.NOT_EXECUTED) is not None,
        is_signed=head.header(header_names.RESPONSE_SIGNATURE) is not None,
        named_limit=_decode_limit(head),
        is_close_delimited=head.is_close_delimited,
        promises_not_run=head.status in NOT_RUN_STATUSES,
        is_from_brittle=head.header(header_names.SERVER_BRITTLE) is not None,
        notice=decode_notice(head),
    )


def _decode_limit(head: ResponseHead) -> NamedLimit | None:
    """Returns the lowest limit that a response names; None if it names none."""
    values = head.header_values(header_names.SERVER_LIMIT)
    if not values:
        return None
    limits = [
        float(value) for value in values if LIMIT_PATTERN.fullmatch(value)
    ]
    finite = [limit for limit in limits if math.isfinite(limit)]
    return NamedLimit(min(finite, default=None))


def encode_refusal(
    message: str, retry_after_s: float | None
) -> tuple[Headers, bytes]:
    """Returns headers and JSON body of an error response."""
    headers: Headers = (JSON_CONTENT_TYPE,)
    if retry_after_s is not None:
        headers += ((header_names.RETRY_AFTER, f"{retry_after_s:.3f}"),)
    return headers, msgspec.json.encode({"error": message})


def _host_name(value: str) -> str:
    return value.partition(":")[0].lower()


def _decode_generation(req: Request) -> Generation | None:
    counts = req.header_values(header_names.TOKEN_COUNTS)
    if not counts:
        return None
    prompt, _, output = counts[0].partition(",")
    if not _is_number(prompt) or not _is_number(output):
        return None
    hints = req.header_values(header_names.LENGTH_HINT)
    return Generation(
        prompt_tokens=int(prompt),
        max_output_tokens=int(output),
        output_hint=int(hints[0]) if hints and _is_number(hints[0]) else None,
        prompt_parts=tuple(
            _decode_prompt_parts(req.header_values(header_names.PROMPT_PREFIX))
        ),
    )


def _decode_prompt_parts(values: list[str]) -> list[tuple[str, int]]:
    parts = []
    for entry in ",".join(values).split(","):
        part_id, _, tokens = entry.strip().partition(":")
        if part_id and _is_number(tokens):
            parts.append((part_id, int(tokens)))
    return parts


def _encode_kv_copy(kv_copy: KvCopy) -> str:
    host, port = kv_copy.source
    return f"{host}:{port}/{kv_copy.handle}"


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) < 12


def query_value(target: str, name: str) -> str | None:
    """Returns the first value of a query parameter; None if it is missing."""
    query = urllib.parse.urlsplit(target).query
    found = urllib.parse.parse_qs(query).get(name)
    return found[0] if found else None
