"""Claim desks of several nodes in one process, over one log."""

import time
from collections.abc import Callable, Iterator
from concurrent.futures import Future
from contextlib import contextmanager
from typing import Any

from returns.result import Failure, Result, Success

from savorylift.calls.claim_desk import ClaimDesk, DeskParts
from savorylift.calls.claims import ClaimRequest
from savorylift.calls.key import parse_key
from savorylift.identity import NodeInfo, NodeRef
from savorylift.log_service.log import Log
from savorylift.peers.link import Message, PeerFault
from savorylift.peers.view import Member, RosterSource, RosterView
from tests.calls.fakes import make_key

WAIT_S = 5.0
START_MS = int(time.time() * 1000)


class FakeNet:
    """Hands messages between nodes of this process at once."""

    def __init__(self) -> None:
        self.handlers: dict[NodeRef, dict[type, Callable[..., None]]] = {}
        self.silent: set[NodeRef] = set()  # connections to them fail
        self.frozen: set[NodeRef] = set()  # they take messages unanswered

    def link(self, me: NodeRef) -> "FakeLink":
        self.handlers[me] = {}
        return FakeLink(self, me)


class FakeLink:
    """Implements `PeerLink` for one node of a `FakeNet`."""

    def __init__(self, net: FakeNet, me: NodeRef) -> None:
        self._net = net
        self._me = me

    def tell(self, node: NodeRef, msg: Message) -> bool:
        handler = self._net.handlers.get(node, {}).get(type(msg))
        if handler is None or node in self._net.silent:
            return False
        handler(self._me, msg)
        return True

    def ask(
        self,
        node: NodeRef,
        msg: Message,
        answer_type: type[Any],
        timeout_s: float,
    ) -> "Future[Result[Any, PeerFault]]":
        answer: Future[Result[Any, PeerFault]] = Future()
        handler = self._net.handlers.get(node, {}).get(type(msg))
        if handler is None or node in self._net.silent:
            answer.set_result(Failure(PeerFault(False, "unreachable")))
            return answer
        if node in self._net.frozen:
            return answer
        asked: Future[Any] = Future()
        asked.add_done_callback(
            lambda fut: answer.set_result(Success(fut.result()))
        )
        handler(self._me, msg, asked)
        return answer

    def on_tell(
        self, msg_type: type[Any], handler: Callable[..., None]
    ) -> None:
        self._net.handlers[self._me][msg_type] = handler

    def on_ask(self, msg_type: type[Any], handler: Callable[..., None]) -> None:
        self._net.handlers[self._me][msg_type] = handler


def roster_of(refs: tuple[NodeRef, ...]) -> RosterView:
    members = {
        ref.vm: Member(NodeInfo(ref, "anjara", "", "", ""), 0, False)
        for ref in refs
    }
    return RosterView(0, members)


@contextmanager
def running_desks(log: Log, nodes: int) -> Iterator[list[ClaimDesk]]:
    """Runs a desk on each of `nodes` nodes."""
    refs = tuple(NodeRef(f"entry-{n}", "i1") for n in range(nodes))
    roster = RosterSource(roster_of(refs))
    net = FakeNet()
    desks = [
        ClaimDesk(DeskParts(ref, log, net.link(ref), roster)) for ref in refs
    ]
    try:
        for desk in desks:
            desk.start()
        yield desks
    finally:
        for desk in desks:
            desk.stop()


def request(tail: int, body: str = "f", wait_s: float = WAIT_S) -> ClaimRequest:
    """Returns a claim on the key with this tail."""
    key = parse_key(make_key(START_MS, tail))
    assert key is not None
    return ClaimRequest(key, body, "r1", time.monotonic() + wait_s)


def wait_until(is_done: Callable[[], bool]) -> None:
    """Polls until `is_done`; fails after `WAIT_S`."""
    until_s = time.monotonic() + WAIT_S
    while not is_done():
        assert time.monotonic() < until_s, "timed out"
        time.sleep(0.005)
