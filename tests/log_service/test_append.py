"""Appends say only what was read back, whatever happens to the answers."""

import itertools
import time

import freezegun
import pytest
from freezegun.api import FrozenDateTimeFactory

from savorylift.log_service.append import (
    Appended,
    AppendOutcome,
    AppendRequest,
    AppendUnknown,
    NotAppended,
    append_and_read_back,
)
from savorylift.log_service.log import LogEntry
from tests.log_service.fakes import AppendFault, FakeLog

ENTRY = LogEntry("mine", "k", "{}")
OTHER = LogEntry("other", "k", "{}")
FAULTS = tuple(AppendFault)


def _append(log: FakeLog) -> AppendOutcome:
    with freezegun.freeze_time("2030-01-01") as clock:
        assert isinstance(clock, FrozenDateTimeFactory)
        req = AppendRequest("s", (ENTRY,), 0, time.monotonic() + 1.0)

        def pause(seconds: float) -> None:
            clock.tick(seconds)

        return append_and_read_back(log, req, pause)


@pytest.mark.parametrize(
    "faults",
    [
        combination
        for length in range(4)
        for combination in itertools.product(FAULTS, repeat=length)
    ],
)
def test_any_run_of_faults_ends_in_the_record_that_counts(
    faults: tuple[AppendFault, ...],
) -> None:
    log = FakeLog()
    log.append("s", (OTHER,))
    log.append_faults.extend(faults)
    outcome = _append(log)
    ids = [record.record_id for record in log.all_records("s")]
    assert outcome == Appended(ids.index("mine"))


@pytest.mark.parametrize("fault", FAULTS)
def test_what_is_known_at_the_deadline(fault: AppendFault) -> None:
    log = FakeLog()
    log.append_faults.extend([fault] * 50)
    outcome = _append(log)
    log.deliver_late()
    is_there = bool(log.all_records("s"))
    if isinstance(outcome, NotAppended):
        assert not is_there
    if isinstance(outcome, Appended):
        assert is_there
    expected = {
        AppendFault.REFUSED: NotAppended,
        AppendFault.LOST_REQUEST: AppendUnknown,
        AppendFault.LOST_ANSWER: Appended,
        AppendFault.LATE: AppendUnknown,
    }
    assert isinstance(outcome, expected[fault])


def test_log_down_is_not_appended() -> None:
    log = FakeLog()
    log.set_down(is_down=True)
    assert _append(log) == NotAppended("down")


def test_forgotten_before_read_is_unknown() -> None:
    log = FakeLog()
    log.append("s", (OTHER, OTHER))
    log.append_faults.append(AppendFault.LOST_ANSWER)
    log.trim("s", 1)
    assert isinstance(_append(log), AppendUnknown)
