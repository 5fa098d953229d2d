"""The link between nodes on real sockets."""

import socket
import time
from collections.abc import Callable

import pytest
import websockets.sync.client

from savorylift.identity import NodeRef
from savorylift.peers import auth
from savorylift.peers.auth import PeerKeys
from savorylift.peers.codec import encode
from savorylift.peers.counters import Drop
from savorylift.peers.options import seed_ref
from tests.peers.linkkit import (
    Network,
    Note,
    Peer,
    Proxy,
    Question,
    Reply,
    peers,
)

A = NodeRef("a", "1")
B = NodeRef("b", "1")


def wait_for(is_done: Callable[[], bool], timeout_s: float = 5.0) -> None:
    deadline_s = time.monotonic() + timeout_s
    while not is_done():
        assert time.monotonic() < deadline_s, "condition not met in time"
        time.sleep(0.005)


def test_tells_and_asks_arrive_in_both_directions_and_at_home() -> None:
    with peers() as (_, a, b):
        for sender, target in [(a, b), (b, a), (a, a)]:
            assert sender.ask(target.ref, "hello") == "HELLO"
            assert sender.link.tell(target.ref, Note("hi"))
            assert target.noted.acquire(timeout=5)
            assert target.notes.pop() == f"{sender.ref.vm}:hi"
        assert a.ask(seed_ref("b"), "seed") == "SEED"


def test_many_answers_match_their_questions() -> None:
    with peers() as (_, a, b):
        texts = [f"q{number}" for number in range(500)]
        futs = [a.link.ask(b.ref, Question(text), Reply, 5.0) for text in texts]
        answers = [fut.result(5).unwrap().text for fut in futs]
        assert answers == [text.upper() for text in texts]


def test_faults_say_whether_the_question_left() -> None:
    with peers(retry_s=30.0) as (_, a, b):
        assert a.ask(b.ref, "open") == "OPEN"
        assert a.ask(b.ref, "ignore", timeout_s=0.5) == "sent"
        assert a.ask(NodeRef("unknown", "1"), "x") == "unsent"
        assert b.link.stop()
        wait_for(lambda: a.ask(b.ref, "x", timeout_s=1.0) == "unsent")
        assert not a.link.tell(b.ref, Note("backing off"))
        assert a.drops(Drop.UNREACHABLE) >= 1


@pytest.mark.parametrize("only_back", [False, True])
def test_a_silent_connection_is_replaced(*, only_back: bool) -> None:
    with peers() as (network, a, b):
        proxy = Proxy(b.address)
        network.addresses["b"] = proxy.address
        assert a.ask(b.ref, "one") == "ONE"
        proxy.silence(only_back=only_back)
        started_s = time.monotonic()
        assert a.ask(b.ref, "two", timeout_s=5.0) == "sent"
        assert time.monotonic() - started_s < 2.0
        wait_for(lambda: a.ask(b.ref, "three", timeout_s=0.5) == "THREE")
        assert proxy.accepted == 2
        proxy.stop()


def test_a_restarted_peer_is_reached_and_its_past_is_not() -> None:
    with peers() as (network, a, b):
        assert a.ask(b.ref, "one") == "ONE"
        assert b.link.stop()
        again = Peer(network, NodeRef("b", "2"))
        wait_for(lambda: a.ask(again.ref, "two") == "TWO")
        time.sleep(0.25)  # past the back-off of the old incarnation
        assert a.ask(b.ref, "old") == "unsent"
        assert again.drops(Drop.OTHER_INCARNATION) >= 1
        network.ended.add(a.ref)
        assert a.ask(again.ref, "late", timeout_s=0.5) == "sent"
        assert again.drops(Drop.ENDED_INCARNATION) == 1
        assert again.link.stop()


def test_a_full_queue_drops_and_counts() -> None:
    mute = socket.create_server(("127.0.0.1", 0))
    with peers(max_queue=4) as (network, a, b):
        network.addresses["b"] = f"127.0.0.1:{mute.getsockname()[1]}"
        for _ in range(200):
            a.link.tell(b.ref, Note("x"))
        wait_for(lambda: a.drops(Drop.QUEUE_FULL) == 196)
        wait_for(lambda: a.drops(Drop.UNREACHABLE) == 4)
    mute.close()


def raw_frames(target: Peer, *frames: bytes | str) -> None:
    """Sends frames in the name of `a` and waits for the connection's end."""
    handshake = auth.new_handshake(A, target.ref)
    headers = auth.request_headers(handshake, PeerKeys())
    with websockets.sync.client.connect(
        f"ws://{target.address}/", additional_headers=headers, proxy=None
    ) as conn:
        for frame in frames:
            conn.send(frame)


def test_bad_frames_are_counted_and_stop_nothing() -> None:
    with peers(max_message_bytes=10_000) as (_, a, b):
        raw_frames(
            b,
            "text",
            b"\xff\xff",
            b"\x9f" * 3000,
            b"\xd8\x1d\x00",
            encode(A, Note("raise")),
            encode(A, (1, 2, 3)),
            encode(A, Note(3)),  # type: ignore[arg-type]
            encode(NodeRef("c", "1"), Note("forged")),
            encode(A, Note("answer"), 7, is_answer=True),
        )
        raw_frames(b, encode(A, Note("x" * 20_000)))
        wait_for(lambda: b.drops(Drop.WRONG_SENDER) == 1)
        wait_for(lambda: b.drops(Drop.MALFORMED) == 6)
        assert b.drops(Drop.UNKNOWN_TYPE) == 1
        assert b.drops(Drop.HANDLER_ERROR) == 1
        assert a.ask(b.ref, "alive") == "ALIVE"
        assert b.notes == []


K1, K2, K3 = b"k1" * 16, b"k2" * 16, b"k3" * 16


@pytest.mark.parametrize(
    ("own", "other", "expected"),
    [
        ((K1,), (K1,), "HI"),
        ((K1, K2), (K2, K1), "HI"),
        ((K1, K2), (K1,), "HI"),
        ((K1,), (K2, K1), "HI"),
        ((K1,), (K3,), "unsent"),
        ((), (K1,), "unsent"),
        ((K1,), (), "unsent"),
    ],
)
def test_only_holders_of_a_key_talk(
    own: tuple[bytes, ...], other: tuple[bytes, ...], expected: str
) -> None:
    network = Network()
    a = Peer(network, A, keys=PeerKeys(own))
    b = Peer(network, B, keys=PeerKeys(other))
    assert a.ask(b.ref, "hi") == expected
    has_refused = a.drops(Drop.UNAUTHENTICATED) + b.drops(Drop.UNAUTHENTICATED)
    assert has_refused == (expected == "unsent")
    assert a.link.stop()
    assert b.link.stop()
