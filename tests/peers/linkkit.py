"""Links on loopback and a TCP proxy that can fall silent."""

import selectors
import socket
import ssl
import threading
from collections.abc import Iterator
from concurrent.futures import Future
from contextlib import contextmanager, suppress
from typing import NamedTuple, TypedDict, Unpack

from prometheus_client import CollectorRegistry

from savorylift.identity import NodeRef
from savorylift.peers.auth import PeerKeys
from savorylift.peers.counters import Drop, LinkCounters
from savorylift.peers.link import Message
from savorylift.peers.options import LinkOptions
from savorylift.peers.transport import WebsocketLink


class Note(NamedTuple):
    """A one-way message."""

    text: str


class Question(NamedTuple):
    """A question."""

    text: str


class Reply(NamedTuple):
    """An answer with a nested part."""

    text: str
    parts: tuple[Note, ...]


class Options(TypedDict, total=False):
    """Link options that a test may change."""

    keys: PeerKeys
    server_tls: ssl.SSLContext
    client_tls: ssl.SSLContext
    max_message_bytes: int
    max_queue: int
    ping_interval_s: float
    ping_timeout_s: float
    retry_s: float


FAST_PINGS: Options = {"ping_interval_s": 0.1, "ping_timeout_s": 0.2}


class Network:
    """Addresses and ended incarnations that all links of a test share."""

    def __init__(self) -> None:
        self.addresses: dict[str, str] = {}
        self.ended: set[NodeRef] = set()


class Peer:
    """A started link that records notes and answers questions."""

    def __init__(
        self, network: Network, ref: NodeRef, **options: Unpack[Options]
    ) -> None:
        self.ref = ref
        self.registry = CollectorRegistry()
        self.notes: list[str] = []
        self.noted = threading.Semaphore(0)
        self.link = WebsocketLink(
            LinkOptions(
                own=ref,
                host="127.0.0.1",
                port=0,
                address_of=lambda node: network.addresses.get(node.vm),
                is_ended=lambda node: node in network.ended,
                counters=LinkCounters(self.registry),
                **FAST_PINGS | options,
            )
        )
        self.link.on_tell(Note, self._note)
        self.link.on_ask(Question, self._answer)
        self.address = self.link.start().unwrap()
        network.addresses[ref.vm] = self.address

    def _note(self, sender: NodeRef, note: Note) -> None:
        assert note.text != "raise"
        self.notes.append(f"{sender.vm}:{note.text}")
        self.noted.release()

    def _answer(
        self, sender: NodeRef, question: Question, fut: "Future[Message]"
    ) -> None:
        if question.text != "ignore":
            fut.set_result(Reply(question.text.upper(), (Note("n"),)))

    def ask(self, node: NodeRef, text: str, timeout_s: float = 2.0) -> str:
        """Returns the answer, or `sent` or `unsent` for a fault."""
        fut = self.link.ask(node, Question(text), Reply, timeout_s)
        result = fut.result(5)
        return result.map(lambda reply: reply.text).value_or(
            "sent"
            if result.swap().map(lambda f: f.sent).value_or(0)
            else "unsent"
        )

    def drops(self, reason: Drop) -> int:
        """Returns how many messages were dropped for `reason`."""
        name = "savorylift_peer_dropped_total"
        labels = {"reason": reason.value}
        return int(self.registry.get_sample_value(name, labels) or 0)


@contextmanager
def peers(**options: Unpack[Options]) -> Iterator[tuple[Network, Peer, Peer]]:
    """Starts the links of two nodes `a` and `b`."""
    network = Network()
    a = Peer(network, NodeRef("a", "1"), **options)
    b = Peer(network, NodeRef("b", "1"), **options)
    try:
        yield network, a, b
    finally:
        assert a.link.stop()
        assert b.link.stop()


class Proxy:
    """Forwards TCP connections; older ones can be made silent for good."""

    def __init__(self, target: str) -> None:
        host, port = target.split(":")
        self._target = (host, int(port))
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._selector = selectors.DefaultSelector()
        self._selector.register(self._listener, selectors.EVENT_READ)
        self._silent: set[socket.socket] = set()
        self._ways: dict[socket.socket, tuple[socket.socket, bool]] = {}
        self.accepted = 0
        self.is_cut = False  # new connections are silent too
        self._is_stopping = False
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def silence(self, *, only_back: bool = False) -> None:
        """Swallows what present connections carry (or only the answers)."""
        ways = list(self._ways.items())
        self._silent.update(s for s, (_, b) in ways if b or not only_back)

    def stop(self) -> None:
        self._is_stopping = True
        self._thread.join(5)

    def _run(self) -> None:
        while not self._is_stopping:
            for key, _ in self._selector.select(0.05):
                sock = key.fileobj
                assert isinstance(sock, socket.socket)
                if sock is self._listener:
                    self._accept()
                else:
                    self._forward(sock)
        for sock in [self._listener, *self._ways]:
            sock.close()

    def _accept(self) -> None:
        near, _ = self._listener.accept()
        try:
            far = socket.create_connection(self._target)
        except OSError:  # the target has stopped
            near.close()
            return
        self.accepted += 1
        self._ways[near], self._ways[far] = (far, False), (near, True)
        if self.is_cut:
            self._silent |= {near, far}
        for sock in (near, far):
            self._selector.register(sock, selectors.EVENT_READ)

    def _forward(self, sock: socket.socket) -> None:
        other, _ = self._ways[sock]
        try:
            data = sock.recv(65536)
            if data and sock not in self._silent:
                other.sendall(data)
        except OSError:
            data = b""
        if not data:
            self._selector.unregister(sock)
            if sock not in self._silent:
                with suppress(OSError):  # it may have ended as well
                    other.shutdown(socket.SHUT_RDWR)
