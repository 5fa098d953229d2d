"""The gate as request threads use it, with threads and no faults."""

import threading
import time
from collections.abc import Callable

from returns.result import Failure, Success

from savorylift.identity import NodeRef
from savorylift.outcomes import Reason
from savorylift.peers.view import RosterSource, RosterView
from savorylift.permits.evidence import LoadReport
from savorylift.permits.gate import PermitGate
from savorylift.permits.keeper_gate import KeeperGate
from savorylift.permits.options import PermitOptions
from savorylift.rules.view import RulesSource
from tests.permits.fakes import (
    UNUSED,
    DirectLink,
    FakeCanceller,
    member,
    request,
    rules_of,
    server,
)

CFG = PermitOptions(load_lag_s=0.0, tick_s=0.005, refresh_s=0.05)


def start_gates(count: int, cold: int = 3) -> list[KeeperGate]:
    refs = [NodeRef(f"vm-{n}", "1") for n in range(count)]
    members = {r.vm: member(r, 0, r.vm) for r in refs}
    roster = RosterSource(RosterView(0, members))
    rules = RulesSource(rules_of(server(cold=cold)))
    links: dict[NodeRef, DirectLink] = {}
    made = [DirectLink(ref, links) for ref in refs]
    gates = [
        KeeperGate(ref, rules, roster, link, FakeCanceller(), CFG)
        for ref, link in zip(refs, made, strict=True)
    ]
    wait_until(
        lambda: (
            sum(len(s.lots) for g in gates for s in g.status().servers)
            == min(3, cold)
        )
    )
    for gate in gates:
        gate.load("runner-1", LoadReport(time.monotonic(), "1", True, False, 0))
    return gates


def wait_until(is_done: Callable[[], bool]) -> None:
    until_s = time.monotonic() + 10
    while not is_done():
        assert time.monotonic() < until_s
        time.sleep(0.005)


def test_gates_share_the_cold_limit_and_wake_the_next() -> None:
    gates = start_gates(3)
    gate: PermitGate = gates[0]
    try:
        permits = [gate.acquire(request(n)).unwrap() for n in range(3)]
        late = gates[1].acquire(request(3, deadline_s=time.monotonic() + 0.2))
        assert isinstance(late, Failure)
        assert late.failure().reason is Reason.DEADLINE
        answers: list[object] = []
        waiting = threading.Thread(
            target=lambda: answers.append(gates[2].acquire(request(4)))
        )
        waiting.start()
        gate.release(permits[0], UNUSED)
        waiting.join(10)
        assert isinstance(answers[0], Success)
        assert gate.hints()["runner-1"].cold
    finally:
        for each in gates:
            each.stop()


def test_one_node_alone_keeps_everything() -> None:
    (gate,) = start_gates(1, cold=1)
    try:
        permit = gate.acquire(request(0)).unwrap()
        gate.started(permit, "1", 0.1, is_cold=True)
        gate.release(permit, UNUSED)
        assert isinstance(gate.acquire(request(1)), Success)
        empty = gate.acquire(request(2)._replace(candidates=()))
        assert empty.failure().reason is Reason.NO_BACKEND_SERVER
    finally:
        gate.stop()
