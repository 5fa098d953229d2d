"""Aggregates saved counts of refused requests over a period."""

from collections.abc import Iterable
from typing import NamedTuple

from returns.pipeline import is_successful

from savorylift.exchange.results import ending_of_status
from savorylift.refusals.counts import MINUTE_S, RefusalCount, decode_count


class ReportLine(NamedTuple):
    """Refusals with the same team, reason, status and rule in a period.

    Attributes:
        team: Team of the callers; empty if unknown.
        ending: What is known of the effect of the requests; the value of an
            `Ending`.
        reason: Reason of the refusals.
        status: HTTP status of the refusals.
        rule: Rule that caused the refusals; empty without one.
        asked_by: Who asked for the rule.
        requests: Number of refused requests.
    """

    team: str
    ending: str
    reason: str
    status: int
    rule: str
    asked_by: str
    requests: int


class RefusalReport(NamedTuple):
    """Refused requests in a period.

    Attributes:
        lines: Lines ordered by team, then by descending number of requests.
        unreadable: Number of records that could not be decoded.
    """

    lines: tuple[ReportLine, ...]
    unreadable: int

    @property
    def total(self) -> int:
        """Number of refused requests in the period."""
        return sum(line.requests for line in self.lines)


def build_report(
    values: Iterable[bytes], since_s: float, until_s: float, team: str = ""
) -> RefusalReport:
    """Aggregates the counts of all minutes that overlap a period.

    Args:
        values: Values of the counts' records in the store.
        since_s: Unix time at which the period starts.
        until_s: Unix time at which the period ends.
        team: Team to report on; empty for all.
    """
    totals: dict[ReportLine, int] = {}
    unreadable = 0
    for value in values:
        decoded = decode_count(value)
        if not is_successful(decoded):
            unreadable += 1
            continue
        count = decoded.unwrap()
        if _overlaps(count, since_s, until_s) and team in ("", count.team):
            group = _group_of(count)
            totals[group] = totals.get(group, 0) + count.requests
    lines = [
        group._replace(requests=requests) for group, requests in totals.items()
    ]
    lines.sort(key=lambda line: (line.team, -line.requests, line.reason))
    return RefusalReport(tuple(lines), unreadable)


def _group_of(count: RefusalCount) -> ReportLine:
    return ReportLine(
        count.team,
        ending_of_status(count.status).value,
        count.reason.value,
        count.status,
        count.rule,
        count.asked_by,
        0,
    )


def _overlaps(count: RefusalCount, since_s: float, until_s: float) -> bool:
    return count.minute_s + MINUTE_S > since_s and count.minute_s < until_s
