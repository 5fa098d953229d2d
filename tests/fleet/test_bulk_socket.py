"""Tests of datagrams that are read when somebody needs them."""

import asyncio
import socket

from savorylift.fleet.bulk_socket import BulkSocket
from savorylift.fleet.state import NodeState
from savorylift.front.state_reactions import StateReactions
from tests.fleet.test_membership import state
from tests.harness.ports import free_addresses
from tests.wire.loopback import run_with_timeout

HOST = "127.0.0.1"


def send(port: int, *datagrams: bytes) -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for data in datagrams:
            sender.sendto(data, (HOST, port))


def test_datagrams_wait_until_they_are_needed_or_requests_wait() -> None:
    async def scenario() -> None:
        found: list[bytes] = []
        bulk = BulkSocket(lambda data, _addr: found.append(data))
        (address,) = free_addresses(1)
        port = int(address.partition(":")[2])
        bulk.open(HOST, port)
        send(port, b"1", b"2")
        await asyncio.sleep(0.02)
        assert found == []
        assert bulk.read_if_due()
        assert found == [b"1", b"2"]
        assert not bulk.read_if_due()
        bulk.set_eager(is_eager=True)
        send(port, b"3")
        await asyncio.sleep(0.02)
        assert found[2:] == [b"3"]
        bulk.set_eager(is_eager=False)
        send(port, b"4")
        await asyncio.sleep(0.02)
        assert found[3:] == []
        bulk.close()
        bulk.read()

    run_with_timeout(scenario())


def test_reading_is_not_begun_again_by_what_is_read() -> None:
    async def scenario() -> None:
        depths: list[bool] = []

        def on_datagram(_data: bytes, _addr: tuple[str, int]) -> None:
            depths.append(bulk.is_reading)
            bulk.read()

        bulk = BulkSocket(on_datagram)
        (address,) = free_addresses(1)
        port = int(address.partition(":")[2])
        bulk.open(HOST, port)
        send(port, b"1", b"2")
        await asyncio.sleep(0.02)
        bulk.read()
        assert depths == [True, True]
        assert not bulk.is_reading
        bulk.close()

    run_with_timeout(scenario())


def test_others_react_once_after_what_was_read_for_a_decision() -> None:
    async def scenario() -> None:
        calls: list[str] = []

        def on_state(heard: NodeState) -> None:
            calls.append(heard.node)

        reactions = StateReactions(
            lambda _ip, _operators, _servers: None,
            on_state,
            lambda: calls.append("news"),
            lambda: is_reading,
        )
        is_reading = True
        reactions.follow(state(2), None)
        reactions.follow(state(3), None)
        assert calls == []
        await asyncio.sleep(0)
        assert calls == ["n2", "n3", "news"]
        is_reading = False
        reactions.follow(state(2)._replace(sequence=2), state(2))
        assert calls[3:] == ["n2"]
        reactions.follow(state(2)._replace(is_leaving=True), state(2))
        assert calls[4:] == ["n2", "news"]

    run_with_timeout(scenario())


def test_datagram_that_fails_keeps_nobody_from_the_others() -> None:
    async def scenario() -> None:
        found: list[bytes] = []

        def on_datagram(data: bytes, _: tuple[str, int]) -> None:
            if data == b"bad":
                raise ValueError("unforeseen")
            found.append(data)

        bulk = BulkSocket(on_datagram)
        (address,) = free_addresses(1)
        port = int(address.partition(":")[2])
        bulk.open(HOST, port)
        send(port, b"bad", b"1", b"bad", b"2")
        await asyncio.sleep(0.02)
        bulk.read()
        assert found == [b"1", b"2"]
        bulk.close()

    run_with_timeout(scenario())
