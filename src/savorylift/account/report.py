"""Adds up saved counts for a period."""

from collections.abc import Iterable
from typing import NamedTuple

from returns.pipeline import is_successful

from savorylift.account.counts import MINUTE_S, Count, decode_count


class Line(NamedTuple):
    """Refusals that are alike, over a period.

    Attributes:
        team: Team; empty if unknown.
        reason: Why.
        status: Status that the callers got.
        requests: How many.
    """

    team: str
    reason: str
    status: int
    requests: int


class Report(NamedTuple):
    """Whose requests were refused in a period, and why.

    Attributes:
        lines: By team, most frequent first.
        unreadable: Records that could not be read.
    """

    lines: tuple[Line, ...]
    unreadable: int


def report(values: Iterable[bytes], since_s: float, until_s: float) -> Report:
    """Returns the refusals of the minutes that touch a period.

    Args:
        values: Records of the store.
        since_s: Unix time of the period's start.
        until_s: Unix time of its end.
    """
    totals: dict[tuple[str, str, int], int] = {}
    unreadable = 0
    for value in values:
        decoded = decode_count(value)
        if not is_successful(decoded):
            unreadable += 1
            continue
        count = decoded.unwrap()
        if _touches(count, since_s, until_s):
            alike = (count.team, count.reason.value, count.status)
            totals[alike] = totals.get(alike, 0) + count.requests
    lines = [Line(*alike, requests) for alike, requests in totals.items()]
    lines.sort(key=lambda line: (line.team, -line.requests, line.reason))
    return Report(tuple(lines), unreadable)


def _touches(count: Count, since_s: float, until_s: float) -> bool:
    return count.minute_s + MINUTE_S > since_s and count.minute_s < until_s
