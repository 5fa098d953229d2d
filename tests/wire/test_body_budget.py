"""Tests of the memory that the bodies of requests share."""

import asyncio
import functools
import random
import time

import pytest

from savorylift.wire.body_admission import BodyAdmission
from savorylift.wire.body_budget import SMALL_BODY_BYTES, BodyBudget
from savorylift.wire.body_lease import BodyLease
from savorylift.wire.channel import Channel
from savorylift.wire.message import Request, decode_milliseconds
from savorylift.wire.progress import Phase, Progress
from savorylift.wire.request_input import BadRequest, CloseReason, InputLimits
from savorylift.wire.server_connection import ServerConnection
from tests.wire.loopback import open_connection_pair, run_with_timeout

# Of which large bodies may take seven eighths.
BUDGET_BYTES = 8_000_000
LARGE_BYTES = 4_000_000
LIMITS = InputLimits(max_body_bytes=LARGE_BYTES, idle_timeout_s=1.0)
HEAD = b"POST /a/ HTTP/1.1\r\nHost: h\r\nTime-Left: 2000\r\n"
PATIENT_HEAD = HEAD.replace(b"2000", b"4000")
# A fifth of the time that callers have left.
WAIT_S = 0.4


class Node:
    """Connections with one budget."""

    def __init__(self) -> None:
        self.held = 0
        self.budget = BodyBudget(BUDGET_BYTES, on_held=self._count)
        self._admission = BodyAdmission(
            self.budget, lambda h: decode_milliseconds(h, "time-left")
        )

    def _count(self) -> None:
        self.held += 1

    async def open(self) -> tuple[ServerConnection, Channel]:
        """Returns both ends of a new connection."""
        return await open_connection_pair(LIMITS, self._admission)

    async def start_upload(
        self, size: int, head: bytes = HEAD
    ) -> "asyncio.Task[Request | BadRequest | CloseReason]":
        """Begins to read a request, of which the caller sends the head."""
        conn, caller = await self.open()
        caller.write(head + b"Content-Length: %d\r\n\r\n" % size)
        reading = asyncio.ensure_future(conn.next_request())
        await asyncio.sleep(0.05)
        return reading


def chunk(size: int) -> bytes:
    return b"%x\r\n%b\r\n" % (size, bytes(size))


def test_large_body_waits_until_another_one_is_released() -> None:
    """Bodies that were all read at once took a node's memory."""

    async def scenario() -> None:
        node = Node()
        first, first_caller = await node.open()
        second, second_caller = await node.open()
        body = bytes(LARGE_BYTES)
        for caller in (first_caller, second_caller):
            caller.write(HEAD + b"Content-Length: %d\r\n\r\n" % len(body))
            caller.write(body)
        assert isinstance(await first.next_request(), Request)
        reading = asyncio.ensure_future(second.next_request())
        await asyncio.sleep(WAIT_S / 2)
        assert not reading.done()
        assert node.held == 1
        first.release_body()
        req = await reading
        assert isinstance(req, Request)
        assert req.body == body
        assert node.budget.held_bytes == LARGE_BYTES
        second.release_body()
        assert node.budget.held_bytes == 0

    run_with_timeout(scenario())


def test_large_body_without_memory_is_refused_early_as_not_run() -> None:
    """A request must not wait until its deadline has passed."""

    async def scenario() -> None:
        node = Node()
        await node.start_upload(LARGE_BYTES)
        began_s = time.monotonic()
        req = await (await node.start_upload(LARGE_BYTES))
        assert isinstance(req, BadRequest)
        assert req.status == 503
        assert req.retry_after_s
        assert time.monotonic() - began_s < WAIT_S + 0.3
        assert node.budget.held_bytes == LARGE_BYTES

    run_with_timeout(scenario())


@pytest.mark.parametrize("is_chunked", [False, True], ids=["length", "chunks"])
def test_small_body_is_read_while_large_ones_wait(*, is_chunked: bool) -> None:
    async def scenario() -> None:
        node = Node()
        for _ in range(2):
            await node.start_upload(LARGE_BYTES)
        assert node.held == 1
        conn, caller = await node.open()
        framing = b"Content-Length: 3\r\n\r\nabc"
        if is_chunked:
            framing = b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
        caller.write(HEAD + framing)
        async with asyncio.timeout(WAIT_S / 2):
            req = await conn.next_request()
        assert isinstance(req, Request)
        assert req.body == b"abc"
        assert node.budget.held_bytes == LARGE_BYTES + 3

    run_with_timeout(scenario())


