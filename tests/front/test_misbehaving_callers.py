"""Tests of a node's process under crowds of callers that don't behave.

Each crowd comes to all places at which the node takes requests, and stays while
one ordinary caller comes to each. Only what doesn't depend on the machine's
speed is judged.
"""

import asyncio
import itertools
import pathlib
from collections.abc import Callable

import pytest

from tests.front.misbehaving_callers import (
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    CrowdedFleet,
    Place,
    Script,
)

# Callers at each of eight places, and the limits of the process. Together they
# want more descriptors, or more memory, than it has.
MANY_CALLERS = 40
FEW_DESCRIPTORS = 256
# The rest is for the store, servers and other nodes.
MAX_DESCRIPTORS = 230
SOME_CALLERS = 12
ENOUGH_DESCRIPTORS = 4096
MEMORY_MB = 80
MAX_NODE_KB = MEMORY_MB * 1_000_000 // 1024
# With so little, bodies that stop take all that there is for bodies.
LITTLE_MEMORY_MB = 30
BODY_CALLERS = 24
SMALL_BODY_BYTES = 65_536
PIECE_BYTES = 16_384
# What follows a chunk's length, and what follows a body in chunks.
MAX_CHUNK_LINE_BYTES = 900_000
REQUESTS_AHEAD = 400
STEP_S = 0.5
SEND_S = 4.0
LENGTH = "Content-Length: {}"
CHUNKED = "Transfer-Encoding: chunked"
FIELD = b"a:b\r\n"

# One of so many bodies is large.
LARGE_INTERVAL = 6

_numbers = itertools.count()
pytestmark = [pytest.mark.processes, pytest.mark.alone]


def send_nothing(_place: Place) -> Script:
    yield 0.0


def stop_in_head(place: Place) -> Script:
    yield place.open_head()


def send_head_slowly(place: Place) -> Script:
    yield place.open_head()
    for _ in itertools.count():
        yield STEP_S
        yield b"a"


def stop_in_small_body(place: Place) -> Script:
    yield place.head(LENGTH.format(SMALL_BODY_BYTES))
    yield bytes(SMALL_BODY_BYTES - 1)


def send_small_body_slowly(place: Place) -> Script:
    yield place.head(LENGTH.format(SMALL_BODY_BYTES))
    for _ in itertools.count():
        yield STEP_S
        yield b"a"


def stop_in_body(place: Place) -> Script:
    yield place.head(LENGTH.format(MAX_BODY_BYTES))
    yield bytes(MAX_BODY_BYTES - 1)


def stop_in_bodies_of_all_sizes(place: Place) -> Script:
    """Sends mostly small bodies, which together need a lot."""
    is_large = next(_numbers) % LARGE_INTERVAL == 0
    return (stop_in_body if is_large else stop_in_small_body)(place)


