"""The slice as a whole, over real links."""

import random
import time
from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.pipeline import is_successful

from savorylift.identity import NodeRef
from savorylift.log_service.vms import VmEntry
from savorylift.peers.board import PeersBoard
from savorylift.peers.hearing import (
    AGE_STEP_S,
    NOT_HEARD,
    pack_ages,
    unpack_times,
)
from savorylift.peers.neighbours import Neighbours
from savorylift.peers.view import RosterSource
from tests.peers.cluster import LoopNode, cluster
from tests.peers.linkkit import Proxy
from tests.peers.world import World


def wait_for(is_done: Callable[[], bool], timeout_s: float = 10.0) -> None:
    deadline_s = time.monotonic() + timeout_s
    while not is_done():
        assert time.monotonic() < deadline_s, "condition not met in time"
        time.sleep(0.01)


def may_dispatch(node: LoopNode) -> bool:
    return is_successful(node.peers.guard.may_dispatch())


def test_nodes_share_proofs_offsets_and_marks() -> None:
    with cluster(5) as nodes:
        wait_for(lambda: all(map(may_dispatch, nodes)))
        nodes[0].offset = 7
        nodes[0].peers.on_tail_proof(time.monotonic(), 8)
        wait_for(lambda: all(node.offset == 7 for node in nodes))
        views = [node.peers.view for node in nodes]
        wait_for(lambda: all(view().confirmed(7)[1] == [] for view in views))
        wait_for(lambda: all(n.peers.status().proof_age_s for n in nodes))
        nodes[3].listing.entries = (VmEntry("runner-1", "3", leaving=True),)
        wait_for(lambda: all(v().marks.is_leaving("runner-1") for v in views))
        nodes[4].peers.mark_leaving("runner-2", "9")
        wait_for(lambda: nodes[0].peers.view().marks.is_leaving("runner-2"))
        nodes[0].peers.mark_leaving("runner-2", "10")
        wait_for(lambda: "10" in views[4]().marks.leaving["runner-2"])
        wait_for(lambda: nodes[0].peers.status().may_dispatch)
        status = nodes[0].peers.status()
        assert status.leaving_vms == ("runner-1", "runner-2")
        assert [node.rules_offset for node in status.nodes] == [7] * 5
        assert all(node.heard_age_s is not None for node in status.nodes)


def test_silent_links_are_replaced_and_a_lost_majority_refuses() -> None:
    proxies: list[Proxy] = []

    def route(address: str) -> str:
        proxies.append(Proxy(address))
        return proxies[-1].address

    with cluster(3, route) as nodes:
        wait_for(lambda: all(map(may_dispatch, nodes)))
        for proxy in proxies:
            proxy.is_cut = True
            proxy.silence()
        wait_for(lambda: not any(map(may_dispatch, nodes)))
        for proxy in proxies:
            proxy.is_cut = False
        wait_for(lambda: all(map(may_dispatch, nodes)))
        lost = "savorylift_peer_connections_lost_total"
        refusals = "savorylift_guard_refusals_total"
        assert all(node.total(refusals) > 0 for node in nodes)
        assert all(node.total(lost) >= 1 for node in nodes)
    for proxy in proxies:
        proxy.stop()


@given(st.lists(st.floats(0, 5) | st.just(float("inf")), max_size=9))
def test_packed_ages_are_never_younger(ages_s: list[float]) -> None:
    times_s = unpack_times(pack_ages(ages_s), 0.0)[: len(ages_s)]
    for age_s, time_s in zip(ages_s, times_s, strict=True):
        bound_s = -time_s
        if bound_s == float("inf"):
            assert age_s > (NOT_HEARD - 1) * AGE_STEP_S
        else:
            assert age_s <= bound_s + 1e-9
            assert bound_s < age_s + AGE_STEP_S + 1e-9


@pytest.mark.parametrize("count", [3, 9, 81, 350])
def test_everybody_is_reached_by_a_few_hops(count: int) -> None:
    """Also nodes that nobody chose, since askers are asked back."""
    world = World(lambda _: None, count)
    roster = world.roster.current()
    links: dict[str, set[str]] = {vm: set() for vm in roster.members}
    for vm in roster.members:
        neighbours = Neighbours(NodeRef(vm, "1"))
        neighbours.use_roster(roster)
        for ref in neighbours.current(lambda _: time.monotonic()):
            links[vm].add(ref.vm)
            links[ref.vm].add(vm)
    reached, hops = {"n0"}, 0
    while len(reached) < count:
        reached |= {other for vm in reached for other in links[vm]}
        hops += 1
        assert hops <= 7
    assert max(map(len, links.values())) <= 20


def test_a_silent_choice_gets_a_stand_in() -> None:
    world = World(lambda _: None, 20)
    neighbours = Neighbours(NodeRef("n0", "1"))
    neighbours.use_roster(world.roster.current())
    chosen = neighbours.current(lambda _: time.monotonic())
    silent = random.Random(1).choice(chosen)
    now = neighbours.current(
        lambda ref: 0.0 if ref == silent else time.monotonic()
    )
    assert set(chosen) < set(now)
    assert len(now) == len(chosen) + 1
    assert PeersBoard(NodeRef("n0", "1")).current().heard(1.0) == frozenset()
    assert RosterSource().current().members == {}
