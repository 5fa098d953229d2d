"""The `refusals` command: reports which requests were refused, and why."""

import asyncio
import datetime as dt
import time
from typing import NamedTuple

from returns.pipeline import is_successful

from savorylift.front.settings import FrontSettings
from savorylift.operators.output import ExitCode, fail, print_line
from savorylift.platform.store import REFUSALS_TOPIC, StoreClient
from savorylift.refusals.formatting import ReportFormat, format_report
from savorylift.refusals.report import build_report
from savorylift.wire.address import split_address

SECONDS_PER_UNIT = {"s": 1, "m": 60, "h": 3600, "d": 86_400}


class RefusalsArguments(NamedTuple):
    """Arguments of the `refusals` command.

    Attributes:
        from_text: Start of the period: a time such as
            `2026-01-31T06:00+02:00`, or an age such as `90m`, `12h` or `3d`.
        to_text: End of the period, exclusive; empty for now.
        team: Name of one team; empty for all teams.
        fmt: Value of a `ReportFormat`.
    """

    from_text: str
    to_text: str = ""
    team: str = ""
    fmt: str = ReportFormat.TABLE.value


def refusals(cfg: FrontSettings, req: RefusalsArguments) -> ExitCode:
    """Prints which requests were refused in a period, and why."""
    if req.fmt not in list(ReportFormat):
        formats = ", ".join(ReportFormat)
        return fail(f"format must be one of {formats}", ExitCode.BAD_INPUT)
    start_s = parse_time(req.from_text)
    end_s = parse_time(req.to_text or "0s")
    if start_s is None or end_s is None:
        invalid_text = req.from_text if start_s is None else req.to_text
        return fail(
            f"not a time or an age: {invalid_text!r}", ExitCode.BAD_INPUT
        )
    if start_s >= end_s:
        return fail("the period is empty", ExitCode.BAD_INPUT)
    store = StoreClient(split_address(cfg.store))
    listed = asyncio.run(store.list_newest(REFUSALS_TOPIC))
    if not is_successful(listed):
        return fail(f"could not read from the store: {listed.failure().detail}")
    values = [r.value for r in listed.unwrap().records if r.value]
    refusal_report = build_report(values, start_s, end_s, req.team)
    print_line(
        format_report(refusal_report, ReportFormat(req.fmt)).rstrip("\n")
    )
    return ExitCode.DONE


def parse_time(text: str) -> float | None:
    """Returns a time or an age as Unix time; None if `text` is neither.

    A time without a UTC offset is taken as UTC.
    """
    unit_s = SECONDS_PER_UNIT.get(text[-1:])
    if unit_s is not None and text[:-1].isdecimal():
        return time.time() - int(text[:-1]) * unit_s
    try:
        parsed_time = dt.datetime.fromisoformat(text)
    except ValueError:
        return None
    if parsed_time.tzinfo is None:
        parsed_time = parsed_time.replace(tzinfo=dt.UTC)
    return parsed_time.timestamp()
