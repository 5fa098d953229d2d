"""Tests of counting refusals and aggregating the counts."""

import pytest

from savorylift.exchange.results import Refused
from savorylift.outcomes import Reason
from savorylift.refusals.counts import RefusalCounts, decode_count
from savorylift.refusals.formatting import ReportFormat, format_report
from savorylift.refusals.report import ReportLine, build_report

QUEUE_FULL_REFUSAL = Refused(503, Reason.QUEUE_FULL, "full", 1.0)


def counts_at(*times_s: float) -> RefusalCounts:
    counts = RefusalCounts("vm-1", 7)
    for time_s in times_s:
        counts.add(time_s, "team", QUEUE_FULL_REFUSAL)
    return counts


def values(counts: RefusalCounts) -> dict[str, bytes]:
    """Returns the newest value of each key, as the store keeps it."""
    return {count.key: count.encode() for count in counts.unsaved()}


def test_refusals_are_counted_by_minute() -> None:
    saved = counts_at(0, 59, 60).unsaved()
    assert [(c.minute_s, c.requests) for c in saved] == [(0, 2), (60, 1)]


def test_unchanged_counts_are_not_written_again() -> None:
    counts = counts_at(0, 1)
    first = counts.unsaved()
    counts.add(2, "team", QUEUE_FULL_REFUSAL)
    counts.mark_saved(first)
    (again,) = counts.unsaved()
    assert again.requests == 3
    assert again.key == first[0].key
    counts.mark_saved([again])
    assert counts.unsaved() == ()


def test_count_written_twice_is_reported_once() -> None:
    counts = counts_at(0, 1)
    store = values(counts) | values(counts)
    found = build_report(store.values(), 0, 60)
    assert found.lines == (
        ReportLine("team", "not_run", "queue_full", 503, "", "", 2),
    )


def test_counts_of_nodes_and_restarts_are_added() -> None:
    store: dict[str, bytes] = {}
    for node, incarnation in [("vm-1", 1), ("vm-1", 2), ("vm-2", 1)]:
        counts = RefusalCounts(node, incarnation)
        counts.add(5, "team", Refused(504, Reason.DEADLINE, "late"))
        store |= values(counts)
    found = build_report(store.values(), 0, 60)
    assert found.lines == (
        ReportLine("team", "unknown", "deadline", 504, "", "", 3),
    )


@pytest.mark.parametrize(
    ("since_s", "until_s", "requests"),
    [(0, 60, 1), (0, 61, 2), (59, 60, 1), (60, 120, 1), (120, 999, 0)],
)
def test_report_covers_minutes_that_overlap_the_period(
    since_s: float, until_s: float, requests: int
) -> None:
    found = build_report(values(counts_at(10, 70)).values(), since_s, until_s)
    assert sum(line.requests for line in found.lines) == requests


@pytest.mark.parametrize("value", [b"", b"\xff", b"{}", b'{"team": 3}'])
def test_invalid_records_are_reported(value: bytes) -> None:
    assert decode_count(value).failure()
    assert build_report([value], 0, 60).unreadable == 1


def test_refusals_are_reported_by_rule_author() -> None:
    counts = RefusalCounts("vm-1", 7)
    limit = Refused(429, Reason.TEAM_LIMIT, "too many")
    for asked_by in ("ada", "noor", "ada"):
        ruled = limit._replace(rule="team t ...", asked_by=asked_by)
        counts.add(0, "team", ruled)
    found = build_report(values(counts).values(), 0, 60)
    assert [(x.asked_by, x.requests) for x in found.lines] == [
        ("ada", 2),
        ("noor", 1),
    ]


@pytest.mark.parametrize(
    ("fmt", "expected"),
    [
        (
            ReportFormat.TABLE,
            "team  not_run  queue_full  503     -     -         2",
        ),
        (ReportFormat.JSON, '"total":2'),
        (ReportFormat.CSV, "team,not_run,queue_full,503,,,2"),
    ],
)
def test_report_is_formatted(fmt: ReportFormat, expected: str) -> None:
    found = build_report(values(counts_at(0, 1)).values(), 0, 60)
    assert expected in format_report(found, fmt)


def test_report_of_one_team() -> None:
    found = values(counts_at(0))
    assert build_report(found.values(), 0, 60, "team").total == 1
    assert build_report(found.values(), 0, 60, "other").total == 0
