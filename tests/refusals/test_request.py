"""Reports as operators ask for them."""

import pytest
from freezegun import freeze_time
from returns.result import Failure, Success

from savorylift.refusals.request import ReportRequest, answer, parse_time
from tests.refusals.test_query import T0_MS, filled_log


@pytest.mark.parametrize(
    ("text", "offset_ms"),
    [
        ("2026-01-01", 0),
        ("2026-01-01T00:01", 60_000),
        ("2026-01-01T03:00+03:00", 0),
        ("2026-01-01T00:00:01Z", 1_000),
        ("0s", 7_200_000),
        ("90m", 1_800_000),
        ("2h", 0),
        ("1d", 7_200_000 - 86_400_000),
        ("", None),
        ("h", None),
        ("-3h", None),
        ("yesterday", None),
        ("2026-13-01", None),
    ],
)
def test_times(text: str, offset_ms: int | None) -> None:
    with freeze_time("2026-01-01 02:00"):
        parsed = parse_time(text)
    assert parsed == (None if offset_ms is None else T0_MS + offset_ms)


def test_answer_is_printed() -> None:
    req = ReportRequest("2026-01-01", "2026-01-02", "clerks", "csv")
    text = answer(filled_log(), req).unwrap()
    assert text.splitlines()[1].startswith("clerks,not_run,team_limit,")


@pytest.mark.parametrize(
    ("req", "complaint"),
    [
        (ReportRequest("soon"), "no time or age"),
        (ReportRequest("1h", "late"), "no time or age: 'late'"),
        (ReportRequest("2026-01-02", "2026-01-01"), "empty"),
        (ReportRequest("1h", fmt="xml"), "table, json, csv"),
    ],
)
def test_bad_requests_are_explained(req: ReportRequest, complaint: str) -> None:
    result = answer(filled_log(), req)
    assert isinstance(result, Failure)
    assert complaint in result.failure()


def test_outage_is_told() -> None:
    log = filled_log()
    log.set_down(is_down=True)
    assert isinstance(answer(log, ReportRequest("1h")), Failure)
    log.set_down(is_down=False)
    assert isinstance(answer(log, ReportRequest("1h")), Success)
