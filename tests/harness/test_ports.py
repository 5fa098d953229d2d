"""Tests of the choice of free ports."""

import multiprocessing
import multiprocessing.connection
import socket

import pytest

from tests.harness import ports
from tests.harness.ports import free_addresses


def reserve_all(sender: multiprocessing.connection.Connection) -> None:
    """Sends how many addresses another process finds, and keeps them."""
    sender.send(free_addresses(len(ports.PORT_RANGE)))
    sender.recv()


def test_ports_of_two_test_processes_differ() -> None:
    context = multiprocessing.get_context("spawn")
    own_end, other_end = context.Pipe()
    own = free_addresses(300)
    process = context.Process(target=reserve_all, args=(other_end,))
    process.start()
    try:
        others = own_end.recv()
        assert not set(own) & set(others)
    finally:
        process.kill()
        process.join()


def test_ports_of_later_calls_differ() -> None:
    first = free_addresses(100)
    assert not set(first) & set(free_addresses(100))


@pytest.mark.parametrize("kind", [socket.SOCK_STREAM, socket.SOCK_DGRAM])
def test_port_in_use_is_not_chosen(
    kind: socket.SocketKind, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A node couldn't open the port that another one had for datagrams."""
    used, free = free_addresses(2)
    host, _, port = used.rpartition(":")
    free_port = int(free.rpartition(":")[2])
    monkeypatch.setattr(ports, "PORT_RANGE", [int(port), free_port])
    # Others may choose both again.
    monkeypatch.setattr(ports, "RESERVATION_HOST", "127.255.255.2")
    with socket.socket(type=kind) as sock:
        sock.bind((host, int(port)))
        assert free_addresses(2) == [free]


def test_reservations_are_bounded() -> None:
    for _ in range(20):
        free_addresses(100)
    assert len(ports._reservations) <= ports.MAX_RESERVATIONS
