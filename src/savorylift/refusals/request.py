"""A report as operators ask for it: texts in, text out."""

import datetime as dt
import time
from typing import NamedTuple

from returns.result import Failure, Result, Success

from savorylift.log_service.log import Log
from savorylift.refusals.formats import Format, print_report
from savorylift.refusals.query import Period, report

UNITS_S = {"s": 1, "m": 60, "h": 3600, "d": 86_400}


class ReportRequest(NamedTuple):
    """What an operator asks for.

    Attributes:
        from_text: Start: a time such as `2026-01-31T06:00+02:00`, or an age
            such as `90m`, `12h` or `3d`.
        to_text: End, not included; empty for now.
        team: Team, or empty for all.
        fmt: Name of a `Format`.
    """

    from_text: str
    to_text: str = ""
    team: str = ""
    fmt: str = Format.TABLE.value


def answer(log: Log, req: ReportRequest) -> Result[str, str]:
    """Returns the printed report, or what is wrong with the request."""
    if req.fmt not in list(Format):
        return Failure(f"format must be one of {', '.join(Format)}")
    from_ms = parse_time(req.from_text)
    to_ms = parse_time(req.to_text or "0s")
    if from_ms is None or to_ms is None:
        bad = req.from_text if from_ms is None else req.to_text
        return Failure(f"no time or age: {bad!r}")
    if from_ms >= to_ms:
        return Failure("the period is empty")
    found = report(log, Period(from_ms, to_ms, req.team or None))
    if isinstance(found, Failure):
        return Failure(f"the log can't be read: {found.failure().message}")
    return Success(print_report(found.unwrap(), Format(req.fmt)))


def parse_time(text: str) -> int | None:
    """Returns wall-clock milliseconds; a time without offset is UTC."""
    unit_s = UNITS_S.get(text[-1:])
    if unit_s is not None and text[:-1].isdecimal():
        return int((time.time() - int(text[:-1]) * unit_s) * 1000)
    try:
        moment = dt.datetime.fromisoformat(text)
    except ValueError:
        return None
    if moment.tzinfo is None:
        moment = moment.replace(tzinfo=dt.UTC)
    return int(moment.timestamp() * 1000)
