"""Links between two addresses."""

import socket
import time
from collections.abc import Callable, Iterator

import pytest

from tests.harness.link import Link, Relay, Way

SHORT_S = 0.1


@pytest.fixture(name="target")
def _target() -> Iterator[socket.socket]:
    with socket.create_server(("127.0.0.1", 0)) as server:
        yield server


class Pair:
    """Both ends of a relayed connection."""

    def __init__(self, link: Link, target: socket.socket) -> None:
        """Connects."""
        host, port = link.address.split(":")
        self.near = socket.create_connection((host, int(port)), 5)
        self.far, _ = target.accept()
        self.far.settimeout(5)

    def carries(self, way: Way, timeout_s: float = SHORT_S) -> bool:
        """Returns True if a byte arrives in time."""
        ends = (self.near, self.far)
        sender, receiver = ends if way is Way.TO_TARGET else ends[::-1]
        sender.sendall(b"x")
        receiver.settimeout(timeout_s)
        try:
            return receiver.recv(1) == b"x"
        except TimeoutError:
            return False


def cut_one_way(link: Link) -> None:
    link.cut(Way.TO_TARGET)


@pytest.mark.parametrize(
    ("fault", "open_carries", "new_carries", "healed_carries"),
    [
        (Link.heal, (True, True), (True, True), (True, True)),
        (Link.silence_open, (False, False), (True, True), (False, False)),
        (Link.cut, (False, False), (False, False), (True, True)),
        (cut_one_way, (False, True), (False, True), (True, True)),
    ],
)
def test_faults(
    relay: Relay,
    target: socket.socket,
    fault: Callable[[Link], None],
    open_carries: tuple[bool, bool],
    new_carries: tuple[bool, bool],
    healed_carries: tuple[bool, bool],
) -> None:
    link = relay.link(f"127.0.0.1:{target.getsockname()[1]}")
    pair = Pair(link, target)
    assert all(pair.carries(way, 5) for way in Way)
    fault(link)
    assert tuple(pair.carries(way) for way in Way) == open_carries
    later = Pair(link, target)
    assert tuple(later.carries(way) for way in Way) == new_carries
    link.heal()
    assert tuple(pair.carries(way) for way in Way) == healed_carries


def test_delay_reset_and_refuse(relay: Relay, target: socket.socket) -> None:
    link = relay.link(f"127.0.0.1:{target.getsockname()[1]}")
    pair = Pair(link, target)
    link.delay(SHORT_S)
    began_s = time.monotonic()
    assert pair.carries(Way.TO_TARGET, 5)
    assert time.monotonic() - began_s >= SHORT_S
    link.reset_open()
    with pytest.raises(ConnectionResetError):
        pair.near.recv(1)
    link.refuse()
    host, port = link.address.split(":")
    with (
        socket.create_connection((host, int(port)), 5) as refused,
        pytest.raises(ConnectionResetError),
    ):
        refused.recv(1)