def stop_in_body_of_pieces(place: Place) -> Script:
    yield place.head(LENGTH.format(MAX_BODY_BYTES))
    for _ in range(MAX_BODY_BYTES // PIECE_BYTES - 1):
        yield bytes(PIECE_BYTES)
        yield 0.0


def stop_in_body_of_chunks(place: Place) -> Script:
    yield place.head(CHUNKED)
    for _ in range(MAX_BODY_BYTES // PIECE_BYTES - 1):
        yield b"%x\r\n%b\r\n" % (PIECE_BYTES, bytes(PIECE_BYTES))


def send_body_slowly(place: Place) -> Script:
    yield place.head(LENGTH.format(MAX_BODY_BYTES))
    for _ in itertools.count():
        yield STEP_S
        yield bytes(10)


def announce_too_large_body(place: Place) -> Script:
    yield place.head(LENGTH.format(1 << 40))
    for _ in range(2 * MAX_BODY_BYTES // PIECE_BYTES):
        yield bytes(PIECE_BYTES)


def send_too_large_body_of_chunks(place: Place) -> Script:
    yield place.head(CHUNKED)
    for _ in range(2 * MAX_BODY_BYTES // PIECE_BYTES):
        yield b"%x\r\n%b\r\n" % (PIECE_BYTES, bytes(PIECE_BYTES))


def send_many_fields(place: Place) -> Script:
    """Sends a head of legal size, and not the end of a small body."""
    framing = place.head(LENGTH.format(2)).removesuffix(b"\r\n")
    rest = MAX_HEAD_BYTES - len(framing) - len(b"\r\n\r\n")
    yield framing + FIELD * (rest // len(FIELD)) + b"\r\nx"


def send_many_query_members(place: Place) -> Script:
    members = "&a=b" * ((MAX_HEAD_BYTES - 2000) // 4)
    longer = place._replace(target=f"{place.target}?{members}")
    yield longer.head(LENGTH.format(2)) + b"x"


def send_endless_chunk_extension(place: Place) -> Script:
    yield place.head(CHUNKED)
    yield b"1" + b";a=b" * (MAX_CHUNK_LINE_BYTES // 4)


def stop_in_trailers(place: Place) -> Script:
    yield place.head(CHUNKED)
    yield b"0\r\n" + FIELD * (MAX_CHUNK_LINE_BYTES // len(FIELD))


def send_many_trailers(place: Place) -> Script:
    yield from stop_in_trailers(place)
    yield b"\r\n"


def send_requests_ahead(place: Place) -> Script:
    for _ in range(REQUESTS_AHEAD):
        yield place.head(LENGTH.format(1)) + b"x"


def send_bodies_ahead(place: Place) -> Script:
    for _ in range(REQUESTS_AHEAD):
        yield place.head(LENGTH.format(SMALL_BODY_BYTES))
        yield bytes(SMALL_BODY_BYTES)


@pytest.mark.parametrize(
    "way",
    [
        send_nothing,
        stop_in_head,
        send_head_slowly,
        stop_in_small_body,
        send_small_body_slowly,
        send_requests_ahead,
    ],
)
def test_crowd_leaves_a_node_its_descriptors(
    way: Callable[[Place], Script], tmp_path: pathlib.Path
) -> None:
    """A node that took each connection could open none itself."""

    async def scenario() -> None:
        fleet = CrowdedFleet(tmp_path, FEW_DESCRIPTORS, {})
        async with fleet.running():
            await fleet.admit_large_requests()
            seen = await fleet.watch_crowd(MANY_CALLERS, way, SEND_S)
            assert seen.descriptors <= MAX_DESCRIPTORS
            assert seen.answered == {place.name for place in fleet.places()}

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "way",
    [
        stop_in_small_body,
        send_small_body_slowly,
        stop_in_body,
        stop_in_body_of_pieces,
        stop_in_body_of_chunks,
        send_body_slowly,
        announce_too_large_body,
        send_too_large_body_of_chunks,
        send_many_fields,
        send_many_query_members,
        send_endless_chunk_extension,
        stop_in_trailers,
        send_many_trailers,
        send_requests_ahead,
        send_bodies_ahead,
    ],
)
def test_crowd_leaves_a_node_its_memory(
    way: Callable[[Place], Script], tmp_path: pathlib.Path
) -> None:
    """A node that kept what each caller sent ran out of memory."""

    async def scenario() -> None:
        changes = {"memory_mb": MEMORY_MB}
        fleet = CrowdedFleet(tmp_path, ENOUGH_DESCRIPTORS, changes)
        async with fleet.running():
            await fleet.admit_large_requests()
            seen = await fleet.watch_crowd(SOME_CALLERS, way, SEND_S)
            assert seen.peak_kb < MAX_NODE_KB
            assert seen.answered == {place.name for place in fleet.places()}

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "way",
    [stop_in_small_body, send_small_body_slowly, stop_in_bodies_of_all_sizes],
)
def test_bodies_without_an_end_leave_memory_for_others(
    way: Callable[[Place], Script], tmp_path: pathlib.Path
) -> None:
    """They held all memory for bodies until a time-out."""

    async def scenario() -> None:
        changes = {"memory_mb": LITTLE_MEMORY_MB}
        fleet = CrowdedFleet(tmp_path, ENOUGH_DESCRIPTORS, changes)
        async with fleet.running():
            await fleet.admit_large_requests()
            seen = await fleet.watch_crowd(BODY_CALLERS, way, SEND_S)
            assert seen.peak_kb < MAX_NODE_KB
            assert seen.answered == {place.name for place in fleet.places()}

    asyncio.run(scenario())
