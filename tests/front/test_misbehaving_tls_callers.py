"""Tests of a node's process under crowds that don't behave over TLS.

A crowd comes to the callers' port while one ordinary caller comes to each
place. Only what doesn't depend on the machine's speed is judged.
"""

import asyncio
import itertools
import pathlib
import ssl
from collections.abc import Callable

import pytest

from tests.front.misbehaving_callers import CrowdedFleet, Place, Script, Watch
from tests.front.test_misbehaving_callers import (
    ENOUGH_DESCRIPTORS,
    FEW_DESCRIPTORS,
    LITTLE_MEMORY_MB,
    MAX_DESCRIPTORS,
    MAX_NODE_KB,
    MEMORY_MB,
    SEND_S,
    STEP_S,
    send_bodies_ahead,
    send_body_slowly,
    send_many_fields,
    send_nothing,
    send_requests_ahead,
    send_small_body_slowly,
    stop_in_bodies_of_all_sizes,
    stop_in_body,
    stop_in_body_of_chunks,
    stop_in_head,
    stop_in_small_body,
)
from tests.harness.certificates import client_context, write_certificate

# Callers at each of the two places of the callers' port: more connections than
# that may have, with few descriptors and with little memory.
CALLERS = 160
ARRIVING_S = 3.0
TlsWay = Callable[[Place], Script]

pytestmark = [pytest.mark.processes, pytest.mark.alone]


def begin_handshake() -> bytes:
    """Returns the first message of a handshake."""
    sent = ssl.MemoryBIO()
    tls = client_context().wrap_bio(ssl.MemoryBIO(), sent)
    with pytest.raises(ssl.SSLWantReadError):
        tls.do_handshake()
    return sent.read()


def stop_in_first_message(_place: Place) -> Script:
    message = begin_handshake()
    yield message[: len(message) // 2]


def stop_after_first_message(_place: Place) -> Script:
    yield begin_handshake()


def send_first_message_slowly(_place: Place) -> Script:
    for byte in begin_handshake():
        yield bytes([byte])
        yield STEP_S


def send_no_handshake(place: Place) -> Script:
    """Sends an ordinary request without TLS."""
    yield place.head("Content-Length: 0")


def leave_refusal_unread(place: Place) -> Script:
    """Sends a request that is no HTTP, and not its notice of the end."""
    yield f"{place.target}\r\n\r\n".encode()
    yield from itertools.repeat(STEP_S)


HANDSHAKES: list[TlsWay] = [
    send_nothing,
    stop_in_first_message,
    stop_after_first_message,
    send_first_message_slowly,
    send_no_handshake,
]


async def watch_tls_crowd(
    directory: pathlib.Path,
    descriptors: int,
    memory_mb: int,
    way: TlsWay,
    *,
    is_handshake: bool,
) -> tuple[Watch, set[str]]:
    """Lets a crowd come; returns what was seen, and the names of all places.

    Args:
        directory: Where the node's files are.
        descriptors: Most descriptors of its process.
        memory_mb: Its memory.
        way: What each caller of the crowd does.
        is_handshake: Whether that takes the place of a handshake.
    """
    changes = {
        "memory_mb": memory_mb,
        "caller_tls": write_certificate(directory),
    }
    fleet = CrowdedTlsFleet(directory, descriptors, changes)
    async with fleet.running():
        await fleet.admit_large_requests()
        crowded = [
            place._replace(has_tls=not is_handshake)
            for place in fleet.places()
            if place.has_tls
        ]
        seen = await fleet.watch_crowd(
            CALLERS, way, SEND_S, crowded, ARRIVING_S
        )
        return seen, {place.name for place in fleet.places()}


class CrowdedTlsFleet(CrowdedFleet):
    """One node with low limits, whose callers use TLS."""

    def places(self) -> list[Place]:
        """Returns all places at which the node takes requests."""
        port = self.caller_port
        return [
            place._replace(has_tls=place.port == port)
            for place in super().places()
        ]


@pytest.mark.parametrize("way", HANDSHAKES)
def test_unfinished_handshakes_leave_a_node_its_descriptors(
    way: TlsWay, tmp_path: pathlib.Path
) -> None:
    """They held all connections of callers until a time-out."""
    seen, places = asyncio.run(
        watch_tls_crowd(
            tmp_path, FEW_DESCRIPTORS, MEMORY_MB, way, is_handshake=True
        )
    )
    assert seen.descriptors <= MAX_DESCRIPTORS
    assert seen.answered == places


@pytest.mark.parametrize(
    "way",
    [
        send_nothing,
        stop_in_head,
        stop_in_small_body,
        send_small_body_slowly,
        send_requests_ahead,
        leave_refusal_unread,
    ],
)
def test_tls_crowd_leaves_a_node_its_descriptors(
    way: TlsWay, tmp_path: pathlib.Path
) -> None:
    """A connection that was closed kept its descriptor, uncounted."""
    seen, places = asyncio.run(
        watch_tls_crowd(
            tmp_path, FEW_DESCRIPTORS, MEMORY_MB, way, is_handshake=False
        )
    )
    assert seen.descriptors <= MAX_DESCRIPTORS
    assert seen.answered == places


@pytest.mark.parametrize("way", HANDSHAKES)
def test_unfinished_handshakes_leave_a_node_its_memory(
    way: TlsWay, tmp_path: pathlib.Path
) -> None:
    seen, places = asyncio.run(
        watch_tls_crowd(
            tmp_path, ENOUGH_DESCRIPTORS, MEMORY_MB, way, is_handshake=True
        )
    )
    assert seen.peak_kb < MAX_NODE_KB
    assert seen.answered == places


@pytest.mark.parametrize(
    ("way", "memory_mb"),
    [
        (send_nothing, MEMORY_MB),
        (stop_in_small_body, MEMORY_MB),
        (stop_in_body, MEMORY_MB),
        (stop_in_body_of_chunks, MEMORY_MB),
        (send_body_slowly, MEMORY_MB),
        (send_many_fields, MEMORY_MB),
        (send_requests_ahead, MEMORY_MB),
        (send_bodies_ahead, MEMORY_MB),
        (leave_refusal_unread, MEMORY_MB),
        # Bodies that stop take all that there is for bodies.
        (stop_in_bodies_of_all_sizes, LITTLE_MEMORY_MB),
    ],
)
def test_tls_crowd_leaves_a_node_its_memory(
    way: TlsWay, memory_mb: int, tmp_path: pathlib.Path
) -> None:
    seen, places = asyncio.run(
        watch_tls_crowd(
            tmp_path, ENOUGH_DESCRIPTORS, memory_mb, way, is_handshake=False
        )
    )
    assert seen.peak_kb < MAX_NODE_KB
    assert seen.answered == places
