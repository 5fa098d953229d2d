"""The actor and its threads in real time, against the in-memory log."""

import threading
import time
from collections.abc import Callable, Iterator
from concurrent.futures import Future
from typing import Any

import prometheus_client
import pytest
from returns.result import Failure, Result, Success

from savorylift.identity import NodeRef
from savorylift.peers.link import Message, PeerFault
from savorylift.peers.view import RosterSource
from savorylift.rules.inbox import OrderAction, OrderState, SubmitOrder
from savorylift.rules.messages import OrderGossip, RecordsAsk
from savorylift.rules.node import NodeConfig
from savorylift.rules.operations import Published, PublishRequest, publish
from savorylift.rules.service import RulesOptions, RulesParts, RulesService
from savorylift.rules.view import RulesSource
from tests.log_service.fakes import FakeLog

TIMEOUT_S = 3.0  # the stated limit for a change to be in force


class FakeLink:
    """Implements `PeerLink` for one node that reaches `others`."""

    def __init__(self, own: NodeRef, others: "dict[NodeRef, FakeLink]") -> None:
        self._own = own
        self._others = others
        self.tells: dict[type, Callable[[NodeRef, Any], None]] = {}
        self.asks: dict[
            type, Callable[[NodeRef, Any, Future[Message]], None]
        ] = {}
        others[own] = self

    def tell(self, node: NodeRef, msg: Message) -> bool:
        self._others[node].tells[type(msg)](self._own, msg)
        return True

    def ask(
        self, node: NodeRef, msg: Message, answer_type: type, timeout_s: float
    ) -> "Future[Result[Any, PeerFault]]":
        raw: Future[Message] = Future()
        fut: Future[Result[Any, PeerFault]] = Future()
        raw.add_done_callback(lambda raw: fut.set_result(Success(raw.result())))
        if node in self._others:
            self._others[node].asks[type(msg)](self._own, msg, raw)
        else:
            fut.set_result(Failure(PeerFault(sent=False, message="unknown")))
        return fut

    def on_tell(self, msg_type: type, handler: Callable[..., None]) -> None:
        self.tells[msg_type] = handler

    def on_ask(self, msg_type: type, handler: Callable[..., None]) -> None:
        self.asks[msg_type] = handler


class Node:
    """A started service whose log can be cut off."""

    def __init__(
        self, vm: str, log: FakeLog, links: dict[NodeRef, FakeLink]
    ) -> None:
        ref = NodeRef(vm, "1")
        self.source = RulesSource()
        self.proofs: list[tuple[float, int]] = []
        self.proven = threading.Event()
        self.link = FakeLink(ref, links)
        self.service = RulesService(
            RulesOptions(NodeConfig(ref, peers_after_s=0.2), log_wait_s=0.1),
            RulesParts(
                log=log,
                link=self.link,
                source=self.source,
                roster=RosterSource(),
                folds={},
                live_peers=lambda: [other for other in links if other != ref],
                on_tail_proof=self._take_proof,
                on_folded=lambda: None,
                registry=prometheus_client.CollectorRegistry(),
            ),
        )

    def wait(self, is_so: "Callable[[Node], bool]") -> bool:
        """Waits for a state, looking again after each proof."""
        deadline_s = time.monotonic() + TIMEOUT_S
        while not is_so(self) and time.monotonic() < deadline_s:
            self.proven.wait(0.02)
            self.proven.clear()
        return is_so(self)

    def _take_proof(self, sent_s: float, next_offset: int) -> None:
        self.proofs.append((sent_s, next_offset))
        self.proven.set()


@pytest.fixture
def log() -> FakeLog:
    return FakeLog()


@pytest.fixture
def nodes(log: FakeLog) -> Iterator[list[Node]]:
    links: dict[NodeRef, FakeLink] = {}
    # The third node has a log of its own that is always down.
    cut_off = FakeLog()
    cut_off.set_down(is_down=True)
    nodes = [
        Node("e1", log, links),
        Node("e2", log, links),
        Node("e3", cut_off, links),
    ]
    for node in nodes:
        node.service.start()
    yield nodes
    for node in nodes:
        assert node.service.stop()


def _publish(log: FakeLog, text: str) -> int:
    req = PublishRequest(text, "r", "noor", time.monotonic() + TIMEOUT_S)
    outcome = publish(log, req)
    assert isinstance(outcome, Published)
    return outcome.version


def _has_version(version: int) -> Callable[[Node], bool]:
    return lambda node: node.source.current().version == version


def _is_out(node: Node) -> bool:
    return "anjara" in node.source.current().out_of_service


def _is_accepted(node: Node) -> bool:
    return node.source.current().out_of_service["anjara"].offset >= 0


def _has_proof(node: Node) -> bool:
    return bool(node.proofs)


def test_change_comes_into_force_everywhere(
    log: FakeLog, nodes: list[Node]
) -> None:
    for value in (1, 2):
        version = _publish(log, f"set a {value} # x")
        for node in nodes:
            assert node.wait(_has_version(version))
            assert node.source.current().settings["a"].value == value
            assert node.wait(_has_proof)


def test_order_through_an_outage(log: FakeLog, nodes: list[Node]) -> None:
    log.set_down(is_down=True)
    req = SubmitOrder(OrderAction.OUT, "anjara", True, "noor", "works")
    receipt = nodes[0].service.submit(req, TIMEOUT_S)
    assert receipt.state is OrderState.APPLIED
    assert all(node.wait(_is_out) for node in nodes)
    log.set_down(is_down=False)
    assert all(node.wait(_is_accepted) for node in nodes)
    answer = nodes[1].service.order_state(receipt.record_id, TIMEOUT_S)
    assert answer.state is OrderState.ACCEPTED


def test_node_without_log_and_peers_says_nothing(log: FakeLog) -> None:
    log.set_down(is_down=True)
    node = Node("e1", log, {})
    node.service.start()
    node.link.tells[OrderGossip](NodeRef("e2", "1"), OrderGossip(()))
    node.service.on_peer_offset(NodeRef("e2", "1"), 5)
    assert RecordsAsk in node.link.asks
    assert node.service.stop()
    assert node.proofs == []