def test_bodies_in_chunks_that_use_up_the_memory_are_read_to_their_end() -> (
    None
):
    """Bodies that grow side by side could each wait for the others."""

    async def scenario() -> None:
        node = Node()
        pairs = [await node.open() for _ in range(3)]
        readings = [asyncio.ensure_future(c.next_request()) for c, _ in pairs]
        for _, caller in pairs:
            caller.write(HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
        for _ in range(25):
            for _, caller in pairs:
                caller.write(chunk(SMALL_BODY_BYTES // 2))
            await asyncio.sleep(0.01)
        for _, caller in pairs:
            caller.write(b"0\r\n\r\n")
        done = await asyncio.gather(*readings)
        read = [r for r in done if isinstance(r, Request)]
        assert len(read) >= 1
        assert all(r.status == 503 for r in done if isinstance(r, BadRequest))
        # What they didn't need is free again.
        assert node.budget.held_bytes == sum(len(r.body) for r in read)

    run_with_timeout(scenario())


def test_body_that_stalls_or_trickles_frees_its_memory() -> None:
    """A caller that sends a byte now and then held memory for ever."""

    async def scenario() -> None:
        node = Node()
        stalled = await node.start_upload(LARGE_BYTES)
        req = await stalled
        assert isinstance(req, BadRequest)
        assert req.status == 408
        conn, caller = await node.open()
        caller.write(HEAD + b"Content-Length: %d\r\n\r\n" % LARGE_BYTES)
        reading = asyncio.ensure_future(conn.next_request())
        while not reading.done():
            caller.write(b"x")
            await asyncio.sleep(LIMITS.idle_timeout_s / 5)
        assert isinstance(req := await reading, BadRequest)
        assert req.status == 408
        assert node.budget.held_bytes == 0

    run_with_timeout(scenario())


@pytest.mark.parametrize("is_reset", [False, True])
def test_caller_that_leaves_frees_its_memory(*, is_reset: bool) -> None:
    async def scenario() -> None:
        node = Node()
        conn, caller = await node.open()
        caller.write(HEAD + b"Content-Length: %d\r\n\r\nab" % LARGE_BYTES)
        reading = asyncio.ensure_future(conn.next_request())
        await asyncio.sleep(0.05)
        assert node.budget.held_bytes == LARGE_BYTES
        if is_reset:
            caller.reset_on_close()
        caller.close()
        assert await reading is CloseReason.ENDED
        assert node.budget.held_bytes == 0

    run_with_timeout(scenario())


def test_body_above_the_whole_budget_is_admitted_alone() -> None:
    """No body that the configuration allows may be refused for ever."""

    async def scenario() -> None:
        budget = BodyBudget(BUDGET_BYTES)
        lease, other = BodyLease(), BodyLease()
        assert await budget.take(lease, 2 * BUDGET_BYTES, 0.0)
        assert not await budget.take(other, LARGE_BYTES, 0.0)
        budget.release(lease)
        assert await budget.take(other, LARGE_BYTES, 0.0)
        assert not await budget.take(lease, 2 * BUDGET_BYTES, 0.0)

    run_with_timeout(scenario())


def test_bodies_that_wait_are_bounded_too() -> None:
    """The buffers of connections that wait are memory as well."""

    async def scenario() -> None:
        node = Node()
        readings = [
            await node.start_upload(LARGE_BYTES, PATIENT_HEAD) for _ in range(8)
        ]
        refused = [r for r in readings if r.done()]
        # One is read, and an eighth of the budget lets three wait.
        assert len(refused) == 4
        for reading in readings:
            reading.cancel()
        await asyncio.wait(readings)
        assert node.budget.held_bytes == 0

    run_with_timeout(scenario())


@pytest.mark.parametrize("seed", range(20))
def test_budget_is_never_exceeded_and_never_lost(seed: int) -> None:
    """Bodies come, wait, are cancelled and end in any order."""
    rng = random.Random(seed)

    async def hold(budget: BodyBudget) -> None:
        lease = BodyLease()
        try:
            await asyncio.sleep(rng.random() * 0.05)
            size = rng.choice([100, 60_000, 300_000, 5_000_000, 20_000_000])
            if await budget.take(lease, size, rng.random() * 0.05):
                assert 0 < budget.held_bytes <= BUDGET_BYTES
                await asyncio.sleep(rng.random() * 0.02)
                budget.shrink(lease, size // 2)
                await asyncio.sleep(rng.random() * 0.02)
            else:
                assert lease.small + lease.large == 0
        finally:
            budget.release(lease)

    async def scenario() -> None:
        budget = BodyBudget(BUDGET_BYTES)
        tasks = [asyncio.ensure_future(hold(budget)) for _ in range(60)]
        await asyncio.sleep(0.03)
        for task in rng.sample(tasks, 15):
            task.cancel()
        await asyncio.wait(tasks)
        for task in tasks:
            if not task.cancelled():
                task.result()
        assert budget.held_bytes == 0
        lease = BodyLease()
        assert budget.take_now(lease, 2 * BUDGET_BYTES)

    run_with_timeout(scenario())


def test_unread_answers_are_cut_oldest_first_once_there_are_too_many() -> None:
    """What callers didn't read of their answers was kept without bound."""

    async def scenario() -> None:
        budget = BodyBudget(BUDGET_BYTES)
        cut: list[int] = []
        leases = [BodyLease() for _ in range(3)]
        for number, lease in enumerate(leases):
            cut_it = functools.partial(cut.append, number)
            budget.add_unread(lease, 3_000_000, cut_it)
        assert cut == [0]
        assert budget.held_bytes == 6_000_000
        for lease in leases:
            budget.release(lease)
        assert budget.held_bytes == 0

    run_with_timeout(scenario())


def test_unread_answers_are_kept_while_bodies_take_the_memory() -> None:
    """They are few: the bodies will be answered, and then there is room."""

    async def scenario() -> None:
        budget = BodyBudget(BUDGET_BYTES)
        body, answer = BodyLease(), BodyLease()
        assert budget.take_now(body, BUDGET_BYTES)
        budget.add_unread(answer, BUDGET_BYTES // 8, pytest.fail)
        assert not budget.take_now(BodyLease(), LARGE_BYTES)
        budget.release(body)
        budget.release(answer)
        assert budget.held_bytes == 0

    run_with_timeout(scenario())


def slow_lease(budget: BodyBudget, moved: int) -> BodyLease:
    """Returns a lease of a body that began long ago."""
    progress = Progress()
    progress.enter(Phase.BODY)
    progress.since_s -= 100.0
    progress.moved_bytes = moved
    lease = BodyLease(progress, lambda: budget.release(lease))
    return lease


@pytest.mark.parametrize(("moved", "is_closed"), [(0, True), (1 << 30, False)])
@pytest.mark.parametrize("size", [SMALL_BODY_BYTES, LARGE_BYTES])
def test_body_that_stops_gives_its_memory_to_others(
    moved: int,
    size: int,
    is_closed: bool,  # noqa: FBT001
) -> None:
    """Those that stopped short of their end held it until a time-out."""

    async def scenario() -> None:
        closed: list[None] = []
        budget = BodyBudget(BUDGET_BYTES, on_closed=lambda: closed.append(None))
        lease = slow_lease(budget, moved)
        while budget.take_now(lease, size):
            pass
        if size == SMALL_BODY_BYTES:
            assert budget.held_bytes > 0.9 * BUDGET_BYTES
        is_taken = await budget.take(BodyLease(), size, 0.05)
        assert is_taken is is_closed
        assert bool(closed) is is_closed

    run_with_timeout(scenario())


def test_small_body_that_waits_gets_memory_of_small_bodies() -> None:
    """It waited behind large ones, which get no such memory."""

    async def scenario() -> None:
        budget = BodyBudget(BUDGET_BYTES)
        large, small = BodyLease(), BodyLease()
        assert budget.take_now(large, BUDGET_BYTES)
        while budget.take_now(small, SMALL_BODY_BYTES):
            pass
        waiting_large = asyncio.ensure_future(
            budget.take(BodyLease(), LARGE_BYTES, 0.2)
        )
        await asyncio.sleep(0)
        waiting = asyncio.ensure_future(
            budget.take(BodyLease(), SMALL_BODY_BYTES, 0.2)
        )
        await asyncio.sleep(0)
        budget.release(small)
        assert await waiting
        assert not await waiting_large

    run_with_timeout(scenario())
