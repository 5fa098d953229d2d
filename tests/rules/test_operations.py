"""Operators' commands say only what was read back."""

import time
from collections.abc import Iterator

import freezegun
import pytest
from freezegun.api import FrozenDateTimeFactory
from returns.result import Failure, Success

from savorylift.log_service.log import RULES_STREAM, LogEntry
from savorylift.rules.force import NodeAnswer, report_force
from savorylift.rules.inbox import OrderAction
from savorylift.rules.log_state import LogState
from savorylift.rules.messages import Edit, LineEdit, RecordKind, encode
from savorylift.rules.operations import (
    BackOverruled,
    FileFaulty,
    NothingChanged,
    NotWritten,
    OrderAccepted,
    OrderOutcome,
    OrderRequest,
    Published,
    PublishOutcome,
    PublishRequest,
    RaceLost,
    Rejected,
    Unknown,
    UnknownTarget,
    diff,
    find_publish,
    order,
    publish,
    show,
)
from tests.log_service.fakes import AppendFault, FakeLog

ONE = "failure_domain anjara in region jo # noor: first\n"
TWO = ONE + "set a 1 # tariq: try\n"
THREE = ONE + "set a 2 # ada: other\n"


@pytest.fixture(autouse=True)
def clock() -> Iterator[FrozenDateTimeFactory]:
    with freezegun.freeze_time("2030-01-01") as clock:
        assert isinstance(clock, FrozenDateTimeFactory)
        yield clock


@pytest.fixture
def log() -> FakeLog:
    return FakeLog()


class Operator:
    """Runs commands with a paused clock."""

    def __init__(self, log: FakeLog, clock: FrozenDateTimeFactory) -> None:
        self._log = log
        self._clock = clock

    def publish(
        self, text: str, author: str = "noor", base: int | None = None
    ) -> PublishOutcome:
        deadline_s = time.monotonic() + 1
        req = PublishRequest(text, "r", author, deadline_s, base)
        return publish(self._log, req, self._pause)

    def order(
        self, action: OrderAction, domain: str, *, is_domain: bool = True
    ) -> OrderOutcome:
        deadline_s = time.monotonic() + 1
        req = OrderRequest(
            action, domain, is_domain, "noor", "works", deadline_s
        )
        return order(self._log, req, self._pause)

    def _pause(self, seconds: float) -> None:
        self._clock.tick(seconds)


@pytest.fixture
def noor(log: FakeLog, clock: FrozenDateTimeFactory) -> Operator:
    return Operator(log, clock)


def test_publish_show_and_diff(noor: Operator, log: FakeLog) -> None:
    assert noor.publish(ONE) == Published(0, (f"+1: {ONE.strip()}",))
    assert noor.publish(TWO) == Published(1, ("+2: set a 1 # tariq: try",))
    assert noor.publish(TWO) == NothingChanged(1)
    shown = show(log, time.monotonic() + 1).unwrap()
    assert shown.lines == tuple(TWO.splitlines())
    assert shown.view.version == 1
    changes = diff(log, THREE, time.monotonic() + 1)
    removed, added = "-2: set a 1 # tariq: try", "+2: set a 2 # ada: other"
    assert changes == Success((removed, added))


def test_faulty_file_is_not_written(noor: Operator, log: FakeLog) -> None:
    outcome = noor.publish("set a 1")
    assert isinstance(outcome, FileFaulty)
    assert str(outcome.faults[0]).startswith("r:1:8: missing comment")
    assert log.all_records(RULES_STREAM) == ()


def test_loser_of_a_race_hears_who_won(noor: Operator, log: FakeLog) -> None:
    noor.publish(ONE)
    log.before_append = lambda: noor.publish(THREE, "ada")
    outcome = noor.publish(TWO)
    assert isinstance(outcome, RaceLost)
    assert [winner.author for winner in outcome.winners] == ["ada"]
    assert outcome.changed == ("+2: set a 2 # ada: other",)
    shown = show(log, time.monotonic() + 1).unwrap()
    assert shown.lines == tuple(THREE.splitlines())


@pytest.mark.parametrize("kept", [99, 0])
def test_file_made_from_an_old_version(
    noor: Operator, log: FakeLog, kept: int
) -> None:
    noor.publish(ONE)
    noor.publish(THREE, "ada")
    if kept == 0:
        _write_snapshot(log)
        log.trim(RULES_STREAM, 2)
    outcome = noor.publish(TWO, base=0)
    assert isinstance(outcome, RaceLost)
    assert [winner.author for winner in outcome.winners] == ["ada"]
    changed = ("+2: set a 2 # ada: other",) if kept else ()
    assert outcome.changed == changed
    assert isinstance(noor.publish(TWO, base=1), Published)


