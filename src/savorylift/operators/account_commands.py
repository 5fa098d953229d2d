"""The command that prints the account of refusals."""

import asyncio
import datetime as dt
import time
from typing import NamedTuple

from returns.pipeline import is_successful

from savorylift.account.printing import Format, print_report
from savorylift.account.report import report
from savorylift.front.settings import FrontSettings
from savorylift.operators.output import Exit, fail, say
from savorylift.platform.store import REFUSALS, StoreClient
from savorylift.wire.address import split_address

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


def refusals(cfg: FrontSettings, req: ReportRequest) -> Exit:
    """Prints who was turned away in a period, and why."""
    if req.fmt not in list(Format):
        formats = ", ".join(Format)
        return fail(f"format must be one of {formats}", Exit.BAD_INPUT)
    since_s = parse_time(req.from_text)
    until_s = parse_time(req.to_text or "0s")
    if since_s is None or until_s is None:
        bad = req.from_text if since_s is None else req.to_text
        return fail(f"no time or age: {bad!r}", Exit.BAD_INPUT)
    if since_s >= until_s:
        return fail("the period is empty", Exit.BAD_INPUT)
    store = StoreClient(split_address(cfg.store))
    listed = asyncio.run(store.list_newest(REFUSALS))
    if not is_successful(listed):
        return fail(f"can't read the store: {listed.failure().detail}")
    values = [r.value for r in listed.unwrap().records if r.value]
    found = report(values, since_s, until_s, req.team)
    say(print_report(found, Format(req.fmt)).rstrip("\n"))
    return Exit.DONE


def parse_time(text: str) -> float | None:
    """Returns Unix time; a time without offset is UTC."""
    unit_s = UNITS_S.get(text[-1:])
    if unit_s is not None and text[:-1].isdecimal():
        return time.time() - int(text[:-1]) * unit_s
    try:
        moment = dt.datetime.fromisoformat(text)
    except ValueError:
        return None
    if moment.tzinfo is None:
        moment = moment.replace(tzinfo=dt.UTC)
    return moment.timestamp()
