"""Tests of what nodes tell each other of servers."""

import random

from savorylift.backends.registry import Registry
from savorylift.backends.server import ServerEntry
from savorylift.exchange.notice_recorder import NoticeRecorder
from savorylift.exchange.server_holds import ServerHolds
from savorylift.exchange.server_reach import ServerReach
from savorylift.exchange.stream_origins import StreamOrigins
from savorylift.fleet.home_ring import Home
from savorylift.fleet.membership import Membership
from savorylift.fleet.state import LeavingServer, NodeState
from savorylift.fleet.version_history import VersionHistory
from savorylift.front.server_news import MAX_LEAVING_TOLD, ServerNews
from savorylift.processes.process_witness import ProcessWitness
from tests.exchange.factories import (
    make_peer_state,
    make_pool,
    make_server_entry,
    make_store_view,
)

IP = "127.0.0.1"
SERVERS = 3 * MAX_LEAVING_TOLD - 1


def make_news(entries: list[ServerEntry]) -> tuple[ServerNews, Registry]:
    """Returns the news of a node that knows these servers."""
    rng = random.Random(1)
    store_view = make_store_view()
    for entry in entries:
        store_view.registry.put(entry, 0.0)

    async def probe(_: object) -> bool:
        return True

    news = ServerNews(
        Home(IP, "z1"),
        Membership(IP, ()),
        store_view.registry,
        NoticeRecorder(store_view.registry, ServerHolds(rng), lambda: None),
        make_pool(store_view),
        ServerReach(
            lambda _: [], probe, lambda: None, lambda _a, _b: None, rng
        ),
        StreamOrigins(IP, lambda _a, _b: None, rng),
        VersionHistory(),
        ProcessWitness(
            store_view.registry.find_entry,
            lambda: None,
            lambda _: False,
            lambda: None,
        ),
    )
    return news, store_view.registry


def leaving_state(*leaving: LeavingServer) -> NodeState:
    return make_peer_state(2, 0)._replace(leaving_servers=leaving)


def test_server_that_left_counts_as_such_when_another_node_says_so() -> None:
    news, registry = make_news([make_server_entry()])
    news.merge(leaving_state(LeavingServer("i-1", 0)))
    assert not registry.servers["i-1"].entry.is_leaving
    assert registry.said_leaving == {}
    news.merge(leaving_state(LeavingServer("i-1", 1)))
    assert registry.servers["i-1"].entry.is_leaving


def test_process_is_marked_whose_entry_only_another_node_has_read() -> None:
    news, registry = make_news([make_server_entry()])
    news.merge(leaving_state(LeavingServer("i-1", 7)))
    assert registry.servers["i-1"].entry.is_leaving
    registry.put(make_server_entry()._replace(started_ms=7), 1.0)
    assert registry.servers["i-1"].entry.is_leaving
    assert registry.ids_in_doubt() == []


def test_other_nodes_close_no_static_server_that_this_one_asks_itself() -> None:
    news, registry = make_news([])
    registry.set_static_entries([make_server_entry()._replace(started_ms=0)])
    news.merge(leaving_state(LeavingServer("i-1", 0)))
    assert not registry.servers["i-1"].entry.is_leaving


def test_all_servers_that_leave_at_once_are_told_by_and_by() -> None:
    entries = [make_server_entry(f"i-{n}") for n in range(SERVERS)]
    news, registry = make_news(entries)
    for entry in entries:
        registry.mark_leaving(entry.server_id, entry.started_ms)
    told: set[str] = set()
    for _ in range(3):
        state = news.add_to(make_peer_state(1, 0))
        assert len(state.leaving_servers) == MAX_LEAVING_TOLD
        told.update(server.server_id for server in state.leaving_servers)
    assert len(told) == SERVERS