def _write_snapshot(log: FakeLog) -> None:
    state = LogState(log)
    assert state.read_to_tail(time.monotonic() + 1) is None
    log.append(RULES_STREAM, state.snapshot())


@pytest.mark.parametrize(
    ("fault", "expected", "is_later_accepted"),
    [
        (AppendFault.REFUSED, NotWritten, False),
        (AppendFault.LOST_REQUEST, Unknown, False),
        (AppendFault.LOST_ANSWER, Published, True),
        (AppendFault.LATE, Unknown, True),
    ],
)
def test_answers_lost_until_the_deadline(
    noor: Operator,
    log: FakeLog,
    fault: AppendFault,
    expected: type[PublishOutcome],
    is_later_accepted: bool,  # noqa: FBT001
) -> None:
    log.append_faults.extend([fault] * 50)
    outcome = noor.publish(ONE)
    assert isinstance(outcome, expected)
    log.deliver_late()
    log.deliver_late()
    shown = show(log, time.monotonic() + 1).unwrap()
    assert (shown.lines == (ONE.strip(),)) == is_later_accepted
    if isinstance(outcome, Unknown):
        found = find_publish(log, outcome.record_id, time.monotonic() + 1)
        assert (found.unwrap() is not None) == is_later_accepted


def test_log_down_and_log_without_snapshot(
    noor: Operator, log: FakeLog
) -> None:
    noor.publish(ONE)
    log.trim(RULES_STREAM, 1)
    assert isinstance(show(log, time.monotonic() + 1), Failure)
    assert isinstance(noor.publish(TWO), NotWritten)
    log.set_down(is_down=True)
    assert noor.publish(TWO) == NotWritten("down")
    assert noor.order(OrderAction.OUT, "anjara") == NotWritten("down")


def test_edit_that_does_not_fit_is_rejected(
    noor: Operator, log: FakeLog
) -> None:
    edit = Edit(-1, (LineEdit(0, 0, ("set a 1 # x",)),), "wrong", "ada")
    log.append(RULES_STREAM, (LogEntry("e", RecordKind.EDIT, encode(edit)),))
    log.append(RULES_STREAM, (LogEntry("f", RecordKind.EDIT, "{]"),))
    found = find_publish(log, "e", time.monotonic() + 1).unwrap()
    assert found is not None
    assert Rejected(found.verdict).verdict == "wrong_hash"
    assert isinstance(noor.publish(ONE), Published)


def test_orders(noor: Operator, log: FakeLog) -> None:
    noor.publish(ONE)
    assert noor.order(OrderAction.OUT, "nowhere") == UnknownTarget(
        "nowhere", ("anjara",)
    )
    log.append_faults.append(AppendFault.LOST_ANSWER)
    assert noor.order(OrderAction.OUT, "anjara") == OrderAccepted(1)
    shown = show(log, time.monotonic() + 1).unwrap()
    assert shown.view.out_of_service["anjara"].asked_by == "noor: works"
    vm = noor.order(OrderAction.OUT, "runner-1", is_domain=False)
    assert isinstance(vm, OrderAccepted)
    assert isinstance(noor.order(OrderAction.BACK, "anjara"), OrderAccepted)
    shown = show(log, time.monotonic() + 1).unwrap()
    assert list(shown.view.out_of_service) == ["runner-1"]


def test_order_back_that_lost_its_race(noor: Operator, log: FakeLog) -> None:
    noor.publish(ONE)
    noor.order(OrderAction.OUT, "anjara")
    log.before_append = lambda: noor.order(OrderAction.OUT, "anjara")
    outcome = noor.order(OrderAction.BACK, "anjara")
    assert isinstance(outcome, BackOverruled)
    assert outcome.by is not None
    assert outcome.by.offset == 2


def test_force_report_names_who_has_not_confirmed() -> None:
    answers = [NodeAnswer("b", 4), NodeAnswer("a", 6), NodeAnswer("a", 5)]
    report = report_force(5, ["a", "b", "c"], answers)
    assert report.confirmed == ("a",)
    assert report.behind == (NodeAnswer("b", 4),)
    assert report.silent == ("c",)
    assert not report.is_everywhere()
    assert report_force(4, ["a", "b"], answers).is_everywhere()
