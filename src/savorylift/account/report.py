"""Adds up saved counts for a period."""

from collections.abc import Iterable
from typing import NamedTuple

from returns.pipeline import is_successful

from savorylift.account.counts import MINUTE_S, Count, decode_count
from savorylift.exchange.ending import ending_of


class Line(NamedTuple):
    """Refusals that are alike, over a period.

    Attributes:
        team: Team; empty if unknown.
        ending: What is known of the requests' effect.
        reason: Why.
        status: Status that the callers got.
        rule: Rule that caused them; empty without one.
        asked_by: Who asked for that rule.
        requests: How many.
    """

    team: str
    ending: str
    reason: str
    status: int
    rule: str
    asked_by: str
    requests: int


class Report(NamedTuple):
    """Whose requests were refused in a period, and why.

    Attributes:
        lines: By team, most frequent first.
        unreadable: Records that could not be read.
    """

    lines: tuple[Line, ...]
    unreadable: int

    @property
    def total(self) -> int:
        """Refused requests in the period."""
        return sum(line.requests for line in self.lines)


def report(
    values: Iterable[bytes], since_s: float, until_s: float, team: str = ""
) -> Report:
    """Returns the refusals of the minutes that touch a period.

    Args:
        values: Records of the store.
        since_s: Unix time of the period's start.
        until_s: Unix time of its end.
        team: The only team of interest; empty for all.
    """
    totals: dict[Line, int] = {}
    unreadable = 0
    for value in values:
        decoded = decode_count(value)
        if not is_successful(decoded):
            unreadable += 1
            continue
        count = decoded.unwrap()
        if _touches(count, since_s, until_s) and team in ("", count.team):
            alike = _line(count)
            totals[alike] = totals.get(alike, 0) + count.requests
    lines = [
        alike._replace(requests=requests) for alike, requests in totals.items()
    ]
    lines.sort(key=lambda line: (line.team, -line.requests, line.reason))
    return Report(tuple(lines), unreadable)


def _line(count: Count) -> Line:
    return Line(
        count.team,
        ending_of(count.status).value,
        count.reason.value,
        count.status,
        count.rule,
        count.asked_by,
        0,
    )


def _touches(count: Count, since_s: float, until_s: float) -> bool:
    return count.minute_s + MINUTE_S > since_s and count.minute_s < until_s
