"""Decodes callers' requests for generations and services."""

import re
import zlib
from typing import Annotated, NamedTuple

import msgspec
from returns.result import Failure, Result, Success

from savorylift.completions.errors import REQUEST_ID
from savorylift.exchange.ending import Refused
from savorylift.exchange.request import CallerRequest, Generation
from savorylift.identity import new_id
from savorylift.outcomes import Reason
from savorylift.wire.message import Headers, Request, end_to_end

COMPLETIONS_PATH = "/v1/completions"
SERVICES_PATH = "/v1/services/"
DEFAULT_MAX_TOKENS = 1024
MAX_TOKENS = 131_072
SEED_BITS = 31
MAX_DEADLINE_MS = 3_600_000
OUT_OF_RANGE = MAX_DEADLINE_MS + 1
# Callers rank from -10 to 10, higher first; engines from 0 to 9, 0 first.
PRIORITIES = range(-10, 11)
ORDINARY_RANK = 5
RANK_STEPS = 2
TEAM = "x-team"
DEADLINE = "x-deadline-ms"
PRIORITY = "x-priority"
LAST_EVENT_ID = "last-event-id"
REQUEST_ID_FORM = re.compile(r"[A-Za-z0-9._:-]{1,64}")
# Concern the way to this node only.
CONSUMED = frozenset({"host", TEAM, DEADLINE, PRIORITY})


class CompletionBody(msgspec.Struct):
    """JSON body of a request for a generation."""

    model: str
    prompt: str
    max_tokens: Annotated[int, msgspec.Meta(ge=1, le=MAX_TOKENS)] = (
        DEFAULT_MAX_TOKENS
    )
    seed: Annotated[int, msgspec.Meta(ge=0, lt=1 << SEED_BITS)] | None = None
    stream: bool = False


class _Head(NamedTuple):
    """What headers say of any request."""

    request_id: str
    team: str | None
    time_left_s: float | None
    priority: int | None


def model_path(model: str) -> str:
    """Returns the path under which a model's route stands."""
    return f"{COMPLETIONS_PATH}/{model}/"


def service_path(service: str) -> str:
    """Returns the path under which a plain service's route stands."""
    return f"{SERVICES_PATH}{service}/"


def decode_request(req: Request) -> Result[CallerRequest, Refused]:
    """Returns what a caller asks for, or why that can't be told."""
    path = req.target.partition("?")[0]
    if path != COMPLETIONS_PATH and not path.startswith(SERVICES_PATH):
        return _refuse(404, Reason.NOT_FOUND, f"no such path {path}")
    if path == COMPLETIONS_PATH and req.method != "POST":
        message = f"{req.method} is not allowed on {path}"
        return _refuse(405, Reason.METHOD_NOT_ALLOWED, message)
    head = _read_head(req)
    if path == COMPLETIONS_PATH:
        return head.bind(lambda known: _generation(req, known))
    return head.map(lambda known: _call(req, known))


def _refuse(status: int, reason: Reason, message: str) -> Failure[Refused]:
    return Failure(Refused(status, reason, message))


def _read_head(req: Request) -> Result[_Head, Refused]:
    deadline_ms = _integer(req, DEADLINE)
    if deadline_ms is not None and not 1 <= deadline_ms <= MAX_DEADLINE_MS:
        message = f"{DEADLINE} must be between 1 and {MAX_DEADLINE_MS}"
        return _refuse(400, Reason.BAD_DEADLINE, message)
    priority = _integer(req, PRIORITY)
    if priority is not None and priority not in PRIORITIES:
        message = f"{PRIORITY} must be between -10 and 10"
        return _refuse(400, Reason.BAD_REQUEST, message)
    return Success(
        _Head(
            request_id=request_id_of(req),
            team=_first(req, TEAM),
            time_left_s=None if deadline_ms is None else deadline_ms / 1000,
            priority=None if priority is None else _rank(priority),
        )
    )


def request_id_of(req: Request) -> str:
    """Returns the caller's request identifier, or a new one."""
    given = _first(req, REQUEST_ID)
    if given is not None and REQUEST_ID_FORM.fullmatch(given):
        return given
    return new_id("req")


def _generation(req: Request, head: _Head) -> Result[CallerRequest, Refused]:
    try:
        asked = msgspec.json.decode(req.body, type=CompletionBody)
    except msgspec.MsgspecError as exc:
        return _refuse(400, Reason.BAD_REQUEST, f"bad body: {exc}")
    if asked.seed is None:
        # The same request gives the same answer at another node.
        asked.seed = zlib.crc32(head.request_id.encode()) >> 1
    return Success(
        CallerRequest(
            attempt_id=head.request_id,
            method=req.method,
            host="",
            target=COMPLETIONS_PATH,
            path=model_path(asked.model),
            api_key=head.team,
            arrived_s=req.arrived_s,
            time_left_s=head.time_left_s,
            resume_after=_first(req, LAST_EVENT_ID),
            generation=Generation(len(asked.prompt.split()), asked.max_tokens),
            headers=(),
            body=msgspec.json.encode(asked),
            priority=head.priority,
            wants_whole=not asked.stream,
            if_no_route=Reason.UNKNOWN_MODEL,
        )
    )


def _call(req: Request, head: _Head) -> CallerRequest:
    # As the caller wrote it, since escapes are for the service to read.
    service, _, rest = req.target.removeprefix(SERVICES_PATH).partition("/")
    return CallerRequest(
        attempt_id=head.request_id,
        method=req.method,
        host="",
        target=f"/{rest}",
        path=service_path(service),
        api_key=head.team,
        arrived_s=req.arrived_s,
        time_left_s=head.time_left_s,
        resume_after=None,
        generation=None,
        headers=_passed_on(req.headers, head.request_id),
        body=req.body,
        priority=head.priority,
        if_no_route=Reason.UNKNOWN_SERVICE,
    )


def _passed_on(headers: Headers, request_id: str) -> Headers:
    dropped = CONSUMED | {REQUEST_ID}
    kept = (item for item in end_to_end(headers) if item[0] not in dropped)
    return (*kept, (REQUEST_ID, request_id))


def _first(req: Request, name: str) -> str | None:
    return next(iter(req.values(name)), None)


def _integer(req: Request, name: str) -> int | None:
    """Returns a header's number; for other text one that is out of range."""
    text = _first(req, name)
    if text is None:
        return None
    try:
        return int(text)
    except ValueError:
        return OUT_OF_RANGE


def _rank(priority: int) -> int:
    return max(ORDINARY_RANK - -(-priority // RANK_STEPS), 0)
