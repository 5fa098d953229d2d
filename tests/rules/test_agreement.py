"""Any history of operators, nodes and faults against the oracle."""

import time
from collections.abc import Callable

import freezegun
import hypothesis
import pytest
from freezegun.api import FrozenDateTimeFactory
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from savorylift.identity import new_id
from savorylift.log_service.log import RULES_STREAM, LogEntry
from savorylift.rules.edits import hash_lines, make_edits
from savorylift.rules.fold import ConfigFold
from savorylift.rules.inbox import OrderAction, OrderReceipt, SubmitOrder
from savorylift.rules.log_state import LogState
from savorylift.rules.messages import (
    Edit,
    OrderBack,
    OrderOut,
    RecordKind,
    encode,
)
from savorylift.rules.stream import RulesStream
from tests.log_service.fakes import AppendFault
from tests.rules.fakes import FakeNode, Fleet, MakeStream
from tests.rules.naive import (
    AnySnapshotStream,
    LastOrderWinsFold,
    LastWriteWinsFold,
    NoIdsStream,
)
from tests.rules.oracle import Meaning, interpret

VMS = st.sampled_from(["e1", "e2", "e3"])
OPERATORS = st.sampled_from(["noor", "tariq"])
DOMAINS = st.sampled_from(["anjara", "rajib"])
LINES = st.lists(
    st.sampled_from(
        [f"set s{n} {value} # x" for n in range(3) for value in range(3)]
    ),
    max_size=4,
)
MOSTLY_TRUE = st.sampled_from([True, True, True, False])
FAULTS = st.lists(st.sampled_from(tuple(AppendFault)), max_size=2)


