"""Tests of the turns of runs that move off the engines of a service."""

import time

import freezegun

from savorylift.fleet.move_messages import MoveOutcome, MoveReply, MoveRequest
from savorylift.moves import service_moves
from savorylift.moves.begun_copies import MAX_COPY_S, SETTLE_S, MoveKey
from savorylift.moves.move_order import PlannedMove
from savorylift.moves.plan_timers import SHARE_DELAY_S
from savorylift.moves.service_moves import (
    MAX_SILENCE_S,
    NOTICE_S,
    PlanConditions,
    ServiceMoves,
)
from tests.moves.factories import (
    LINK_TOKENS_PER_S,
    MEMORY_TOKENS,
    make_destination,
    make_move_request,
)

NODE = "10.0.0.1"
NODES = {NODE}


def key(number: int) -> MoveKey:
    """Returns the key of a request."""
    return MoveKey(NODE, number)


def make_conditions(
    destinations: int = 2,
    free_tokens: float = MEMORY_TOKENS,
    *announced: PlannedMove,
) -> PlanConditions:
    """Returns engines with free links."""
    return PlanConditions(
        {
            f"d{n}": make_destination(free_tokens=free_tokens)
            for n in range(destinations)
        },
        LINK_TOKENS_PER_S,
        announced,
    )


def add(moves: ServiceMoves, *requests: MoveRequest) -> None:
    """Adds requests of one node."""
    for req in requests:
        reply = moves.add(key(req.number), req)
        assert reply.outcome == MoveOutcome.WAIT


def decide(
    moves: ServiceMoves, conditions: PlanConditions | None = None
) -> list[MoveReply]:
    """Returns what can be said now."""
    _, decisions = moves.decide(conditions or make_conditions())
    return [decision.reply for decision in decisions]


def test_copies_off_an_engine_go_one_after_another() -> None:
    moves = ServiceMoves()
    add(moves, make_move_request(1, tokens=3000), make_move_request(2))
    (first,) = decide(moves)
    assert (first.number, first.outcome) == (1, MoveOutcome.GO)
    assert decide(moves) == []
    moves.end(key(1))
    (second,) = decide(moves)
    assert (second.number, second.outcome) == (2, MoveOutcome.GO)


def test_engines_that_leave_at_once_use_different_links() -> None:
    moves = ServiceMoves()
    requests = [make_move_request(n, f"e{n}") for n in range(3)]
    add(moves, *requests)
    begun = decide(moves, make_conditions(2))
    assert len({reply.destination_id for reply in begun}) == len(begun) == 2


def test_turn_is_told_again_to_a_node_that_asks_again() -> None:
    moves = ServiceMoves()
    add(moves, make_move_request(1))
    (begun,) = decide(moves)
    assert moves.add(key(1), make_move_request(1)) == begun


def test_room_is_held_from_the_plan_until_the_run_counts_there() -> None:
    with freezegun.freeze_time() as clock:
        moves = ServiceMoves()
        requests = [make_move_request(n) for n in (1, 2)]
        add(moves, *requests)
        conditions = make_conditions(1)
        decide(moves, conditions)
        expected = requests[0].expected_tokens
        assert moves.held_tokens() == {"d0": 2 * expected}
        moves.end(key(1), "d0")
        decide(moves, conditions)
        moves.end(key(2), "d0")
        assert moves.held_tokens() == {"d0": 2 * expected}
        clock.tick(SETTLE_S + 0.01)
        moves.drop_old(NODES)
        assert moves.held_tokens() == {}


def test_copy_that_counts_in_the_load_of_its_destination_counts_once() -> None:
    moves = ServiceMoves()
    first = make_move_request(1, tokens=3000)
    second = make_move_request(2, "e1")
    add(moves, first)
    room = first.expected_tokens + second.expected_tokens
    conditions = make_conditions(1, room)
    (begun,) = decide(moves, conditions)
    assert begun.destination_id == "d0"
    assert moves.held_tokens() == {"d0": first.expected_tokens}
    # Its node announces it with its load there, so less is free.
    copied = PlannedMove("e0", 3000, "a1", destination="d0")
    conditions = make_conditions(1, room - first.expected_tokens, copied)
    add(moves, second)
    plan, _ = moves.decide(conditions)
    assert [copy.destination_id for copy in plan.copies] == ["d0"]
    assert moves.held_tokens() == {"d0": second.expected_tokens}
    # A copy to elsewhere, or the end of it, is no load there.
    moves.note_announced([copied._replace(destination="d1")])
    assert moves.held_tokens() == {"d0": room}


