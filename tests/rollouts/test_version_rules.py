"""Tests of which versions requests may go to, whatever nodes know."""

import freezegun
import pytest
from hypothesis import given
from hypothesis import strategies as st

from savorylift.backends.server import ServerEntry
from savorylift.fleet.rollout_messages import RolloutPhase, Stage
from savorylift.rollouts.board import RolloutBoard
from savorylift.rollouts.next_stage import LOAD_SHARE
from savorylift.rollouts.order import RolloutLimits, RolloutOrder
from savorylift.rollouts.stage import begin
from savorylift.rollouts.version_rules import LEASE_S, position
from tests.exchange.factories import make_server_entry

LIMITS = RolloutLimits(0.1, 50.0, 5.0)
ORDER = RolloutOrder("o1", "s", "v2", 12.0)
LATER_ORDER = RolloutOrder("o2", "s", "v3", 12.0)
STAGE = Stage(
    service="s",
    order_id="o1",
    version="v2",
    duration_s=12.0,
    phase=RolloutPhase.WATCH,
    step=2,
    share=0.09,
    epoch=1,
    elapsed_s=1.0,
)
OLD, NEW, NEWER = (
    make_server_entry(f"i-{version}")._replace(software_version=version)
    for version in ("v1", "v2", "v3")
)
ATTEMPTS = [f"attempt-{number}" for number in range(4000)]


def make_board(
    order: RolloutOrder | None = ORDER,
    stage: Stage | None = None,
    servers: tuple[ServerEntry, ...] = (OLD, NEW),
) -> RolloutBoard:
    board = RolloutBoard(LIMITS)
    board.set_orders([] if order is None else [order])
    if stage is not None:
        assert board.accept(stage)
    board.note_servers("s", servers)
    return board


def share_of(board: RolloutBoard, entry: ServerEntry, **options: bool) -> float:
    """Returns the share of requests that may go to a server."""
    found = 0
    for attempt in ATTEMPTS:
        rule = board.find_rule(
            "s", attempt, route="r", **({"is_repeat": False} | options)
        )
        found += rule is None or rule.allows(entry)
    return found / len(ATTEMPTS)


@pytest.mark.parametrize(
    ("order", "stage", "new_share", "old_share"),
    [
        (None, None, 1.0, 1.0),
        (ORDER, None, 0.0, 1.0),
        (ORDER, STAGE, 0.09, 1.0),
        (LATER_ORDER, STAGE, 0.0, 1.0),
        (ORDER, STAGE._replace(share=LOAD_SHARE), LOAD_SHARE, 1.0),
        (ORDER, STAGE._replace(phase=RolloutPhase.SHIFT, share=1.0), 1.0, 0.0),
        (ORDER, STAGE._replace(phase=RolloutPhase.COMPLETED), 1.0, 0.0),
        (ORDER, STAGE._replace(phase=RolloutPhase.ROLLED_BACK), 0.0, 1.0),
        (None, STAGE._replace(phase=RolloutPhase.ROLLED_BACK), 0.0, 1.0),
        (None, STAGE, 0.09, 1.0),
    ],
)
def test_stages_say_which_share_goes_where(
    order: RolloutOrder | None,
    stage: Stage | None,
    new_share: float,
    old_share: float,
) -> None:
    board = make_board(order, stage)
    assert share_of(board, NEW) == pytest.approx(new_share, abs=0.03)
    assert share_of(board, OLD) == old_share


def test_a_stage_counts_less_the_longer_nothing_is_heard() -> None:
    with freezegun.freeze_time() as clock:
        board = make_board(stage=STAGE)
        clock.tick(LEASE_S - 0.1)
        assert board.share("s") == STAGE.share
        clock.tick(0.2)
        assert board.share("s") == pytest.approx(0.03)
        clock.tick(LIMITS.rollback_s)
        assert board.share("s") == 0.0
        assert not board.accept(STAGE)
        assert board.share("s") == STAGE.share


def test_repeats_go_to_the_old_version() -> None:
    board = make_board(stage=STAGE)
    assert share_of(board, NEW, is_repeat=True) == 0.0
    assert share_of(board, OLD, is_repeat=True) == 1.0


