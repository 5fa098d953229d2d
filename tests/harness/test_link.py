"""Tests of the network faults that links inject."""

import socket
import time
from collections.abc import Callable, Iterator

import pytest

from tests.harness.link import Direction, Link, Relay

SHORT_TIME_S = 0.1  # link delay, and wait for a byte that is lost


@pytest.fixture(name="target")
def _target() -> Iterator[socket.socket]:
    with socket.create_server(("127.0.0.1", 0)) as server:
        yield server


class RelayedConnection:
    """Both ends of a connection through a link."""

    def __init__(self, link: Link, target: socket.socket) -> None:
        """Connects to the link and accepts the connection at the target."""
        host, port = link.address.split(":")
        self.client_socket = socket.create_connection((host, int(port)), 5)
        self.target_socket, _ = target.accept()
        self.target_socket.settimeout(5)

    def carries(
        self, direction: Direction, timeout_s: float = SHORT_TIME_S
    ) -> bool:
        """Sends a byte; returns True if it arrives within `timeout_s`."""
        ends = (self.client_socket, self.target_socket)
        sender, receiver = (
            ends if direction is Direction.TO_TARGET else ends[::-1]
        )
        sender.sendall(b"x")
        receiver.settimeout(timeout_s)
        try:
            return receiver.recv(1) == b"x"
        except TimeoutError:
            return False


def cut_to_target(link: Link) -> None:
    link.cut(Direction.TO_TARGET)


@pytest.mark.parametrize(
    ("fault", "open_carries", "new_carries", "healed_carries"),
    [
        (Link.heal, (True, True), (True, True), (True, True)),
        (Link.silence_open, (False, False), (True, True), (False, False)),
        (Link.cut, (False, False), (False, False), (True, True)),
        (cut_to_target, (False, True), (False, True), (True, True)),
    ],
)
def test_fault_affects_only_its_connections_and_directions(
    relay: Relay,
    target: socket.socket,
    fault: Callable[[Link], None],
    open_carries: tuple[bool, bool],
    new_carries: tuple[bool, bool],
    healed_carries: tuple[bool, bool],
) -> None:
    link = relay.add_link(f"127.0.0.1:{target.getsockname()[1]}")
    connection = RelayedConnection(link, target)
    assert all(connection.carries(direction, 5) for direction in Direction)
    fault(link)
    assert (
        tuple(connection.carries(direction) for direction in Direction)
        == open_carries
    )
    new_connection = RelayedConnection(link, target)
    assert (
        tuple(new_connection.carries(direction) for direction in Direction)
        == new_carries
    )
    link.heal()
    assert (
        tuple(connection.carries(direction) for direction in Direction)
        == healed_carries
    )


def test_link_delays_resets_and_refuses_connections(
    relay: Relay, target: socket.socket
) -> None:
    link = relay.add_link(f"127.0.0.1:{target.getsockname()[1]}")
    connection = RelayedConnection(link, target)
    link.delay(SHORT_TIME_S)
    began_s = time.monotonic()
    assert connection.carries(Direction.TO_TARGET, 5)
    assert time.monotonic() - began_s >= SHORT_TIME_S
    link.reset_open()
    with pytest.raises(ConnectionResetError):
        connection.client_socket.recv(1)
    link.refuse()
    with pytest.raises(ConnectionResetError):
        connect_and_read(link)


def connect_and_read(link: Link) -> None:
    """Connects and waits for a byte; a reset may come at either."""
    host, port = link.address.split(":")
    with socket.create_connection((host, int(port)), 5) as sock:
        sock.recv(1)
