"""Tests of how one node keeps to the limits that servers name."""

import asyncio
import random
import time

import pytest

from savorylift.backends.named_limits import NamedLimit
from savorylift.exchange.request import AnswerHead
from savorylift.fleet.membership import Membership
from savorylift.fleet.state import (
    LimitMessage,
    LimitNews,
    LimitReport,
    PermitReply,
    PermitRequest,
)
from savorylift.limits.limit_gate import LimitGate
from savorylift.limits.permit_issuer import START_HOLD_S, PermitIssuer
from savorylift.limits.return_times import MAX_RETURN_S
from savorylift.rendezvous import rank
from tests.exchange.factories import make_process_lookup, make_server
from tests.fleet.test_membership import state
from tests.harness.virtual_time import run_in_virtual_time

OWN_IP = "10.0.0.1"
SERVER = make_server()
SERVER_ID = SERVER.entry.server_id
# An address that is the issuer of the server beside this node.
ISSUER_IP = next(
    ip
    for ip in (f"10.0.0.{number}" for number in range(2, 50))
    if rank(SERVER_ID, [OWN_IP, ip])[0] == ip
)


def make_head(
    limit: float | None = None,
    status: int = 200,
    *,
    is_not_run: bool = False,
    matches_request: bool = True,
) -> AnswerHead:
    named = None if limit is None else NamedLimit(limit)
    return AnswerHead(
        status,
        (),
        matches_request=matches_request,
        is_not_run=is_not_run,
        is_signed=True,
        named_limit=named,
    )


class Node:
    """The gate of a node, which may hear another one that is the issuer.

    Attributes:
        sent: Messages that the gate sent, with their destination.
    """

    def __init__(self, *, hears_issuer: bool = False, nodes: int = 1) -> None:
        members = Membership(OWN_IP, ())
        if hears_issuer:
            number = int(ISSUER_IP.rpartition(".")[2])
            message = state(number)._replace(interval_s=1000.0)
            members.update_peer(message, time.monotonic())
        rng = random.Random(1)
        issuer = PermitIssuer(OWN_IP, members, lambda: False, rng)
        self.sent: list[tuple[LimitMessage, str | None]] = []
        self.gate = LimitGate(
            issuer,
            self._send,
            lambda: nodes,
            lambda: 0.2,
            lambda _: True,
            make_process_lookup(issuer),
            rng,
        )

    def name_limit(self, per_s: float | None) -> None:
        self.gate.record_head(SERVER, "r1", make_head(per_s))

    def _send(self, message: LimitMessage, ip: str | None) -> None:
        self.sent.append((message, ip))


@pytest.mark.parametrize(
    "head",
    [
        make_head(1.8),
        make_head(1.8, 503, is_not_run=True),
        make_head(1.8, 500),
        make_head(1.8, matches_request=False),
    ],
)
def test_any_response_begins_a_limit(head: AnswerHead) -> None:
    node = Node()
    node.gate.record_head(SERVER, "r1", head)
    assert node.gate.is_limited(SERVER.entry)
    ((news, ip),) = node.sent
    assert isinstance(news, LimitNews)
    assert ip is None


@pytest.mark.parametrize(
    ("head", "is_limited"),
    [
        (make_head(), False),
        (make_head(status=500), False),
        (make_head(status=503, is_not_run=True), True),
        (make_head(matches_request=False), True),
        # Another server answers at the address.
        (make_head(status=421, is_not_run=True), True),
    ],
)
def test_only_a_response_to_the_request_ends_a_limit(
    head: AnswerHead, *, is_limited: bool
) -> None:
    node = Node()
    node.name_limit(1.8)
    node.gate.record_head(SERVER, "r2", head)
    assert node.gate.is_limited(SERVER.entry) is is_limited


def test_another_server_at_the_address_names_no_limit() -> None:
    node = Node()
    node.gate.record_head(SERVER, "r1", make_head(1.8, 421, is_not_run=True))
    assert not node.gate.is_limited(SERVER.entry)


def test_server_without_limit_needs_no_permit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        node = Node(hears_issuer=True)
        permit = await node.gate.acquire(SERVER, "r1", 0.0)
        assert permit is not None
        assert node.gate.may_send(SERVER, permit)
        node.name_limit(1.8)
        assert not node.gate.may_send(SERVER, permit)

    run_in_virtual_time(monkeypatch, scenario)


def test_permit_expires_while_the_node_is_paused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        node = Node()
        node.name_limit(10.0)
        await node.gate.acquire(SERVER, "r1", 0.0)
        await asyncio.sleep(START_HOLD_S + 0.2)
        permit = await node.gate.acquire(SERVER, "r2", 0.0)
        assert permit is not None
        assert permit.expires_s is not None
        assert node.gate.may_send(SERVER, permit)
        paused_until_s = permit.expires_s + 0.01
        monkeypatch.setattr("time.clock_gettime", lambda _: paused_until_s)
        assert not node.gate.may_send(SERVER, permit)

    run_in_virtual_time(monkeypatch, scenario)


async def reply_to_first(node: Node, *, is_granted: bool) -> None:
    while not any(isinstance(m, PermitRequest) for m, _ in node.sent):
        await asyncio.sleep(0.001)
    request = next(m for m, _ in node.sent if isinstance(m, PermitRequest))
    other = PermitReply(request.number + 1, not is_granted, 0.0)
    node.gate.receive(other, ISSUER_IP)
    reply = PermitReply(request.number, is_granted, 0.3)
    node.gate.receive(reply, ISSUER_IP)
    node.gate.receive(reply, ISSUER_IP)


