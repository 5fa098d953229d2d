"""Tests of the servers that requests go to while a service is rolled out."""

import time

import pytest

from savorylift.exchange.admission import AdmittedRequest
from savorylift.exchange.kept_engines import Barred
from savorylift.exchange.server_pool import ServerPool
from savorylift.fleet.rollout_messages import RolloutPhase, Stage
from savorylift.placement.engines import EngineOptions
from savorylift.rollouts.board import RolloutBoard
from savorylift.rollouts.order import RolloutLimits, RolloutOrder
from savorylift.rollouts.version_rules import position
from tests.exchange.factories import (
    ENGINE,
    make_admitted_request,
    make_generation_request,
    make_pool,
    make_server_entry,
    make_store_view,
)
from tests.rollouts.test_version_rules import STAGE

LIMITS = RolloutLimits(0.1, 50.0, 5.0)
ORDER = RolloutOrder("o1", "s", "v2", 12.0)
OPTIONS = EngineOptions(ENGINE, 100)
OLD, NEW = {"old-1", "old-2"}, {"new-1", "new-2"}
HELD = STAGE._replace(share=0.5)
SHIFT = STAGE._replace(phase=RolloutPhase.SHIFT, share=1.0)
BACK = STAGE._replace(phase=RolloutPhase.ROLLED_BACK)


def make_rolled_out_pool(stage: Stage | None) -> ServerPool:
    store_view = make_store_view()
    for server_id in sorted(OLD | NEW):
        entry = make_server_entry(server_id)._replace(
            software_version="v2" if server_id in NEW else "v1"
        )
        store_view.registry.put(entry, time.monotonic())
    board = RolloutBoard(LIMITS)
    board.set_orders([ORDER])
    if stage is not None:
        board.accept(stage)
    entries = [s.entry for s in store_view.registry.servers.values()]
    board.note_servers("s", entries)
    return make_pool(store_view, rollouts=board)


def make_request(*, is_in_share: bool) -> AdmittedRequest:
    """Returns a request that lies in the lower half of all, or not."""
    req = make_generation_request()
    attempt = next(
        name
        for name in map(str, range(100))
        if (position(name) < 0.5) is is_in_share
    )
    return make_admitted_request(
        req._replace(attempt_id=attempt), engine=ENGINE
    )


@pytest.mark.parametrize(
    ("stage", "is_in_share", "expected"),
    [
        (None, True, OLD),
        (HELD, True, NEW),
        (HELD, False, OLD),
        (SHIFT, False, NEW),
        (BACK, True, OLD),
    ],
)
def test_requests_go_to_the_version_that_is_theirs(
    stage: Stage | None, expected: set[str], *, is_in_share: bool
) -> None:
    server_pool = make_rolled_out_pool(stage)
    admitted = make_request(is_in_share=is_in_share)
    engine = server_pool.choice.find_engine(admitted, OPTIONS, ())
    assert engine is not None
    assert engine.entry.server_id in expected
    plain = server_pool.reserve_plain_server(admitted, ())
    assert plain is not None
    assert plain.entry.server_id in expected
    # The keeper of the engines' room is told the same.
    barred = server_pool.kept.find_barred(admitted, ())
    assert barred is not None
    others = (OLD | NEW) - expected
    # Those of the share may go to the old version if the new has no room.
    spare = others if is_in_share and stage is HELD else set()
    assert barred == Barred(frozenset(others - spare), frozenset(spare))


def test_requests_of_the_share_go_to_the_old_version_if_the_new_is_gone() -> (
    None
):
    server_pool = make_rolled_out_pool(HELD)
    admitted = make_request(is_in_share=True)
    engine = server_pool.choice.find_engine(admitted, OPTIONS, tuple(NEW))
    assert engine is not None
    assert engine.entry.server_id in OLD


def test_what_was_chosen_before_a_roll_back_is_not_sent() -> None:
    server_pool = make_rolled_out_pool(BACK)
    server = server_pool.find_server("new-1")
    assert server is not None
    assert not server_pool.may_send(server, make_generation_request())


def test_a_stream_that_began_at_a_banned_version_has_no_server() -> None:
    admitted = make_request(is_in_share=True)._replace(software_version="v2")
    assert make_rolled_out_pool(HELD).choice.has_server(admitted, ())
    assert not make_rolled_out_pool(BACK).choice.has_server(admitted, ())
