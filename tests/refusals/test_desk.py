"""The refusal book through real actors and threads."""

import threading
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from typing import NamedTuple

import pytest

from savorylift.identity import NodeRef
from savorylift.log_service.log import REFUSALS_STREAM
from savorylift.outcomes import Ending, Reason, Refusal
from savorylift.peers.view import RosterSource
from savorylift.refusals.book import RefusedRequest
from savorylift.refusals.desk import RefusalDesk
from savorylift.refusals.inbox import Write
from savorylift.refusals.query import Period, report
from tests.calls.desks import FakeNet, roster_of, wait_until
from tests.log_service.fakes import AppendFault, FakeLog

FULL = Refusal(Ending.NOT_RUN, Reason.QUEUE_FULL, "full", 1.0)


class Cluster(NamedTuple):
    """Desks of several nodes."""

    log: FakeLog
    net: FakeNet
    roster: RosterSource
    refs: tuple[NodeRef, ...]
    desks: tuple[RefusalDesk, ...]


@contextmanager
def running(nodes: int) -> Iterator[Cluster]:
    log, net = FakeLog(), FakeNet()
    refs = tuple(NodeRef(f"n{number}", "i0") for number in range(nodes))
    roster = RosterSource(roster_of(refs))
    desks = tuple(RefusalDesk(ref, log, net.link(ref), roster) for ref in refs)
    try:
        for desk in desks:
            desk.start()
        yield Cluster(log, net, roster, refs, desks)
    finally:
        for desk in desks:
            desk.stop()


def refused(number: int) -> RefusedRequest:
    now_ms = int(time.time() * 1000)
    return RefusedRequest(f"r{number}", f"t{number}", now_ms, FULL, 1, "")


def counted(log: FakeLog) -> dict[str, int]:
    found = report(log, Period(0, 1 << 50)).unwrap()
    return {line.team: line.refusals for line in found.lines}


@pytest.mark.parametrize("nodes", [1, 2, 4])
def test_written_refusals_reach_the_log_once(nodes: int) -> None:
    with running(nodes) as cluster:
        cluster.log.append_faults.extend(
            (AppendFault.LOST_ANSWER, AppendFault.REFUSED, AppendFault.LATE)
        )
        with ThreadPoolExecutor(8) as pool:
            list(pool.map(cluster.desks[0].write, map(refused, range(200))))
        assert cluster.desks[0].flush(10)
        cluster.log.deliver_late()
        assert counted(cluster.log) == {f"t{n}": 1 for n in range(200)}


def test_two_peers_hold_a_refusal_before_write_returns() -> None:
    with running(4) as cluster:
        cluster.log.set_down(is_down=True)
        cluster.desks[0].write(refused(0))
        done = threading.Event()
        cluster.desks[0]._actor.tell(Write(refused(1), done))
        assert done.wait(5)
        held = [desk.held_for_peers() for desk in cluster.desks]
        assert sorted(held) == [0, 0, 2, 2]


def test_peers_publish_for_a_node_that_ended() -> None:
    with running(4) as cluster:
        cluster.log.set_down(is_down=True)
        for number in range(20):
            cluster.desks[0].write(refused(number))
        cluster.desks[0].stop()
        view = cluster.roster.current()
        cluster.roster.replace(
            roster_of(cluster.refs[1:])._replace(
                offset=view.offset + 1, ended=frozenset({cluster.refs[0]})
            )
        )
        cluster.log.set_down(is_down=False)
        wanted = {f"t{number}": 1 for number in range(20)}
        wait_until(lambda: counted(cluster.log) == wanted)


def test_silent_peer_is_replaced() -> None:
    with running(4) as cluster:
        cluster.log.set_down(is_down=True)
        cluster.net.silent.update(cluster.refs[1:3])
        for number in range(3):
            cluster.desks[0].write(refused(number))
        wait_until(lambda: cluster.desks[3].held_for_peers() == 3)


def test_appended_refusals_are_dropped_by_peers() -> None:
    with running(3) as cluster:
        cluster.desks[0].write(refused(0))
        assert cluster.desks[0].flush(5)
        wait_until(lambda: sum(d.held_for_peers() for d in cluster.desks) == 0)
        assert cluster.log.tail(REFUSALS_STREAM) >= 1