@pytest.mark.parametrize("is_granted", [True, False])
def test_issuer_is_asked(
    monkeypatch: pytest.MonkeyPatch, *, is_granted: bool
) -> None:
    async def scenario() -> None:
        node = Node(hears_issuer=True)
        node.name_limit(1.8)
        permit, _ = await asyncio.gather(
            node.gate.acquire(SERVER, "r1", 0.5),
            reply_to_first(node, is_granted=is_granted),
        )
        assert (permit is not None) is is_granted
        assert node.gate.is_open(SERVER.entry) is is_granted
        await asyncio.sleep(0.31)
        assert node.gate.is_open(SERVER.entry)

    run_in_virtual_time(monkeypatch, scenario)


def test_lost_permit_request_is_sent_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        node = Node(hears_issuer=True)
        node.name_limit(1.8)
        task = asyncio.ensure_future(node.gate.acquire(SERVER, "r1", 0.0))
        await asyncio.sleep(0.1)
        first, second = (
            m for m, _ in node.sent if isinstance(m, PermitRequest)
        )
        assert first == second
        node.gate.receive(PermitReply(second.number, True, 0.0), ISSUER_IP)
        assert await task is not None

    run_in_virtual_time(monkeypatch, scenario)


def test_request_is_not_sent_without_a_reply(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        node = Node(hears_issuer=True, nodes=81)
        node.name_limit(1.8)
        assert await node.gate.acquire(SERVER, "r1", 0.0) is None
        late, _ = next(
            (m, ip) for m, ip in node.sent if isinstance(m, PermitRequest)
        )
        node.gate.receive(PermitReply(late.number, True, 0.0), ISSUER_IP)
        assert not node.gate.is_open(SERVER.entry)

    run_in_virtual_time(monkeypatch, scenario)


@pytest.mark.parametrize("is_probe", [True, False])
def test_node_keeps_to_its_share_while_the_issuer_does_not_reply(
    monkeypatch: pytest.MonkeyPatch, *, is_probe: bool
) -> None:
    async def scenario() -> None:
        node = Node(hears_issuer=True, nodes=9)
        node.name_limit(1.8)
        until_s = time.monotonic() + 100.0
        permits = 0
        while time.monotonic() < until_s:
            permit = await node.gate.acquire(
                SERVER, "r1", 0.0, is_probe=is_probe
            )
            permits += permit is not None
            await asyncio.sleep(0.1)
        share = 1.8 / 9 * 100.0
        assert permits <= share
        assert permits >= (0 if is_probe else 0.9 * share)

    run_in_virtual_time(monkeypatch, scenario)


def test_issuer_learns_the_limit_from_the_node_that_asks() -> None:
    node = Node()
    report = LimitReport(SERVER_ID, 1, 1.8, 0.1)
    node.gate.receive(PermitRequest(7, report, 0.0, False), ISSUER_IP)
    assert node.gate.is_limited(SERVER.entry)
    ((reply, ip),) = node.sent
    assert isinstance(reply, PermitReply)
    assert (reply.number, reply.is_granted, ip) == (7, False, ISSUER_IP)
    assert reply.wait_s >= START_HOLD_S - 0.1


def test_issuer_tells_a_node_that_missed_the_end_of_a_limit() -> None:
    node = Node()
    node.name_limit(1.8)
    node.name_limit(None)
    node.sent.clear()
    report = LimitReport(SERVER_ID, 1, 1.8, 3.0)
    node.gate.receive(PermitRequest(7, report, 0.0, False), ISSUER_IP)
    news = [m for m, _ in node.sent if isinstance(m, LimitNews)]
    assert [r.requests_per_s for r in news[0].reports] == [None]


def test_changed_values_are_told_to_the_issuer_only() -> None:
    node = Node(hears_issuer=True)
    for per_s in (1.8, 1.9, 2.0):
        node.name_limit(per_s)
    assert [ip for _, ip in node.sent] == [None, ISSUER_IP, ISSUER_IP]


def test_new_node_is_told_the_limits() -> None:
    node = Node()
    node.gate.greet("10.0.0.7")
    assert not node.sent
    node.name_limit(1.8)
    node.gate.greet("10.0.0.7")
    assert node.sent[-1][1] == "10.0.0.7"


def test_refused_callers_return_one_after_another(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        node = Node()
        assert node.gate.assign_return_s([SERVER.entry]) is None
        node.name_limit(2.0)
        waits_s = [node.gate.assign_return_s([SERVER.entry]) for _ in range(40)]
        assert waits_s[:3] == pytest.approx([0.5, 1.0, 1.5])
        assert waits_s[-1] == MAX_RETURN_S

    run_in_virtual_time(monkeypatch, scenario)


@pytest.mark.parametrize(
    "message",
    [
        LimitNews((LimitReport(SERVER_ID, 1, float("nan"), 0.0),)),
        LimitNews((LimitReport(SERVER_ID, 1, -1.0, 0.0),)),
        LimitNews((LimitReport(SERVER_ID, 1, 1.8, float("nan")),)),
        PermitRequest(
            7, LimitReport(SERVER_ID, 1, float("inf"), 0.0), 0.0, False
        ),
        PermitRequest(
            7, LimitReport(SERVER_ID, 1, 1.8, 0.0), float("nan"), False
        ),
        PermitReply(7, True, float("nan")),
    ],
)
def test_message_with_an_unsound_number_changes_nothing(
    message: LimitMessage,
) -> None:
    node = Node()
    node.gate.receive(message, ISSUER_IP)
    assert not node.gate.is_limited(SERVER.entry)
    assert not node.sent


def test_permit_for_later_than_asked_is_not_used(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        node = Node(hears_issuer=True)
        node.name_limit(1.8)
        permit, _ = await asyncio.gather(
            node.gate.acquire(SERVER, "r1", 0.1),
            reply_to_first(node, is_granted=True),
        )
        assert permit is None

    run_in_virtual_time(monkeypatch, scenario)
