"""Headers that every caller's request carries."""

import re
import time
from typing import NamedTuple

from returns.result import Failure, Result, Success

from savorylift.entry.exchange import Exchange
from savorylift.identity import new_id
from savorylift.outcomes import Reason, Refusal, not_run
from savorylift.rules.view import RulesView, Team

TEAM_HEADER = "x-team"
REQUEST_ID_HEADER = "x-request-id"
DEADLINE_HEADER = "x-deadline-ms"
PRIORITY_HEADER = "x-priority"
RESTART_HEADER = "x-accept-restart"
MAX_DEADLINE_MS = 3_600_000
PRIORITIES = range(-10, 11)
REQUEST_ID = re.compile(r"[A-Za-z0-9._:-]{1,64}")


class RequestHead(NamedTuple):
    """Checked headers of one request.

    Attributes:
        request_id: From the caller, or made here.
        team: The caller's team.
        deadline_s: `time.monotonic()` by which the answer must be whole.
        priority: Higher goes first; 0 is ordinary.
        accepts_restart: True if the caller takes `restart` events.
    """

    request_id: str
    team: Team
    deadline_s: float
    priority: int
    accepts_restart: bool


def request_id_of(exchange: Exchange) -> str:
    """Returns the caller's request identifier, or a new one."""
    given = exchange.header(REQUEST_ID_HEADER)
    if given is not None and REQUEST_ID.fullmatch(given):
        return given
    return new_id("req")


def read_head(
    exchange: Exchange, request_id: str, rules: RulesView, timeout_s: float
) -> Result[RequestHead, Refusal]:
    """Checks the headers against the rules in force.

    Args:
        exchange: The request.
        request_id: Its identifier.
        rules: Rules that name the teams.
        timeout_s: Deadline of a request that names none.
    """
    name = exchange.header(TEAM_HEADER) or ""
    team = rules.teams.get(name)
    if team is None:
        message = f"unknown team {name!r}" if name else "no X-Team header"
        return Failure(not_run(Reason.UNKNOWN_TEAM, message))
    deadline_s = _deadline(exchange.header(DEADLINE_HEADER), timeout_s)
    if deadline_s is None:
        message = f"X-Deadline-Ms must be between 1 and {MAX_DEADLINE_MS}"
        return Failure(not_run(Reason.BAD_DEADLINE, message))
    priority = _integer(exchange.header(PRIORITY_HEADER) or "0")
    if priority is None or priority not in PRIORITIES:
        message = "X-Priority must be between -10 and 10"
        return Failure(not_run(Reason.BAD_REQUEST, message))
    accepts = exchange.header(RESTART_HEADER) == "true"
    return Success(RequestHead(request_id, team, deadline_s, priority, accepts))


def _deadline(text: str | None, timeout_s: float) -> float | None:
    if text is None:
        return time.monotonic() + timeout_s
    wanted_ms = _integer(text)
    if wanted_ms is None or not 1 <= wanted_ms <= MAX_DEADLINE_MS:
        return None
    return time.monotonic() + wanted_ms / 1000


def _integer(text: str) -> int | None:
    try:
        return int(text)
    except ValueError:
        return None