class Agreement(RuleBasedStateMachine):
    """Several operators and nodes around one faulty log."""

    make_fold: Callable[[], ConfigFold] = ConfigFold
    make_stream: MakeStream = RulesStream

    def __init__(self) -> None:
        super().__init__()
        self._freezer = freezegun.freeze_time("2030-01-01")
        clock = self._freezer.start()
        assert isinstance(clock, FrozenDateTimeFactory)
        self.clock = clock
        self.fleet = Fleet(type(self).make_fold, type(self).make_stream)
        self.log = self.fleet.log
        self.edits: dict[str, LogEntry] = {}
        self.sent: list[LogEntry] = []
        self.slow_snapshots: list[tuple[LogEntry, ...]] = []
        self.offsets: dict[str, int] = {}
        self.given: list[tuple[FakeNode, OrderReceipt, str]] = []

    def teardown(self) -> None:
        self._freezer.stop()

    @initialize()
    def start_all(self) -> None:
        for vm in ("e1", "e2", "e3"):
            self.fleet.start(vm)

    @rule(operator=OPERATORS, lines=LINES)
    def begin_edit(self, operator: str, lines: list[str]) -> None:
        """The operator reads the newest version and edits it."""
        self._prepare(operator, lines)

    def _prepare(self, operator: str, lines: list[str]) -> None:
        state = LogState(self.log)
        if state.read_to_tail(time.monotonic() + 60) is not None:
            return
        old = state.config.lines()
        if list(old) == lines:
            return
        edit = Edit(
            state.config.version,
            make_edits(old, lines),
            hash_lines(lines),
            operator,
        )
        self.edits[operator] = LogEntry(
            new_id("edit"), RecordKind.EDIT, encode(edit)
        )

    @rule(lines=st.tuples(LINES, LINES))
    def race(self, lines: tuple[list[str], list[str]]) -> None:
        """Two operators edit the same version."""
        self._race(lines)

    def _race(self, lines: tuple[list[str], list[str]]) -> None:
        self._prepare("noor", lines[0])
        self._prepare("tariq", lines[1])
        for operator in sorted(self.edits):
            self._send(self.edits.pop(operator))

    @precondition(lambda self: self.edits)
    @rule(data=st.data())
    def send_edit(self, data: st.DataObject) -> None:
        operator = data.draw(st.sampled_from(sorted(self.edits)), "operator")
        self._send(self.edits.pop(operator))

    @rule(domain=DOMAINS, is_out=st.booleans(), age=st.integers(0, 5))
    def send_order(self, domain: str, is_out: bool, age: int) -> None:  # noqa: FBT001
        if is_out:
            body = encode(OrderOut(domain, True, "noor", "works"))
            self._send(LogEntry(new_id("o"), RecordKind.ORDER_OUT, body))
        else:
            known = self.log.tail(RULES_STREAM) - 1 - age
            body = encode(OrderBack(domain, True, "noor", "done", known))
            self._send(LogEntry(new_id("o"), RecordKind.ORDER_BACK, body))

    @precondition(lambda self: self.sent)
    @rule(data=st.data())
    def send_again(self, data: st.DataObject) -> None:
        """A lost answer or a repeated request appends a record twice."""
        entry = data.draw(st.sampled_from(self.sent), "entry")
        self.log.append(RULES_STREAM, (entry,))

    @rule(vm=VMS, domain=DOMAINS, is_out=st.booleans())
    def give_order_to_node(
        self,
        vm: str,
        domain: str,
        is_out: bool,  # noqa: FBT001
    ) -> None:
        node = self.fleet.nodes[vm]
        action = OrderAction.OUT if is_out else OrderAction.BACK
        receipt = node.node.submit(
            SubmitOrder(action, domain, True, "tariq", "now")
        )
        if is_out:
            self.given.append((node, receipt, domain))

    @rule(vm=VMS, rounds=st.integers(1, 4))
    def poll(self, vm: str, rounds: int) -> None:
        for _ in range(rounds):
            self.fleet.nodes[vm].poll()

    @rule(vm=VMS)
    def write(self, vm: str) -> None:
        self.fleet.nodes[vm].write()

    @rule(vm=VMS, seconds=st.sampled_from([0.0, 0.5, 2.0, 20.0]))
    def tick(self, vm: str, seconds: float) -> None:
        self.clock.tick(seconds)
        self.fleet.nodes[vm].node.tick()

    @rule(vm=VMS)
    def restart(self, vm: str) -> None:
        self.fleet.start(vm)
        self.offsets.pop(vm, None)
        self.given = [given for given in self.given if given[0].ref.vm != vm]

    @rule(vm=VMS, is_linked=MOSTLY_TRUE, can_read=MOSTLY_TRUE)
    def change_links(self, vm: str, is_linked: bool, can_read: bool) -> None:  # noqa: FBT001
        self.fleet.nodes[vm].is_cut = not is_linked
        self.fleet.nodes[vm].can_read = can_read

    @rule(is_up=MOSTLY_TRUE, page_size=st.integers(1, 4))
    def change_log(self, is_up: bool, page_size: int) -> None:  # noqa: FBT001
        self.log.page_size = page_size
        self.log.set_down(is_down=not is_up)

    @rule(faults=FAULTS)
    def break_appends(self, faults: list[AppendFault]) -> None:
        self.log.append_faults.extend(faults)

    @rule()
    def deliver_late(self) -> None:
        self.log.deliver_late()

    @rule(vm=VMS)
    def begin_snapshot(self, vm: str) -> None:
        self._begin_snapshot(vm)

    def _begin_snapshot(self, vm: str) -> None:
        stream = self.fleet.nodes[vm].stream
        if not stream.is_rebuilding and stream.next_offset:
            self.slow_snapshots.append(stream.snapshot())

    @precondition(lambda self: self.slow_snapshots)
    @rule()
    def end_snapshot(self) -> None:
        self.log.append(RULES_STREAM, self.slow_snapshots.pop(0))

    @rule(vm=VMS, lines=st.tuples(LINES, LINES))
    def snapshot_during_race(
        self, vm: str, lines: tuple[list[str], list[str]]
    ) -> None:
        """A snapshot reaches the log after edits that it doesn't have."""
        self._begin_snapshot(vm)
        self._race(lines)
        while self.slow_snapshots:
            self.log.append(RULES_STREAM, self.slow_snapshots.pop(0))

    @rule(kept=st.integers(2, 12))
    def trim(self, kept: int) -> None:
        self.log.trim(RULES_STREAM, self.log.tail(RULES_STREAM) - kept)

    @invariant()
    def nodes_mean_what_the_oracle_means(self) -> None:
        records = self.log.all_records(RULES_STREAM)
        for node in self.fleet.nodes.values():
            meaning = interpret(records, node.stream.next_offset)
            assert _state_of(node) == meaning._replace(winners=())

    @invariant()
    def equal_offsets_have_equal_states(self) -> None:
        dumps: dict[int, dict[str, str]] = {}
        for node in self.fleet.nodes.values():
            offset = node.stream.next_offset
            own = node.stream.dumps()
            assert dumps.setdefault(offset, own) == own

    @invariant()
    def offsets_never_go_back(self) -> None:
        for vm, node in self.fleet.nodes.items():
            offset = node.view().offset
            assert offset >= self.offsets.get(vm, -1)
            self.offsets[vm] = offset

    @invariant()
    def one_winner_for_each_base(self) -> None:
        records = self.log.all_records(RULES_STREAM)
        winners = interpret(records, len(records)).winners
        for node in self.fleet.nodes.values():
            accepted = node.config.accepted_after(-1)
            bases = [decision.base for decision in accepted]
            assert len(set(bases)) == len(bases)
            expected = {(one.base, one.offset) for one in accepted}
            assert expected <= set(winners)

    @invariant()
    def given_orders_act_until_they_are_read_back(self) -> None:
        for node, receipt, domain in self.given:
            is_read_back = node.stream.has_applied(receipt.record_id)
            is_cancelled = node.config.is_cancelled(receipt.record_id)
            if not is_read_back and not is_cancelled:
                assert domain in node.view().out_of_service

    def _send(self, entry: LogEntry) -> None:
        self.sent.append(entry)
        self.log.append(RULES_STREAM, (entry,))


def _state_of(node: FakeNode) -> Meaning:
    view = node.config.view(node.stream.next_offset - 1)
    out = sorted(
        (order.target, order.is_domain, order.offset)
        for order in view.out_of_service.values()
    )
    return Meaning(view.version, node.config.lines(), tuple(out))


class LastWriteWins(Agreement):
    """The naive way to take edits."""

    make_fold = LastWriteWinsFold


class LastOrderWins(Agreement):
    """The naive way to take orders back."""

    make_fold = LastOrderWinsFold


class AnySnapshot(Agreement):
    """The naive way to take snapshots."""

    make_stream = AnySnapshotStream


class NoIds(Agreement):
    """The naive way to take records that come twice."""

    make_stream = NoIdsStream


SETTINGS = hypothesis.settings(
    max_examples=150,
    stateful_step_count=40,
    suppress_health_check=list(hypothesis.HealthCheck),
)


FIRST_FAILURE = hypothesis.settings(
    SETTINGS,
    max_examples=1000,
    phases=[hypothesis.Phase.generate],
    report_multiple_bugs=False,
)


def test_agreement() -> None:
    run_state_machine_as_test(Agreement, settings=SETTINGS)


@pytest.mark.parametrize(
    "naive", [LastWriteWins, LastOrderWins, AnySnapshot, NoIds]
)
def test_naive_ways_fail(naive: type[Agreement]) -> None:
    with pytest.raises(AssertionError):
        run_state_machine_as_test(naive, settings=FIRST_FAILURE)
