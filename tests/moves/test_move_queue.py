"""Tests of the order in which runs are copied off an engine."""

import asyncio

from savorylift.moves.move_order import PlannedMove
from savorylift.moves.move_queue import MoveQueue
from tests.wire.loopback import run_with_timeout


async def take_turn(
    queue: MoveQueue, move: PlannedMove, order: list[str], hold_s: float
) -> None:
    async with queue.turn(move):
        order.append(move.attempt_id)
        await asyncio.sleep(hold_s)


def test_smallest_move_goes_first_and_copies_do_not_overlap() -> None:
    async def scenario() -> None:
        queue = MoveQueue(lambda: (), lambda: None, lambda: 0.2)
        order: list[str] = []
        moves = [PlannedMove("e", 10 * n, f"r{n}") for n in (3, 1, 2)]
        began_s = asyncio.get_running_loop().time()
        await asyncio.gather(*(take_turn(queue, m, order, 0.05) for m in moves))
        assert order == ["r1", "r2", "r3"]
        assert asyncio.get_running_loop().time() - began_s >= 0.15
        assert queue.planned == ()

    run_with_timeout(scenario())


def test_move_waits_for_earlier_moves_of_other_nodes() -> None:
    async def scenario() -> None:
        others = [PlannedMove("e", 5, "other")]
        queue = MoveQueue(lambda: others, lambda: None, lambda: 0.2)
        order: list[str] = []
        move = PlannedMove("e", 9, "mine")
        task = asyncio.ensure_future(take_turn(queue, move, order, 0))
        await asyncio.sleep(0.1)
        assert order == []
        others.clear()
        queue.on_change()
        await task
        assert order == ["mine"]

    run_with_timeout(scenario())


def test_destinations_of_all_nodes_are_listed_and_announced() -> None:
    async def scenario() -> None:
        announcements: list[int] = []
        others = [PlannedMove("f", 5, "other", "d2")]
        queue = MoveQueue(
            lambda: others, lambda: announcements.append(1), lambda: 0.2
        )
        async with queue.turn(PlannedMove("e", 9, "mine")):
            queue.set_destination("mine", "d1")
            assert queue.destinations() == {"d1", "d2"}
            assert queue.planned[0].destination == "d1"
        assert queue.destinations() == {"d2"}
        assert len(announcements) == 3

    run_with_timeout(scenario())
