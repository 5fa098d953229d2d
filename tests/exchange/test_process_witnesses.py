"""Tests of asking other nodes whether the process of a server lives on."""

import asyncio
import random

import pytest

from savorylift.boot_clock import boot_time_s
from savorylift.exchange.known_processes import KnownProcesses
from savorylift.exchange.process_witnesses import (
    MAX_ASKED,
    WAIT_S,
    ProcessWitnesses,
)
from savorylift.fleet.limit_messages import LifeQuery, LifeReply, LimitMessage
from tests.harness.virtual_time import run_in_virtual_time

SERVER = "i-1@127.0.0.1:1"
IP = "127.0.0.2"
OPEN_S = 3.0


class Connection:
    """A connection that brings something every now and then, until a time."""

    def __init__(self, opened_s: float, interval_s: float) -> None:
        self.opened_s: float | None = opened_s
        self._interval_s = interval_s
        self.is_closed = False

    def heard_s(self) -> float | None:
        assert self.opened_s is not None
        open_s = boot_time_s() - self.opened_s
        heard_s = self.opened_s + open_s // self._interval_s * self._interval_s
        return None if self.is_closed else heard_s


class Node:
    """A node and what it sends."""

    def __init__(self) -> None:
        self.sent: list[tuple[LimitMessage, str | None]] = []
        self.processes = KnownProcesses()
        self.witnesses = ProcessWitnesses(
            lambda message, ip: self.sent.append((message, ip)),
            self.processes,
            random.Random(1),
        )


@pytest.mark.parametrize(
    ("interval_s", "is_closed", "is_shown"),
    [(0.05, False, True), (5.0, False, False), (0.05, True, False)],
)
def test_only_what_arrives_after_the_question_shows_a_process(
    monkeypatch: pytest.MonkeyPatch,
    interval_s: float,
    *,
    is_closed: bool,
    is_shown: bool,
) -> None:
    async def scenario() -> None:
        node = Node()
        connection = Connection(boot_time_s() - OPEN_S, interval_s)
        connection.is_closed = is_closed
        node.processes.add(SERVER, connection)
        node.witnesses.receive(LifeQuery(7, SERVER), IP)
        assert node.sent == []
        await asyncio.sleep(2 * WAIT_S)
        assert bool(node.sent) is is_shown
        if is_shown:
            ((reply, ip),) = node.sent
            assert isinstance(reply, LifeReply)
            assert (reply.number, ip) == (7, IP)
            assert OPEN_S <= reply.open_age_s <= OPEN_S + 2 * WAIT_S

    run_in_virtual_time(monkeypatch, scenario)


def test_only_the_nodes_that_got_permits_last_are_asked(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Messages would grow with the number of nodes."""

    async def scenario() -> None:
        node = Node()
        for number in range(50):
            node.witnesses.add("i-1", f"127.0.0.{number}")
        await node.witnesses.ask("i-1", SERVER)
        ips = {ip for _, ip in node.sent}
        last = range(50 - MAX_ASKED, 50)
        assert ips == {f"127.0.0.{number}" for number in last}

    run_in_virtual_time(monkeypatch, scenario)


def test_reply_to_an_earlier_question_shows_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        node = Node()
        node.witnesses.add("i-1", IP)
        node.processes.record(SERVER, 5, boot_time_s())
        await node.witnesses.ask("i-1", SERVER)
        ((query, _),) = node.sent
        assert isinstance(query, LifeQuery)
        since_s = boot_time_s()
        asking = asyncio.ensure_future(node.witnesses.ask("i-1", SERVER))
        await asyncio.sleep(0)
        node.witnesses.receive(LifeReply(query.number, OPEN_S), IP)
        await asking
        assert node.processes.find(SERVER, since_s) is None

    run_in_virtual_time(monkeypatch, scenario)


def test_node_with_the_oldest_connection_counts_whoever_replies_first(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The node of the stream that has just begun replied first."""

    async def scenario() -> None:
        node = Node()
        node.witnesses.add("i-1", IP)
        node.processes.record(SERVER, 5, boot_time_s())
        await asyncio.sleep(1.0)
        since_s = boot_time_s()
        asking = asyncio.ensure_future(node.witnesses.ask("i-1", SERVER))
        await asyncio.sleep(0)
        ((query, _),) = node.sent
        assert isinstance(query, LifeQuery)
        for open_s in (0.5, OPEN_S):
            node.witnesses.receive(LifeReply(query.number, open_s), IP)
        await asking
        assert node.processes.find(SERVER, since_s) == 5

    run_in_virtual_time(monkeypatch, scenario)
