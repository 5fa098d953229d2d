"""One node's decisions: sources, proofs, orders in an outage, snapshots."""

import time
from collections.abc import Iterator

import freezegun
import pytest
from freezegun.api import FrozenDateTimeFactory

from savorylift.identity import NodeRef
from savorylift.log_service.log import RULES_STREAM, LogEntry, LogRecord
from savorylift.rules.fold import ConfigFold
from savorylift.rules.inbox import OrderAction, OrderState, SubmitOrder
from savorylift.rules.messages import (
    OrderBack,
    RecordKind,
    RecordsAnswer,
    RecordsAsk,
    encode,
)
from savorylift.rules.operations import Published, PublishRequest, publish
from savorylift.rules.order_exchange import FANOUT
from savorylift.rules.pending import BACKUP_DELAY_S, MAX_PENDING
from savorylift.rules.snapshot import SnapshotMark, encode_state
from savorylift.rules.snapshot_schedule import DUE_RECORDS, SnapshotTurn
from tests.log_service.fakes import FakeLog
from tests.rules.fakes import FakeNode, Fleet

RETENTION_S = 1000.0
VMS = ("e1", "e2", "e3")


@pytest.fixture(autouse=True)
def clock() -> Iterator[FrozenDateTimeFactory]:
    with freezegun.freeze_time("2030-01-01") as clock:
        assert isinstance(clock, FrozenDateTimeFactory)
        yield clock


@pytest.fixture
def fleet() -> Fleet:
    fleet = Fleet(retention_s=RETENTION_S)
    for vm in VMS:
        fleet.start(vm)
    _publish(fleet.log, "set a 1 # x")
    fleet.poll_all(2)
    return fleet


def _publish(log: FakeLog, text: str) -> int:
    req = PublishRequest(text, "r", "noor", time.monotonic() + 1)
    outcome = publish(log, req)
    assert isinstance(outcome, Published)
    return outcome.version


def _order(node: FakeNode, action: OrderAction) -> str:
    req = SubmitOrder(action, "anjara", True, "noor", "works")
    return node.node.submit(req).record_id


def _is_out(node: FakeNode) -> bool:
    return "anjara" in node.view().out_of_service


def _kinds(fleet: Fleet) -> list[str]:
    return [record.kind for record in fleet.log.all_records(RULES_STREAM)]


def test_start_in_an_outage_takes_state_and_orders_of_others(
    fleet: Fleet, clock: FrozenDateTimeFactory
) -> None:
    fleet.nodes["e3"].can_read = False
    _publish(fleet.log, "set a 2 # x")
    fleet.poll_all()
    fleet.log.set_down(is_down=True)
    _order(fleet.nodes["e1"], OrderAction.OUT)
    late = fleet.start("e4")
    for _ in range(4):
        clock.tick(1)
        late.node.tick()
    assert late.view().version == fleet.nodes["e1"].view().version
    assert late.view().settings["a"].value == 2
    assert _is_out(late)
    assert fleet.log.tail(RULES_STREAM) == 2


@pytest.mark.parametrize("vm", ["e2", "e3"])
def test_every_reachable_node_is_asked_in_turn(
    fleet: Fleet, clock: FrozenDateTimeFactory, vm: str
) -> None:
    """A node that holds an order tells and asks others in separate turns."""
    fleet.log.set_down(is_down=True)
    node = fleet.nodes["e1"]
    _order(node, OrderAction.OUT)
    fleet.nodes[vm].stream.take_records(
        (LogRecord(1, "new", "other", "{}", 0),)
    )
    for _ in range(3):
        clock.tick(1)
        node.node.tick()
    assert node.stream.next_offset == 2


def test_proof_counts_from_the_question(
    fleet: Fleet, clock: FrozenDateTimeFactory
) -> None:
    node = fleet.nodes["e1"]
    sent_s = time.monotonic()
    clock.tick(5)
    node.poll(sent_s)
    assert node.proofs[-1] == (sent_s, 1)
    clock.tick(2)
    answer = node.node.answer_records(question=_ask(1))
    assert answer.proof_age_s == pytest.approx(7)
    other = fleet.nodes["e2"]
    asked_s = time.monotonic()
    clock.tick(3)
    other.node.take_records(node.ref, asked_s, answer)
    proven_s, next_offset = other.proofs[-1]
    assert proven_s == pytest.approx(sent_s)
    assert next_offset == 1


def _ask(offset: int) -> RecordsAsk:
    return RecordsAsk(offset)


def test_no_proof_from_a_lagging_answer_or_a_node_without_one(
    fleet: Fleet,
) -> None:
    node = fleet.nodes["e1"]
    count = len(node.proofs)
    node.read_offset = 9  # asked for more than the answer's tail
    node.poll()
    unproven = RecordsAnswer(1, (), -1.0)
    node.node.take_records(NodeRef("e2", "x"), 0.0, unproven)
    assert len(node.proofs) == count


