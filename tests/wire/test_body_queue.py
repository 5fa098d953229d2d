"""Tests of sharing memory for bodies among the teams of their callers."""

import asyncio

import pytest

from savorylift.wire.body_budget import (
    RESERVE_DIVISOR,
    WAITING_BODY_BYTES,
    BodyBudget,
)
from savorylift.wire.body_lease import BodyLease
from savorylift.wire.body_queue import BodyQueue, WaitingBody
from tests.wire.loopback import run_with_timeout

BODY_BYTES = 1_000_000
# Seven bodies fit, and three wait.
BUDGET_BYTES = 8 * BODY_BYTES
FITTING = 7
MOST_WAITING = BUDGET_BYTES // RESERVE_DIVISOR // WAITING_BODY_BYTES
# Longer than any of the tests lasts.
WAIT_S = 5.0


def lease_of(team: str) -> BodyLease:
    lease = BodyLease()
    lease.team = team
    return lease


class Uploads:
    """Uploads of teams that share a budget.

    Attributes:
        budget: The budget.
        served: Teams whose bodies were admitted, in this order.
        refused: Teams whose bodies were not.
    """

    def __init__(self) -> None:
        self.budget = BodyBudget(BUDGET_BYTES)
        self.served: list[str] = []
        self.refused: list[str] = []
        self._leases: list[BodyLease] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def begin(self, team: str, count: int) -> None:
        for _ in range(count):
            self._tasks.append(asyncio.ensure_future(self._upload(team)))
            await asyncio.sleep(0)

    async def _upload(self, team: str) -> None:
        lease = lease_of(team)
        if await self.budget.take(lease, BODY_BYTES, WAIT_S):
            self.served.append(team)
            self._leases.append(lease)
        else:
            self.refused.append(team)

    async def end(self, count: int) -> None:
        """Ends the oldest uploads, one after another."""
        for _ in range(count):
            self.budget.release(self._leases.pop(0))
            await asyncio.sleep(0)
            await asyncio.sleep(0)


def test_one_team_is_served_in_order() -> None:
    async def scenario() -> None:
        queue = BodyQueue(1000)
        bodies = [queue.add(lease_of("a"), 1, 1) for _ in range(3)]
        for body in bodies:
            assert body is not None
            assert queue.find_next({}) is body
            queue.grant(body)
        assert queue.is_empty

    run_with_timeout(scenario())


def test_team_that_holds_least_goes_first() -> None:
    """The bodies of one team stood before all that came later."""

    async def scenario() -> None:
        uploads = Uploads()
        await uploads.begin("much", FITTING + MOST_WAITING - 1)
        await uploads.begin("little", 1)
        assert uploads.served == ["much"] * FITTING
        await uploads.end(2)
        assert uploads.served[FITTING:] == ["little", "much"]
        assert uploads.refused == []

    run_with_timeout(scenario())


def test_teams_that_want_as_much_get_as_much() -> None:
    async def scenario() -> None:
        uploads = Uploads()
        await uploads.begin("a", FITTING)
        await uploads.begin("b", MOST_WAITING // 2)
        await uploads.begin("c", MOST_WAITING // 2)
        await uploads.end(MOST_WAITING)
        assert sorted(uploads.served[FITTING:]) == sorted(
            ["b", "c"] * (MOST_WAITING // 2)
        )
        assert uploads.served[FITTING : FITTING + 2] in (["b", "c"], ["c", "b"])

    run_with_timeout(scenario())


def test_team_that_fills_the_queue_gives_way() -> None:
    """One body that came later was refused at once."""

    async def scenario() -> None:
        uploads = Uploads()
        await uploads.begin("much", FITTING + MOST_WAITING)
        assert uploads.refused == []
        await uploads.begin("little", 1)
        await asyncio.sleep(0)
        assert uploads.refused == ["much"]
        await uploads.end(1)
        assert uploads.served[-1] == "little"
        # One of its own has nobody to give way.
        await uploads.begin("much", 1)
        await uploads.begin("much", 1)
        assert uploads.refused == ["much"] * 2

    run_with_timeout(scenario())


@pytest.mark.parametrize(
    ("waiting", "team", "gives_way"),
    [
        (["a", "a", "a", "a"], "a", None),
        (["a", "a", "a", "a"], "b", "a"),
        (["a", "a", "a", "b"], "b", "a"),
        # With one more, that team would have more than the other.
        (["a", "a", "b", "b"], "b", None),
        (["a", "b", "c", "d"], "e", None),
        # Callers whose team isn't known are one team.
        (["", "", "", ""], "a", ""),
    ],
)
def test_only_who_has_more_in_the_queue_gives_way(
    waiting: list[str], team: str, gives_way: str | None
) -> None:
    async def scenario() -> None:
        queue = BodyQueue(4)
        bodies = [queue.add(lease_of(name), 10, 1) for name in waiting]
        added = queue.add(lease_of(team), 10, 1)
        assert (added is not None) is (gives_way is not None)
        displaced = [
            body for body in bodies if body is not None and body.granted.done()
        ]
        teams = [body.lease.team for body in displaced]
        assert teams == ([] if gives_way is None else [gives_way])
        # The newest one.
        expected = [i for i, name in enumerate(waiting) if name == gives_way]
        assert [bodies.index(body) for body in displaced] == expected[-1:]

    run_with_timeout(scenario())


def test_body_that_is_given_up_is_not_granted() -> None:
    async def scenario() -> None:
        queue = BodyQueue(10)
        first, second = (queue.add(lease_of("a"), 5, 5) for _ in range(2))
        assert isinstance(first, WaitingBody)
        first.granted.cancel()
        assert queue.find_next({}) is second
        assert queue.leave(first)
        assert not queue.leave(first)
        # Its bytes are free again.
        assert queue.add(lease_of("a"), 5, 5) is not None

    run_with_timeout(scenario())


def test_body_that_fits_goes_before_one_of_a_team_that_holds_more() -> None:
    """It waited in vain if no body ended meanwhile, though it had room."""

    async def scenario() -> None:
        budget = BodyBudget(BUDGET_BYTES)
        held, large = lease_of("much"), lease_of("much")
        assert await budget.take(held, 5 * BODY_BYTES, WAIT_S)
        waiting = asyncio.ensure_future(
            budget.take(large, 4 * BODY_BYTES, WAIT_S)
        )
        await asyncio.sleep(0)
        assert await budget.take(lease_of("little"), BODY_BYTES, 0.05)
        assert not waiting.done()
        waiting.cancel()

    run_with_timeout(scenario())


def test_body_that_gives_way_holds_up_no_other() -> None:
    """Who stood behind it waited until some body ended."""

    async def scenario() -> None:
        budget = BodyBudget(BUDGET_BYTES)
        assert await budget.take(lease_of("held"), 4 * BODY_BYTES, WAIT_S)
        # Each fills a quarter of the queue, and the first needs too much.
        sizes = {"a": 5 * BODY_BYTES, "b": BODY_BYTES, "c": BODY_BYTES}
        waiting = {
            team: asyncio.ensure_future(
                budget.take(lease_of(team), size, WAIT_S)
            )
            for team, size in sizes.items()
        }
        await asyncio.sleep(0)
        assert await budget.take(lease_of("d"), 250_000, 0.05)
        assert not await waiting["a"]
        assert await waiting["b"]
        for task in waiting.values():
            task.cancel()

    run_with_timeout(scenario())
