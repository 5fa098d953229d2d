"""Decodes callers' requests for generations and services."""

import re
import secrets
import zlib
from typing import Annotated, NamedTuple

import msgspec
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from savorylift.completions.errors import REQUEST_ID_HEADER
from savorylift.exchange.request import CallerRequest, Generation, KnownRun
from savorylift.exchange.results import Refused
from savorylift.identity import new_id
from savorylift.json_input import decode_json
from savorylift.outcomes import Reason
from savorylift.wire.message import Headers, Request, end_to_end_headers

COMPLETIONS_PATH = "/v1/completions"
SERVICES_PATH = "/v1/services/"
DEFAULT_MAX_TOKENS = 1024
# Words of a prompt are counted in pieces of it.
PIECE_CHARACTERS = 65_536
MAX_TOKENS = 131_072
SEED_BITS = 31
# Only the caller of a run can name it.
RUN_ID_BYTES = 8
MAX_DEADLINE_MS = 3_600_000
# Stands for a header value that is no integer; outside every allowed range.
INVALID_INTEGER = MAX_DEADLINE_MS + 1
# Callers send priorities from -10 to 10, higher first. Internal ranks are the
# other way round, 0 first; the platform's engines take ranks from 0 to 9.
PRIORITY_RANGE = range(-10, 11)
DEFAULT_RANK = 5
PRIORITIES_PER_RANK = 2
TEAM_HEADER = "x-team"
DEADLINE_HEADER = "x-deadline-ms"
PRIORITY_HEADER = "x-priority"
LAST_EVENT_ID_HEADER = "last-event-id"
# Names the run that sent the last event, as that event does.
RUN_HEADER = "x-run"
# The ID of a run: that of the request, a random part and the server's.
RUN_ID_PATTERN = re.compile(r"[A-Za-z0-9._:-]{1,160}")
REQUEST_ID_PATTERN = re.compile(r"[A-Za-z0-9._:-]{1,64}")
# Headers that are meant for this node and not forwarded to services.
NODE_HEADERS = frozenset(
    {"host", TEAM_HEADER, DEADLINE_HEADER, PRIORITY_HEADER}
)


class CompletionBody(msgspec.Struct):
    """JSON body of a completion request."""

    model: str
    prompt: str
    max_tokens: Annotated[int, msgspec.Meta(ge=1, le=MAX_TOKENS)] = (
        DEFAULT_MAX_TOKENS
    )
    seed: Annotated[int, msgspec.Meta(ge=0, lt=1 << SEED_BITS)] | None = None
    stream: bool = False


class _CommonHeaders(NamedTuple):
    """Decoded headers that generations and service calls have in common."""

    request_id: str
    team: str | None
    time_left_s: float | None
    priority: int | None


def model_path(model: str) -> str:
    """Returns the path prefix of a model's route."""
    return f"{COMPLETIONS_PATH}/{model}/"


def service_path(service: str) -> str:
    """Returns the path prefix of a plain service's route."""
    return f"{SERVICES_PATH}{service}/"


def decode_request(req: Request) -> Result[CallerRequest, Refused]:
    """Decodes a caller's request; returns a refusal if it is invalid."""
    path = req.target.partition("?")[0]
    if path != COMPLETIONS_PATH and not path.startswith(SERVICES_PATH):
        return _refuse(404, Reason.NOT_FOUND, f"no such path {path}")
    if path == COMPLETIONS_PATH and req.method != "POST":
        message = f"{req.method} is not allowed on {path}"
        return _refuse(405, Reason.METHOD_NOT_ALLOWED, message)
    decoded = _decode_common_headers(req)
    if path == COMPLETIONS_PATH:
        return decoded.bind(lambda common: _decode_generation(req, common))
    return decoded.map(lambda common: _decode_service_call(req, common))


def _refuse(status: int, reason: Reason, message: str) -> Failure[Refused]:
    return Failure(Refused(status, reason, message))


def _decode_common_headers(req: Request) -> Result[_CommonHeaders, Refused]:
    deadline_ms = _parse_integer(req, DEADLINE_HEADER)
    if deadline_ms is not None and not 1 <= deadline_ms <= MAX_DEADLINE_MS:
        message = f"{DEADLINE_HEADER} must be between 1 and {MAX_DEADLINE_MS}"
        return _refuse(400, Reason.BAD_DEADLINE, message)
    priority = _parse_integer(req, PRIORITY_HEADER)
    if priority is not None and priority not in PRIORITY_RANGE:
        message = f"{PRIORITY_HEADER} must be between -10 and 10"
        return _refuse(400, Reason.BAD_REQUEST, message)
    return Success(
        _CommonHeaders(
            request_id=request_id_of(req),
            team=_first_value(req, TEAM_HEADER),
            time_left_s=None if deadline_ms is None else deadline_ms / 1000,
            priority=None if priority is None else _rank_of(priority),
        )
    )


