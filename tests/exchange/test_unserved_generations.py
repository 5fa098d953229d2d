"""Tests of how requests end that can't be sent to an engine."""

import random
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import pytest

from savorylift.exchange.results import Broken, Obstacle, Refused
from savorylift.exchange.unserved_generations import (
    RETRY_AFTER_JITTER,
    UnservedGenerations,
)
from savorylift.outcomes import Reason

FAILURE = Broken(Reason.QUEUE_FULL, "full")
LIMIT_S = 3.0
HOLD_S = 4.0
TURN_S = 5.0
ROOM_S = 6.0


class Site:
    """A request, and why engines don't take it; nothing unless a test says."""

    def __init__(self) -> None:
        self.run: Any = SimpleNamespace(
            possibly_run_attempts=(),
            admitted=None,
            obstacle=None,
            return_in_s=None,
        )
        self.is_closed = False
        self.hold_s: float | None = None
        self.are_leaving = False
        self.is_version_gone = False
        self.sink: Any = SimpleNamespace(is_started=False)

    def end(self) -> Refused | None:
        """Ends the request."""
        waits = SimpleNamespace(
            is_closed_by_limits=lambda *_: self.is_closed,
            assign_return_s=lambda _: LIMIT_S,
            shortest_hold_s=lambda _: self.hold_s,
        )
        pool: Any = SimpleNamespace(
            waits=waits, are_all_leaving=lambda _: self.are_leaving
        )
        queue: Any = SimpleNamespace(estimate_return_s=lambda _: ROOM_S)
        resumption: Any = SimpleNamespace(
            is_version_gone=lambda _: self.is_version_gone
        )
        unserved = UnservedGenerations(
            pool, queue, resumption, random.Random(1)
        )
        return unserved.end_unserved(self.run, self.sink, FAILURE)


def close(site: Site) -> None:
    site.is_closed = True


def hold(site: Site) -> None:
    site.hold_s = HOLD_S


def leave(site: Site) -> None:
    site.are_leaving = True


def lose_version(site: Site) -> None:
    site.is_version_gone = True


def leave_unasked(site: Site) -> None:
    site.run.obstacle = Obstacle.NOT_ASKED


def name_turn(site: Site) -> None:
    site.run.return_in_s = TURN_S


@pytest.mark.parametrize(
    ("changes", "reason", "retry_after_s"),
    [
        ([close], Reason.SERVER_LIMIT, LIMIT_S),
        ([hold], Reason.SERVER_HOLD, HOLD_S),
        ([leave_unasked], Reason.SERVER_LIMIT, LIMIT_S),
        ([name_turn], Reason.QUEUE_FULL, TURN_S),
        # Of two reasons, the one that says more of when to return.
        ([close, hold], Reason.SERVER_LIMIT, LIMIT_S),
        ([hold, name_turn], Reason.SERVER_HOLD, HOLD_S),
    ],
)
def test_caller_is_told_why_and_when_to_return(
    changes: list[Callable[[Site], None]], reason: Reason, retry_after_s: float
) -> None:
    site = Site()
    for change in changes:
        change(site)
    refused = site.end()
    assert refused is not None
    assert (refused.status, refused.reason) == (503, reason)
    assert refused.retry_after_s == retry_after_s


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        (leave, Reason.NO_BACKEND_SERVER),
        (lose_version, Reason.VERSION_GONE),
    ],
)
def test_request_without_any_engine_left_says_so(
    change: Callable[[Site], None], reason: Reason
) -> None:
    site = Site()
    change(site)
    refused = site.end()
    assert refused is not None
    assert refused.reason == reason


def test_callers_that_wait_for_room_return_spread() -> None:
    refused = Site().end()
    assert refused is not None
    assert refused.retry_after_s is not None
    assert ROOM_S <= refused.retry_after_s <= ROOM_S * (1 + RETRY_AFTER_JITTER)
