"""Tests of the choice of free ports."""

import multiprocessing
import multiprocessing.connection

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


def test_reservations_are_bounded() -> None:
    for _ in range(20):
        free_addresses(100)
    assert len(ports._reservations) <= ports.MAX_RESERVATIONS
