"""Tests of which servers may get a request, and which is chosen."""

import time

import pytest

from savorylift.exchange.server_pool import ServerPool
from savorylift.fleet.membership import Membership
from savorylift.placement.engines import MAX_MEMORY_SHARE, EngineOptions
from tests.exchange.factories import (
    ENGINE,
    make_admitted_request,
    make_peer_state,
    make_pool,
    make_store_view,
)

TOKENS = 6000  # of an engine's 10,000: two such runs don't fit
OPTIONS = EngineOptions(ENGINE, TOKENS)
ADMITTED = make_admitted_request(engine=ENGINE)


def make_choice_pool(
    loads: dict[str, int],
    peer_loads: int | None = None,
    limited: tuple[str, ...] = (),
) -> ServerPool:
    """Returns a pool with engines.

    Args:
        loads: Requests of this node at each engine.
        peer_loads: Requests of another node at engine `a`; None without one.
        limited: The engines that name a limit.
    """
    store_view = make_store_view(**dict.fromkeys(loads, 9))
    members = Membership("127.0.0.1", ())
    if peer_loads is not None:
        members.update_peer(make_peer_state(2, peer_loads), time.monotonic())
    pool = make_pool(store_view, members)
    pool.choice._limit_gate.is_limited = (  # type: ignore[method-assign]
        lambda entry: entry.server_id in limited
    )
    for server_id, requests in loads.items():
        for number in range(requests):
            pool.load_tracker.add_request(
                server_id, f"{server_id}-{number}", TOKENS, 100
            )
    return pool


def test_load_is_that_of_all_nodes_together() -> None:
    choice = make_choice_pool({"a": 2, "b": 1}, peer_loads=3).choice
    loads = choice.loads()
    assert {name: load.requests for name, load in loads.items()} == {
        "a": 5,
        "b": 1,
    }


def test_prefill_is_that_of_the_server() -> None:
    pool = make_choice_pool({"a": 2, "b": 0})
    pending = {
        server.entry.server_id: pool.choice.pending_prefill_tokens(server)
        for server in pool.servers_in_service("s")
    }
    assert pending == {"a": 200, "b": 0}


@pytest.mark.parametrize(
    ("loads", "tried", "engine", "least_loaded"),
    [
        ({"a": 0, "b": 1}, (), "a", "a"),
        ({"a": 1, "b": 0}, (), "b", "b"),
        ({"a": 1, "b": 0}, ("b",), None, "a"),
        ({"a": 2, "b": 1}, (), None, "b"),
        ({"a": 0}, ("a",), None, None),
    ],
)
def test_only_an_engine_with_room_is_found(
    loads: dict[str, int],
    tried: tuple[str, ...],
    engine: str | None,
    least_loaded: str | None,
) -> None:
    choice = make_choice_pool(loads).choice
    found = choice.find_engine(ADMITTED, OPTIONS, tried)
    assert (found and found.entry.server_id) == engine
    found = choice.find_least_loaded_engine(ADMITTED, OPTIONS, tried)
    assert (found and found.entry.server_id) == least_loaded


@pytest.mark.parametrize(
    ("loads", "tried", "limited", "has_engine", "has_untried", "has_server"),
    [
        ({"a": 0}, (), (), True, True, True),
        ({"a": 0}, ("a",), (), False, False, False),
        ({"a": 0}, (), ("a",), False, False, True),
        ({"a": 0, "b": 0}, ("b",), ("a",), False, False, True),
        ({"a": 0, "b": 1}, (), ("a",), False, True, True),
    ],
)
def test_alternative_is_an_untried_server_without_a_limit(
    loads: dict[str, int],
    tried: tuple[str, ...],
    limited: tuple[str, ...],
    *,
    has_engine: bool,
    has_untried: bool,
    has_server: bool,
) -> None:
    choice = make_choice_pool(loads, limited=limited).choice
    assert choice.limited_ids() == set(limited)
    found = choice.has_engine_with_room(ADMITTED, OPTIONS, tried)
    assert found is has_engine
    assert choice.has_untried_server(ADMITTED, tried) is has_untried
    assert choice.has_server(ADMITTED, tried) is has_server


def test_free_memory_is_that_of_the_engines_in_service() -> None:
    pool = make_choice_pool({"a": 1, "b": 0})
    memory = int(ENGINE.memory_tokens * MAX_MEMORY_SHARE)
    free = 2 * memory - TOKENS
    assert pool.choice.count_free_tokens("s", ENGINE) == free
    entry = pool.find_entry("b")
    assert entry is not None
    pool._registry.mark_leaving("b", entry.started_ms)
    free = memory - TOKENS
    assert pool.choice.count_free_tokens("s", ENGINE) == free
    assert pool.choice.count_free_tokens("other", ENGINE) == 0


@pytest.mark.parametrize(
    ("loads", "tried", "expected"),
    [
        ({"a": 0, "b": 4}, (), "a"),
        ({"a": 4, "b": 0}, (), "b"),
        ({"a": 4, "b": 0}, ("b",), "a"),
        ({"a": 0}, ("a",), None),
    ],
)
def test_plain_call_gets_the_least_loaded_server(
    loads: dict[str, int], tried: tuple[str, ...], expected: str | None
) -> None:
    choice = make_choice_pool(loads).choice
    found = choice.find_plain_server(make_admitted_request(), tried)
    assert (found and found.entry.server_id) == expected