def test_order_in_an_outage_acts_everywhere_at_once(fleet: Fleet) -> None:
    fleet.log.set_down(is_down=True)
    record_id = _order(fleet.nodes["e1"], OrderAction.OUT)
    assert all(_is_out(node) for node in fleet.nodes.values())
    first = fleet.nodes["e1"]
    assert first.node.order_state(record_id).state is OrderState.APPLIED
    assert first.view().out_of_service["anjara"].offset == -1


def test_order_spreads_without_every_node_telling_every_other() -> None:
    fleet = Fleet()
    fleet.log.set_down(is_down=True)
    nodes = [fleet.start(f"e{number}") for number in range(40)]
    _order(nodes[0], OrderAction.OUT)
    assert all(_is_out(node) for node in nodes)
    assert fleet.tells <= 39 + 39 * FANOUT


def test_older_order_back_does_not_lift_a_restriction(fleet: Fleet) -> None:
    body = encode(OrderBack("anjara", True, "ada", "done", 0))
    entry = LogEntry("old", RecordKind.ORDER_BACK, body)
    fleet.log.append(RULES_STREAM, (entry,))
    node = fleet.nodes["e1"]
    _order(node, OrderAction.OUT)
    node.poll()
    assert _is_out(node)


def test_order_back_waits_for_the_log(
    fleet: Fleet, clock: FrozenDateTimeFactory
) -> None:
    node = fleet.nodes["e1"]
    fleet.log.set_down(is_down=True)
    _order(node, OrderAction.OUT)
    back = _order(fleet.nodes["e2"], OrderAction.BACK)
    fleet.poll_all(2)
    assert fleet.nodes["e2"].node.order_state(back).state is OrderState.WAITING
    assert all(_is_out(node) for node in fleet.nodes.values())
    fleet.log.set_down(is_down=False)
    fleet.nodes["e2"].poll()
    for _ in range(8):
        clock.tick(2)
        fleet.poll_all()
    assert not any(_is_out(node) for node in fleet.nodes.values())
    # The order out came after the order back, which had named it.
    assert _kinds(fleet)[1:] == [RecordKind.ORDER_BACK, RecordKind.ORDER_OUT]


def test_order_back_does_not_lift_an_order_out_that_it_did_not_know(
    fleet: Fleet, clock: FrozenDateTimeFactory
) -> None:
    """The order back waits out an outage, and a newer order out is first."""
    node, other = fleet.nodes["e1"], fleet.nodes["e2"]
    _order(node, OrderAction.OUT)
    node.write()
    fleet.poll_all()
    fleet.log.set_down(is_down=True)
    back = _order(node, OrderAction.BACK)
    fleet.log.set_down(is_down=False)
    _order(other, OrderAction.OUT)
    other.write()
    for _ in range(4):
        clock.tick(2)
        fleet.poll_all()
    assert RecordKind.ORDER_BACK in _kinds(fleet)
    assert node.node.order_state(back).state is OrderState.OVERRULED
    assert all(_is_out(node) for node in fleet.nodes.values())


def test_order_given_to_several_nodes_counts_once(
    fleet: Fleet, clock: FrozenDateTimeFactory
) -> None:
    req = SubmitOrder(
        OrderAction.OUT, "anjara", True, "noor", "works", "order-1"
    )
    for node in fleet.nodes.values():
        assert node.node.submit(req).state is OrderState.APPLIED
    for _ in range(4):
        clock.tick(2)
        fleet.poll_all()
    records = fleet.log.all_records(RULES_STREAM)
    assert {record.record_id for record in records[1:]} == {"order-1"}
    late = fleet.nodes["e3"].node.submit(req)
    assert late.state is OrderState.ACCEPTED


def test_others_append_when_the_receiver_is_lost(
    fleet: Fleet, clock: FrozenDateTimeFactory
) -> None:
    fleet.log.set_down(is_down=True)
    _order(fleet.nodes["e1"], OrderAction.OUT)
    del fleet.nodes["e1"]
    fleet.log.set_down(is_down=False)
    fleet.poll_all(2)
    assert "rules.order_out" not in _kinds(fleet)
    clock.tick(BACKUP_DELAY_S)
    fleet.poll_all(2)
    assert fleet.nodes["e2"].view().out_of_service["anjara"].offset >= 0


def test_orders_are_bounded(fleet: Fleet) -> None:
    fleet.log.set_down(is_down=True)
    node = fleet.nodes["e1"]
    for _ in range(MAX_PENDING):
        assert _order(node, OrderAction.OUT)
    req = SubmitOrder(OrderAction.OUT, "rajib", True, "noor", "works")
    assert node.node.submit(req).state is OrderState.REFUSED