def request_id_of(req: Request) -> str:
    """Returns the caller's request id, or a new one if it is not usable."""
    request_id = _first_value(req, REQUEST_ID_HEADER)
    if request_id is not None and REQUEST_ID_PATTERN.fullmatch(request_id):
        return request_id
    return new_id("req")


def _decode_generation(
    req: Request, common: _CommonHeaders
) -> Result[CallerRequest, Refused]:
    decoded = decode_json(req.body, CompletionBody)
    if not is_successful(decoded):
        message = f"bad body: {decoded.failure()}"
        return _refuse(400, Reason.BAD_REQUEST, message)
    completion = decoded.unwrap()
    resume_after = _first_value(req, LAST_EVENT_ID_HEADER)
    if completion.seed is None:
        # Derived from the request id, so that another node generates the
        # same answer for a resent request.
        completion.seed = zlib.crc32(common.request_id.encode()) >> 1
    return Success(
        CallerRequest(
            attempt_id=common.request_id,
            method=req.method,
            host="",
            target=COMPLETIONS_PATH,
            path=model_path(completion.model),
            api_key=common.team,
            arrived_s=req.arrived_s,
            time_left_s=common.time_left_s,
            resume_after=resume_after,
            generation=Generation(
                count_words(completion.prompt), completion.max_tokens
            ),
            headers=(),
            body=msgspec.json.encode(completion),
            priority=common.priority,
            wants_single_response=not completion.stream,
            no_route_reason=Reason.UNKNOWN_MODEL,
            # All attempts at a generation have the same ID.
            resumes=None if resume_after is None else common.request_id,
            known_run=(
                None
                if resume_after is None
                else _known_run(req, common.request_id)
            ),
        )
    )


def count_words(text: str) -> int:
    """Returns the number of words, without a list of them all.

    Such a list of many short words takes a multiple of the text.
    """
    count = 0
    is_in_word = False
    for start in range(0, len(text), PIECE_CHARACTERS):
        piece = text[start : start + PIECE_CHARACTERS]
        count += len(piece.split()) - (is_in_word and not piece[0].isspace())
        is_in_word = not piece[-1].isspace()
    return count


def make_run_id(request_id: str, server_id: str) -> str:
    """Returns a new ID for a run of a request at a server."""
    return f"{request_id}.{secrets.token_hex(RUN_ID_BYTES)}.{server_id}"


def _known_run(req: Request, request_id: str) -> KnownRun | None:
    """Returns the run that a caller names, if it is one of this request."""
    run_id = _first_value(req, RUN_HEADER) or ""
    own_part = run_id.removeprefix(f"{request_id}.")
    server_id = own_part.partition(".")[2]
    is_own = own_part != run_id and RUN_ID_PATTERN.fullmatch(run_id)
    return KnownRun(run_id, server_id) if is_own and server_id else None


def _decode_service_call(req: Request, common: _CommonHeaders) -> CallerRequest:
    # The path stays percent-encoded; decoding it is up to the service.
    service, _, rest = req.target.removeprefix(SERVICES_PATH).partition("/")
    return CallerRequest(
        attempt_id=common.request_id,
        method=req.method,
        host="",
        target=f"/{rest}",
        path=service_path(service),
        api_key=common.team,
        arrived_s=req.arrived_s,
        time_left_s=common.time_left_s,
        resume_after=None,
        generation=None,
        headers=_forwarded_headers(req.headers, common.request_id),
        body=req.body,
        priority=common.priority,
        no_route_reason=Reason.UNKNOWN_SERVICE,
    )


def _forwarded_headers(headers: Headers, request_id: str) -> Headers:
    dropped = NODE_HEADERS | {REQUEST_ID_HEADER}
    kept = (
        item for item in end_to_end_headers(headers) if item[0] not in dropped
    )
    return (*kept, (REQUEST_ID_HEADER, request_id))


def _first_value(req: Request, name: str) -> str | None:
    return next(iter(req.header_values(name)), None)


def _parse_integer(req: Request, name: str) -> int | None:
    """Returns a header's integer value; `INVALID_INTEGER` for other text."""
    text = _first_value(req, name)
    if text is None:
        return None
    try:
        return int(text)
    except ValueError:
        return INVALID_INTEGER


def _rank_of(priority: int) -> int:
    return max(DEFAULT_RANK - -(-priority // PRIORITIES_PER_RANK), 0)
