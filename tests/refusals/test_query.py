"""Reports: periods, teams, rules and formats."""

import csv
import io
import json

import pytest
from freezegun import freeze_time
from returns.result import Success

from savorylift.identity import NodeRef
from savorylift.log_service.log import REFUSALS_STREAM
from savorylift.outcomes import Ending, Reason
from savorylift.refusals.formats import Format, print_report
from savorylift.refusals.hours import HOUR_MS
from savorylift.refusals.messages import Batch, Row, batch_entry
from savorylift.refusals.query import Period, Report, find_request, report
from savorylift.refusals.roll_up import RollUpCfg, roll_up
from tests.log_service.fakes import FakeLog

T0_MS = 1_767_225_600_000  # 2026-01-01, on the hour
SOURCE = NodeRef("n0", "i0")


def row(sequence: int, team: str, minute: int) -> Row:
    return Row(
        sequence,
        f"r{sequence}",
        team,
        T0_MS + minute * 60_000,
        Ending.NOT_RUN,
        Reason.TEAM_LIMIT,
        "over the limit",
        f"team {team} max 3",
        "asked by: desk, ops",
        7,
        "s1",
    )


ROWS = (
    row(0, "ajloun", 0),
    row(1, "ajloun", 59),
    row(2, "clerks", 60),
    row(3, "ajloun", 61),
)


def filled_log() -> FakeLog:
    log = FakeLog()
    log.append(REFUSALS_STREAM, (batch_entry("b1", Batch(*SOURCE, ROWS)),))
    log.append(REFUSALS_STREAM, (batch_entry("b2", Batch(*SOURCE, ROWS)),))
    return log


def ask(log: FakeLog, start: int, end: int, team: str | None = None) -> Report:
    period = Period(T0_MS + start * 60_000, T0_MS + end * 60_000, team)
    found = report(log, period).unwrap()
    assert isinstance(found, Report)
    return found


@pytest.mark.parametrize("is_rolled_up", [False, True])
@pytest.mark.parametrize(
    ("start", "end", "team", "rows", "by_hour"),
    [
        (0, 120, None, 4, 4),
        (0, 60, None, 2, 2),
        (1, 60, None, 1, 2),
        (0, 61, None, 3, 4),
        (60, 120, "ajloun", 1, 1),
        (0, 120, "nobody", 0, 0),
        (-60, 0, None, 0, 0),
    ],
)
def test_period_and_team(
    is_rolled_up: bool,  # noqa: FBT001
    start: int,
    end: int,
    team: str | None,
    rows: int,
    by_hour: int,
) -> None:
    with freeze_time("2026-01-01"):
        log = filled_log()
    if is_rolled_up:
        with freeze_time("2026-01-01 02:00"):
            assert roll_up(log, RollUpCfg()) == Success(True)
            assert roll_up(log, RollUpCfg()) == Success(False)
        log.trim(REFUSALS_STREAM, 2)
    found = ask(log, start, end, team)
    assert found.total == (by_hour if is_rolled_up else rows)
    assert found.missed == ()
    assert found.is_widened == (is_rolled_up and by_hour != rows)


def test_forgotten_batches_are_told() -> None:
    log = filled_log()
    log.trim(REFUSALS_STREAM, 1)
    assert ask(log, 0, 120).missed == ((0, 1),)


def test_hours_are_carried_on_and_dropped_in_the_end() -> None:
    cfg = RollUpCfg(hour_age_ms=HOUR_MS, kept_ms=24 * HOUR_MS)
    with freeze_time("2026-01-01") as frozen:
        log = filled_log()
        for hours, total in ((2, 4), (20, 4), (40, 4), (60, 0)):
            frozen.move_to(f"2026-01-{1 + hours // 24:02} {hours % 24:02}:00")
            kept = log.tail("refusals-hours")
            roll_up(log, cfg)
            log.trim("refusals-hours", kept)
            log.trim(REFUSALS_STREAM, 2)
            if hours in (2, 20):
                assert ask(log, 0, 120).total == total


def test_row_names_rule_and_who_asked() -> None:
    line = ask(filled_log(), 0, 120, "clerks").lines[0]
    assert line == (
        "clerks",
        "not_run",
        "team_limit",
        "team clerks max 3",
        "asked by: desk, ops",
        1,
    )


def test_formats_agree() -> None:
    found = ask(filled_log(), 0, 120)
    table = print_report(found, Format.TABLE).splitlines()
    rows = list(csv.DictReader(io.StringIO(print_report(found, Format.CSV))))
    body = json.loads(print_report(found, Format.JSON))
    assert [row["team"] for row in rows] == ["ajloun", "clerks"]
    assert [int(row["refusals"]) for row in rows] == [3, 1]
    assert [row["refusals"] for row in body["refusals"]] == [3, 1]
    assert rows[0]["asked_by"] == body["refusals"][0]["asked_by"]
    assert table[0].split()[0] == "team"
    assert table[-1] == "total 4"
    assert len(table) == 4


def test_request_is_found_once() -> None:
    found = find_request(filled_log(), "r2").unwrap()
    assert [(hit.source, hit.row) for hit in found] == [(SOURCE, ROWS[2])]
    assert find_request(filled_log(), "none") == Success(())