def test_snapshot_is_written_once_and_survives_retention(
    fleet: Fleet, clock: FrozenDateTimeFactory
) -> None:
    clock.tick(RETENTION_S * 0.45)
    fleet.poll_all(2)
    assert RecordKind.SNAPSHOT not in _kinds(fleet)
    for _ in range(6):
        clock.tick(RETENTION_S * 0.05)
        fleet.poll_all(2)
    assert _kinds(fleet).count(RecordKind.SNAPSHOT) == 1
    fleet.log.trim(RULES_STREAM, 1)
    fresh = fleet.start("e4")
    fresh.poll()
    fresh.poll()
    assert fresh.stream.dumps() == fleet.nodes["e1"].stream.dumps()


class CountingFold(ConfigFold):
    """Counts the records that it applies."""

    applied = 0

    def apply(self, record: LogRecord) -> None:
        super().apply(record)
        self.applied += 1


def test_start_replays_only_what_follows_the_newest_snapshot() -> None:
    fleet = Fleet(make_fold=CountingFold)
    writer = fleet.start("e1")
    for value in range(1, 9):
        _publish(fleet.log, f"set a {value} # x")
        fleet.poll_all()
        if value % 3 == 0:
            fleet.log.append(RULES_STREAM, writer.stream.snapshot())
            fleet.poll_all()
    fleet.log.page_size = 2
    fresh = fleet.start("e2")
    for _ in range(6):
        fresh.poll()
    assert fresh.stream.dumps() == writer.stream.dumps()
    assert isinstance(fresh.config, CountingFold)
    assert fresh.config.applied == 2  # the newest snapshot holds six of eight


def test_lost_snapshot_is_replaced_without_waiting(
    fleet: Fleet, clock: FrozenDateTimeFactory
) -> None:
    fleet.log.trim(RULES_STREAM, 1)
    for _ in range(3):
        clock.tick(2)
        fleet.poll_all(2)
    assert _kinds(fleet).count(RecordKind.SNAPSHOT) == 1


def test_large_snapshot_in_parts_with_broken_ones_between(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("savorylift.rules.snapshot.PART_CHARS", 40)
    entries = fleet.nodes["e1"].stream.snapshot()
    assert len(entries) > 3
    log = fleet.log
    log.append(RULES_STREAM, entries[:-1])  # incomplete
    log.append(
        RULES_STREAM, tuple(e._replace(record_id="") for e in entries[1:])
    )
    log.append(RULES_STREAM, _unreadable(entries))
    log.append(RULES_STREAM, entries)
    log.trim(RULES_STREAM, 1)
    log.page_size = 2
    fresh = fleet.start("e4")
    fleet.poll_all(log.tail(RULES_STREAM))
    assert fresh.stream.dumps() == fleet.nodes["e1"].stream.dumps()
    assert fresh.view().settings["a"].value == 1


def _unreadable(entries: tuple[LogEntry, ...]) -> tuple[LogEntry, ...]:
    data = encode_state({"config": "[]", "stream": "[9,[],null]"})
    body = encode(("other", 0, 0, 1, data))
    return (entries[0]._replace(record_id="bad", body=body),)


@pytest.mark.parametrize(
    ("mark", "first_offset", "unusable_s", "age_s", "is_due"),
    [
        (None, 0, 0.0, 10.0, False),
        (None, 0, 0.0, 650.0, True),
        (SnapshotMark(3, 5, 0), 0, 0.0, 400.0, False),
        (SnapshotMark(3, 5, 0), 0, 0.0, 650.0, True),
        (SnapshotMark(3, 5, 0), 4, 0.0, 400.0, False),
        (SnapshotMark(3, 5, 0), 5, 9.0, 0.0, True),  # a gap before it
        (SnapshotMark(3, 5, 0), 6, 9.0, 0.0, True),  # itself forgotten
        (None, 1, 9.0, 0.0, True),
    ],
)
def test_when_a_snapshot_is_due(
    mark: SnapshotMark | None,
    first_offset: int,
    unusable_s: float,
    age_s: float,
    is_due: bool,  # noqa: FBT001
) -> None:
    now_ms = int(age_s * 1000)
    turns = [
        SnapshotTurn(
            mark, 9, first_offset, 0, now_ms, RETENTION_S, unusable_s, vm, VMS
        )
        for vm in VMS
    ]
    assert all(turn.is_due() for turn in turns) == is_due
    assert any(turn.is_due() for turn in turns) == is_due
    just_due = [turn._replace(now_ms=501_000) for turn in turns]
    if mark and first_offset < 5:
        assert [turn.is_due() for turn in just_due].count(True) == 1
        long = [turn._replace(now_ms=0, records=DUE_RECORDS) for turn in turns]
        assert [turn.is_due() for turn in long].count(True) == 1
