"""Runs a node that signals cut off from all other nodes, and heal.

Servers and the store are reached meanwhile: they listen on `SERVER_HOST`, as
no node does. Another signal lets these refuse connections instead, and a
further one lets connections to the store alone hang until it heals.

Run as `python -m tests.front.cut_node SETTINGS`.
"""

import asyncio
import json
import pathlib
import signal
import sys
from types import FrameType
from typing import Any

from savorylift.fleet.peer_transport import PeerTransport
from savorylift.front import __main__ as program

CUT_SIGNAL = signal.SIGUSR1
HEAL_SIGNAL = signal.SIGUSR2
SERVER_CUT_SIGNAL = signal.SIGRTMIN
STORE_CUT_SIGNAL = signal.SIGRTMAX
SERVER_HOST = "127.0.0.1"


class CutNode:
    """Drops what goes between this node and others while it is cut off.

    Attributes:
        is_cut: Whether it is cut off.
        is_refused: Whether servers and the store refuse connections.
        is_store_cut: Whether new connections to the store hang.
    """

    def __init__(self, store_port: int) -> None:
        """Starts in touch; signals change that."""
        self._store_port = store_port
        self.is_cut = False
        self.is_refused = False
        self.is_store_cut = False

    def install(self) -> None:
        """Sets the handlers, and stands before sockets of this process."""
        signal.signal(CUT_SIGNAL, self._on_signal)
        signal.signal(HEAL_SIGNAL, self._on_signal)
        signal.signal(SERVER_CUT_SIGNAL, self._on_server_cut)
        signal.signal(STORE_CUT_SIGNAL, self._on_store_cut)
        self._stand_before_datagrams()
        self._stand_before_connections()

    def _on_signal(self, number: int, _: FrameType | None) -> None:
        self.is_cut = number == CUT_SIGNAL
        self.is_store_cut = False

    def _on_server_cut(self, _number: int, _: FrameType | None) -> None:
        self.is_refused = True

    def _on_store_cut(self, _number: int, _: FrameType | None) -> None:
        self.is_store_cut = True

    def _stand_before_datagrams(self) -> None:
        transport_class: Any = PeerTransport
        send_all = transport_class._send_all
        receive = transport_class.datagram_received

        def send(
            transport: PeerTransport, data: bytes, ips: tuple[str, ...]
        ) -> None:
            if not self.is_cut:
                send_all(transport, data, ips)

        def hear(
            transport: PeerTransport, data: bytes, addr: tuple[str, int]
        ) -> None:
            if not self.is_cut:
                receive(transport, data, addr)

        transport_class._send_all = send
        transport_class.datagram_received = hear

    def _stand_before_connections(self) -> None:
        loop_class: Any = asyncio.SelectorEventLoop
        sock_connect = loop_class.sock_connect

        async def connect(
            loop: object, sock: object, address: tuple[str, int]
        ) -> None:
            host, port = address
            if self.is_cut and host != SERVER_HOST:
                await asyncio.Event().wait()
            if self.is_store_cut and port == self._store_port:
                await asyncio.Event().wait()
            if self.is_refused and host == SERVER_HOST:
                raise ConnectionRefusedError
            await sock_connect(loop, sock, address)

        loop_class.sock_connect = connect


def main() -> int:
    """Runs the node until it is stopped; returns the exit code."""
    settings = json.loads(pathlib.Path(sys.argv[1]).read_text())
    _, _, store_port = settings["store"].rpartition(":")
    CutNode(int(store_port)).install()
    return program.main()


if __name__ == "__main__":
    sys.exit(main())