def test_no_room_is_held_for_a_run_that_was_not_moved() -> None:
    moves = ServiceMoves()
    add(moves, make_move_request(1))
    decide(moves)
    moves.end(key(1))
    assert moves.held_tokens() == {}


def test_run_without_room_tries_an_engine_whose_link_is_free() -> None:
    moves = ServiceMoves()
    requests = [make_move_request(n, f"e{n}") for n in range(3)]
    conditions = make_conditions(2, 1.5 * requests[0].expected_tokens)
    add(moves, *requests)
    begun = decide(moves, conditions)
    assert {reply.destination_id for reply in begun} == {"d0", "d1"}
    # Both have no room left, and their links are in use.
    assert decide(moves, conditions) == []
    moves.end(key(begun[0].number), begun[0].destination_id)
    (trial,) = decide(moves, conditions)
    assert trial.destination_id == begun[0].destination_id


def test_link_of_a_copy_that_takes_long_stays_in_use() -> None:
    with freezegun.freeze_time() as clock:
        moves = ServiceMoves()
        add(moves, make_move_request(1, tokens=3000), make_move_request(2))
        decide(moves)
        clock.tick(1.0)
        assert decide(moves) == []


def test_move_that_another_node_orders_itself_keeps_its_links() -> None:
    moves = ServiceMoves()
    add(moves, make_move_request(1))
    other = PlannedMove("e0", 100, "other", destination="d9")
    assert decide(moves, make_conditions(2, MEMORY_TOKENS, other)) == []
    (reply,) = decide(moves)
    assert reply.outcome == MoveOutcome.GO


def test_old_news_of_a_copy_that_ended_keep_no_link() -> None:
    moves = ServiceMoves()
    add(moves, make_move_request(1, tokens=3000), make_move_request(2))
    (first,) = decide(moves)
    moves.end(key(1))
    old = PlannedMove("e0", 3000, "a1", destination=first.destination_id or "")
    (second,) = decide(moves, make_conditions(2, MEMORY_TOKENS, old))
    assert second.number == 2


def test_run_that_is_too_late_is_made_again_if_it_may() -> None:
    with freezegun.freeze_time():
        moves = ServiceMoves()
        late_s = NOTICE_S - 0.1
        add(
            moves,
            make_move_request(1)._replace(notice_age_s=late_s, may_repeat=True),
            make_move_request(2)._replace(notice_age_s=late_s),
        )
        replies = {reply.number: reply for reply in decide(moves)}
    assert replies[1].outcome == MoveOutcome.UNSAVED
    assert replies[1].reason == "time"
    # Its engine may stay longer than expected.
    assert replies[2].outcome == MoveOutcome.GO


def test_turns_of_nodes_that_are_gone_or_silent_end() -> None:
    with freezegun.freeze_time() as clock:
        moves = ServiceMoves()
        add(moves, make_move_request(1), make_move_request(2, tokens=5000))
        decide(moves)
        clock.tick(MAX_SILENCE_S + 0.01)
        moves.drop_old(NODES)
        assert [moves.has_waiting, moves.is_idle] == [False, False]
        clock.tick(MAX_COPY_S)
        moves.drop_old(NODES)
        assert [moves.has_waiting, moves.is_idle] == [False, True]
        add(moves, make_move_request(3))
        moves.drop_old([])
        assert moves.is_idle


def test_no_more_runs_wait_than_the_bound() -> None:
    moves = ServiceMoves()
    for number in range(service_moves.MAX_WAITING):
        moves.add(key(number), make_move_request(number))
    reply = moves.add(key(-1), make_move_request(-1))
    assert reply.outcome == MoveOutcome.ALONE


def test_plan_of_many_runs_takes_little_time() -> None:
    # 350 nodes, nine services: 67 engines, of which 11 leave at once.
    moves = ServiceMoves()
    for number in range(80):
        moves.add(key(number), make_move_request(number, f"e{number % 11}"))
    conditions = make_conditions(56)
    best_s = min(_time_of_plan(moves, conditions) for _ in range(5))
    # Requests share a plan meanwhile.
    assert best_s < SHARE_DELAY_S


def _time_of_plan(moves: ServiceMoves, conditions: PlanConditions) -> float:
    begun_s = time.perf_counter()
    moves.decide(conditions)
    return time.perf_counter() - begun_s