def test_streams_go_on_at_any_version_but_a_banned_one() -> None:
    board = make_board(stage=STAGE)
    assert share_of(board, NEW, is_bound=True) == 1.0
    board.accept(STAGE._replace(phase=RolloutPhase.ROLLED_BACK, step=3))
    assert share_of(board, NEW, is_bound=True) == 0.0
    assert share_of(board, OLD, is_bound=True) == 1.0


def test_a_banned_version_stays_out_after_a_later_order() -> None:
    board = make_board(LATER_ORDER, servers=(OLD, NEW, NEWER))
    stage = STAGE._replace(
        order_id="o2", version="v3", banned=("v2",), epoch=2, share=0.09
    )
    assert board.accept(stage)
    assert share_of(board, NEW) == 0.0
    assert share_of(board, NEWER) == pytest.approx(0.09, abs=0.03)


def test_an_order_back_to_the_old_version_leaves_it_serving() -> None:
    back = RolloutOrder("o2", "s", "v1", 12.0)
    board = make_board(back, STAGE, servers=(OLD, NEW))
    assert share_of(board, OLD) == 1.0
    assert share_of(board, NEW) == 0.0
    assert board.accept(begin(back, STAGE, 0.0)._replace(epoch=2))
    board.note_servers("s", (OLD, NEW))
    assert share_of(board, OLD) == 1.0
    assert share_of(board, NEW) == 0.0


def test_without_another_version_the_new_one_serves() -> None:
    for stage in (None, STAGE, STAGE._replace(phase=RolloutPhase.COMPLETED)):
        board = make_board(stage=stage, servers=(NEW,))
        assert share_of(board, NEW) == 1.0


def test_a_small_share_goes_to_few_servers() -> None:
    new = tuple(NEW._replace(server_id=f"n{number}") for number in range(14))
    board = make_board(stage=STAGE, servers=(OLD, *new))
    assert sum(share_of(board, entry) > 0 for entry in new) == 3
    board.accept(STAGE._replace(share=LOAD_SHARE, step=3))
    assert all(share_of(board, entry) > 0 for entry in new)


knowledge = st.builds(
    lambda share, age_s, is_known: (share, age_s, is_known),
    st.sampled_from([0.0, 0.03, 0.09]),
    st.floats(0, 30),
    st.booleans(),
)


@given(st.lists(knowledge, min_size=1, max_size=20))
def test_no_knowledge_of_nodes_exposes_more_than_the_largest_share(
    nodes: list[tuple[float, float, bool]],
) -> None:
    """A request that may go to a new version may from the largest share on."""
    largest = max(share for share, _, _ in nodes)
    with freezegun.freeze_time() as clock:
        for share, age_s, is_known in nodes:
            stage = STAGE._replace(share=share) if is_known else None
            board = make_board(stage=stage)
            clock.tick(age_s)
            for attempt in ATTEMPTS[:100]:
                rule = board.find_rule("s", attempt, is_repeat=False)
                assert rule is not None
                if rule.allows(NEW):
                    assert position(attempt) < largest


def test_ages_of_orders_are_taken_from_stages() -> None:
    board = make_board(stage=STAGE._replace(elapsed_s=5.0))
    assert board.elapsed_s("o1") == pytest.approx(5.0, abs=0.5)


@pytest.mark.parametrize(
    ("route", "expected"), [("short", 0.09), ("long", 1.0)]
)
def test_held_routes_keep_the_share_of_the_watch(
    route: str, expected: float
) -> None:
    stage = STAGE._replace(
        phase=RolloutPhase.SHIFT, share=1.0, held_routes=("short",)
    )
    with freezegun.freeze_time():
        board = make_board(stage=stage)
        assert board.share("s", route) == pytest.approx(expected)
        rules = [
            board.find_rule("s", attempt, route=route, is_repeat=False)
            for attempt in ATTEMPTS
        ]
    old = sum(rule is not None and rule.allows(OLD) for rule in rules)
    assert (old == 0) is (expected == 1.0)
