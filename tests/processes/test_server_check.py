"""Tests of the check whether a server that closed a connection is gone."""

import asyncio
import random
import time
from typing import cast

import pytest

from savorylift.backends.registry import BackendServer
from savorylift.backends.server import ServerEntry
from savorylift.backends.server_start import NO_START
from savorylift.limits.limit_gate import LimitGate, Permit
from savorylift.platform.engine_client import read_start_on
from savorylift.processes import server_contact
from savorylift.processes.request_connections import CLOSING_S
from savorylift.processes.server_check import ProcessEnd, ServerCheck
from savorylift.processes.server_inquiry import (
    CHECK_TIMEOUT_S,
    PERMIT_WAIT_S,
)
from savorylift.wire.channel import MAX_READ_BUFFER_BYTES, Channel
from savorylift.wire.connecting import connect
from savorylift.wire.purpose import Purpose
from tests.exchange.factories import make_server
from tests.harness.ports import free_addresses
from tests.wire.loopback import run_with_timeout, serve_bytes


class FakeGate:
    """Grants permits, or none.

    Attributes:
        asked: Number of permits that probes asked for.
        leaves_none: Whether requests leave nothing for probes.
    """

    def __init__(self, *, grants: bool, has_limit: bool) -> None:
        self._grants = grants
        self._has_limit = has_limit
        self._was_probe_denied = False
        self.asked = 0
        self.leaves_none = False

    def is_limited(self, _entry: ServerEntry) -> bool:
        return self._has_limit

    async def acquire(
        self,
        _server: BackendServer,
        _request: str,
        max_wait_s: float,
        *,
        is_probe: bool = False,
    ) -> Permit | None:
        is_granted = self._grants and not (is_probe and self.leaves_none)
        if is_probe:
            assert max_wait_s == 0.0
            self.asked += 1
        else:
            assert self._was_probe_denied
            assert max_wait_s == PERMIT_WAIT_S
        self._was_probe_denied = is_probe and not is_granted
        return Permit(None) if is_granted else None


def make_check(
    *,
    grants: bool = True,
    has_limit: bool = False,
    in_service: bool = True,
    is_held: bool = False,
) -> tuple[ServerCheck, FakeGate]:
    gate = FakeGate(grants=grants, has_limit=has_limit or not grants)
    check = ServerCheck(
        cast("LimitGate", gate),
        lambda _: in_service,
        lambda _: is_held,
        read_start_on,
    )
    return check, gate


def server_at(
    port: int, server_id: str = "i-1", started_ms: int = NO_START
) -> BackendServer:
    server = make_server(server_id)
    entry = server.entry._replace(
        address=("127.0.0.1", port), started_ms=started_ms
    )
    return server._replace(entry=entry)


async def discard(channel: Channel) -> None:
    await channel.read()


class Reporter:
    """A server that says when it started.

    Attributes:
        report: Its whole answer; empty to close the connection without one.
        asked: Number of times that it was asked.
        connections: Number of connections that it accepted.
    """

    def __init__(self, report: bytes) -> None:
        self.report = report
        self.asked = 0
        self.connections = 0
        self.port = 0
        self._listener: asyncio.Server | None = None

    async def start(self, port: int = 0) -> None:
        self._listener, self.port = await serve_bytes(self._serve, port)

    def stop(self) -> None:
        assert self._listener is not None
        self._listener.close()

    async def _serve(self, channel: Channel) -> None:
        self.connections += 1
        if await channel.read():
            self.asked += 1
        channel.write(self.report)
        channel.close()


def report_of(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (
        len(body),
        body,
    )


async def begin(check: ServerCheck, server: BackendServer) -> Channel:
    """Opens a connection for a request."""
    channel = await connect(*server.entry.address, 1.0)
    check.add_channel(server, channel)
    return channel


async def begin_unframed(check: ServerCheck, server: BackendServer) -> Channel:
    """Begins an answer without framing, beside an idle connection."""
    channel = await begin(check, server)
    check.begin_unframed(server, channel)
    async with asyncio.timeout(1.0):
        while channel not in check._idle._matches:
            await asyncio.sleep(0.005)
    return channel


async def open_channel(check: ServerCheck, server: BackendServer) -> Channel:
    """Opens a connection for a request, and closes it."""
    channel = await begin(check, server)
    channel.abort()
    return channel


@pytest.mark.parametrize(
    ("is_listening", "grants", "in_service", "end"),
    [
        (False, True, True, ProcessEnd.ENDED),
        (True, True, True, ProcessEnd.LIVES),
        (False, False, True, ProcessEnd.ENDED),
        (True, False, True, ProcessEnd.LIVES),
        (False, True, False, ProcessEnd.LEFT),
        (True, True, False, ProcessEnd.LIVES),
    ],
    ids=[
        "gone",
        "accepts",
        "gone, no permit",
        "accepts, no permit",
        "draining, gone",
        "draining, accepts",
    ],
)
def test_server_that_names_no_start_lives_as_long_as_it_accepts(
    is_listening: bool,  # noqa: FBT001
    grants: bool,  # noqa: FBT001
    in_service: bool,  # noqa: FBT001
    end: ProcessEnd,
) -> None:
    async def scenario() -> None:
        port = int(free_addresses(1)[0].rpartition(":")[2])
        if is_listening:
            _, port = await serve_bytes(discard)
        check, _ = make_check(grants=grants, in_service=in_service)
        assert await check.find_end(server_at(port), Channel(), "a1") is end

    run_with_timeout(scenario())


@pytest.mark.parametrize("grants", [True, False])
def test_full_server_with_an_open_connection_is_not_gone(
    grants: bool,  # noqa: FBT001
) -> None:
    async def scenario() -> None:
        accepted: list[Channel] = []

        async def serve_two(channel: Channel) -> None:
            accepted.append(channel)
            if len(accepted) > 2:
                channel.abort()
            await channel.peer_closed.wait()

        _, port = await serve_bytes(serve_two)
        server = server_at(port, started_ms=5)
        check, _ = make_check(grants=grants)
        answered = await begin(check, server)
        channel = await begin(check, server)
        answered.abort()
        end = await check.find_end(server, answered, "a1")
        assert end is ProcessEnd.LIVES
        channel.abort()
        await asyncio.sleep(0.01)
        end = await check.find_end(server, answered, "a2")
        assert end is ProcessEnd.UNKNOWN

    run_with_timeout(scenario())


@pytest.mark.parametrize("grants", [True, False])
def test_server_that_refuses_is_gone_while_it_closes_its_connections(
    grants: bool,  # noqa: FBT001
) -> None:
    """One that ended closed its last ones so late that it counted as full."""

    async def scenario() -> None:
        listener, port = await serve_bytes(discard)
        server = server_at(port, started_ms=5)
        check, gate = make_check(grants=grants)
        answered = await begin(check, server)
        channel = await begin(check, server)
        answered.abort()
        listener.close()
        end = await check.find_end(server, answered, "a1")
        assert end is ProcessEnd.ENDED
        assert gate.asked == 0 or grants
        channel.abort()

    run_with_timeout(scenario())


def test_connection_whose_end_does_not_show_speaks_for_no_process() -> None:
    """A full connection to a process that had ended passed for an open one."""

    async def scenario() -> None:
        async def fill(channel: Channel) -> None:
            channel.write(b"x" * 2 * MAX_READ_BUFFER_BYTES)
            await channel.drain()
            channel.close()

        listener, port = await serve_bytes(fill)
        server = server_at(port)
        check, _ = make_check()
        answered = await begin(check, server)
        unread = await begin(check, server)
        await asyncio.sleep(0.1)
        answered.abort()
        listener.close()
        assert not unread.is_peer_closed
        end = await check.find_end(server, answered, "a1")
        assert end is ProcessEnd.ENDED
        unread.abort()

    run_with_timeout(scenario())


def test_process_that_closes_many_connections_slowly_is_gone() -> None:
    """Its last connections were open for longer than a fixed wait."""

    async def scenario() -> None:
        listener, port = await serve_bytes(discard)
        server = server_at(port)
        check, _ = make_check()
        answered = await begin(check, server)
        loop = asyncio.get_running_loop()
        for number in range(6):
            channel = await begin(check, server)
            loop.call_later(number * CLOSING_S / 2, channel.abort)
        answered.abort()
        listener.close()
        end = await check.find_end(server, answered, "a1")
        assert end is ProcessEnd.ENDED

    run_with_timeout(scenario())


@pytest.mark.parametrize("late_s", [0.0, 2 * CLOSING_S])
def test_process_that_closes_connections_one_after_the_other_is_gone(
    late_s: float,
) -> None:
    async def scenario() -> None:
        listener, port = await serve_bytes(discard)
        server = server_at(port)
        check, _ = make_check()
        answered = await begin(check, server)
        for _ in range(3):
            channel = await begin(check, server)
            asyncio.get_running_loop().call_later(CLOSING_S / 2, channel.abort)
        answered.abort()
        listener.close()
        asyncio.get_running_loop().call_later(CLOSING_S / 4, time.sleep, late_s)
        end = await check.find_end(server, answered, "a1")
        assert end is ProcessEnd.ENDED

    run_with_timeout(scenario())


@pytest.mark.parametrize("is_checked_together", [False, True])
def test_process_at_another_address_does_not_speak_for_one_that_is_gone(
    is_checked_together: bool,  # noqa: FBT001
) -> None:
    """A server that moved kept the answers of its earlier process whole."""

    async def scenario() -> None:
        listener, gone_port = await serve_bytes(discard)
        _, port = await serve_bytes(discard)
        check, _ = make_check()
        gone = await open_channel(check, server_at(gone_port))
        listener.close()
        moved = server_at(port)
        answered = await begin_unframed(check, moved)
        checks = []
        if is_checked_together:
            answered.abort()
            checks.append(check.find_end(moved, answered, "a0"))
        checks.append(check.find_end(server_at(gone_port), gone, "a1"))
        found = await asyncio.gather(*checks)
        assert found[-1] is ProcessEnd.ENDED
        assert all(end is ProcessEnd.LIVES for end in found[:-1])

    run_with_timeout(scenario())


@pytest.mark.parametrize("born", [5, 6])
def test_server_that_listens_again_is_judged_by_its_start(born: int) -> None:
    async def scenario() -> None:
        reporter = Reporter(report_of(b'{"born": %d}' % born))
        await reporter.start()
        server = server_at(reporter.port, started_ms=5)
        check, _ = make_check()
        answered = await begin(check, server)
        other = await begin(check, server)
        answered.abort()
        reporter.stop()
        checking = asyncio.ensure_future(check.find_end(server, answered, "a1"))
        await asyncio.sleep(CLOSING_S / 3)
        assert not checking.done()
        await reporter.start(reporter.port)
        other.abort()
        expected = ProcessEnd.LIVES if born == 5 else ProcessEnd.ENDED
        assert await checking is expected

    run_with_timeout(scenario())


def test_later_answer_is_not_judged_by_an_earlier_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    connects: list[str] = []

    async def count(
        host: str, port: int, timeout_s: float, purpose: Purpose
    ) -> Channel:
        connects.append(host)
        return await connect(host, port, timeout_s, purpose)

    async def scenario() -> None:
        monkeypatch.setattr(server_contact, "connect", count)
        check, _ = make_check()
        accepted = asyncio.Event()

        async def accept(channel: Channel) -> None:
            accepted.set()
            await channel.read()

        listener, port = await serve_bytes(accept)
        server = server_at(port)
        first = asyncio.ensure_future(check.find_end(server, Channel(), "a0"))
        await accepted.wait()
        listener.close()
        later = [
            asyncio.ensure_future(
                check.find_end(server, Channel(), f"a{number}")
            )
            for number in range(1, 9)
        ]
        assert await first is ProcessEnd.LIVES
        assert await asyncio.gather(*later) == [ProcessEnd.ENDED] * 8
        assert len(connects) == 2

    run_with_timeout(scenario())


@pytest.mark.parametrize("has_idle", [False, True])
@pytest.mark.parametrize(
    ("report", "end"),
    [
        (report_of(b'{"born": 5}'), ProcessEnd.LIVES),
        (report_of(b'{"born": 6}'), ProcessEnd.ENDED),
        (report_of(b'{"born": 4}'), ProcessEnd.ENDED),
        (report_of(b"{}"), ProcessEnd.UNKNOWN),
        (report_of(b"x"), ProcessEnd.UNKNOWN),
        (
            b"HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n",
            ProcessEnd.UNKNOWN,
        ),
        (b"", ProcessEnd.UNKNOWN),
    ],
    ids=["same", "later", "earlier", "no start", "unreadable", "404", "closes"],
)
def test_server_in_whose_place_another_process_listens_is_gone(
    report: bytes,
    end: ProcessEnd,
    has_idle: bool,  # noqa: FBT001
) -> None:
    async def scenario() -> None:
        reporter = Reporter(report)
        await reporter.start()
        check, _ = make_check()
        server = server_at(reporter.port, started_ms=5)
        begin_answer = begin_unframed if has_idle else begin
        channel = await begin_answer(check, server)
        channel.abort()
        found = await check.find_end(server, channel, "a1")
        is_told = has_idle and end is ProcessEnd.UNKNOWN
        assert found is (ProcessEnd.LIVES if is_told else end)

    run_with_timeout(scenario())


@pytest.mark.parametrize(
    ("grants", "in_service", "is_held"),
    [(False, True, False), (True, False, False), (True, True, True)],
    ids=["no permit", "draining", "wants nothing"],
)
def test_server_that_wants_no_requests_is_not_asked(
    grants: bool,  # noqa: FBT001
    in_service: bool,  # noqa: FBT001
    is_held: bool,  # noqa: FBT001
) -> None:
    async def scenario() -> None:
        reporter = Reporter(report_of(b'{"born": 6}'))
        await reporter.start()
        check, _ = make_check(
            grants=grants, in_service=in_service, is_held=is_held
        )
        server = server_at(reporter.port, started_ms=5)
        channel = await open_channel(check, server)
        found = await check.find_end(server, channel, "a1")
        assert found is (ProcessEnd.UNKNOWN if in_service else ProcessEnd.LEFT)
        assert reporter.asked == 0

    run_with_timeout(scenario())


def test_idle_connection_of_a_draining_server_is_watched_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The caller of a stream that has ended waits for its end meanwhile."""
    monkeypatch.setattr(server_contact, "SETTLE_S", CLOSING_S)

    async def scenario() -> None:
        listener, port = await serve_bytes(discard)
        check, _ = make_check(in_service=False)
        server = server_at(port, started_ms=5)
        took_s = []
        for _ in range(5):
            channel = await begin_unframed(check, server)
            channel.abort()
            began_s = time.monotonic()
            found = await check.find_end(server, channel, "a1")
            took_s.append(time.monotonic() - began_s)
            assert found is ProcessEnd.LIVES
            check.end_unframed(channel)
        assert CLOSING_S <= min(took_s) < 1.8 * CLOSING_S
        listener.close()

    run_with_timeout(scenario())


def test_limited_server_without_spare_permits_is_asked_in_its_turn() -> None:
    async def scenario() -> None:
        reporter = Reporter(report_of(b'{"born": 6}'))
        await reporter.start()
        check, gate = make_check(has_limit=True)
        gate.leaves_none = True
        server = server_at(reporter.port, started_ms=5)
        channel = await open_channel(check, server)
        end = await check.find_end(server, channel, "a1")
        assert end is ProcessEnd.ENDED
        assert reporter.asked == 1

    run_with_timeout(scenario())


def test_process_whose_entry_is_late_is_known_after_its_first_answer() -> None:
    async def scenario() -> None:
        reporter = Reporter(report_of(b'{"born": 6}'))
        await reporter.start()
        check, _ = make_check()
        server = server_at(reporter.port, started_ms=5)
        first = await open_channel(check, server)
        ends = [await check.find_end(server, first, "a1")]
        later = await open_channel(check, server)
        ends.append(await check.find_end(server, later, "a2"))
        ends.append(await check.find_end(server, first, "a1"))
        reporter.report = report_of(b'{"born": 7}')
        ends.append(await check.find_end(server, later, "a2"))
        assert ends == [
            ProcessEnd.ENDED,
            ProcessEnd.LIVES,
            ProcessEnd.ENDED,
            ProcessEnd.ENDED,
        ]

    run_with_timeout(scenario())


def test_process_that_accepts_a_last_connection_as_it_ends_is_gone() -> None:
    async def scenario() -> None:
        reporter = Reporter(b"")
        await reporter.start()
        check, _ = make_check()
        server = server_at(reporter.port, started_ms=5)
        channel = await open_channel(check, server)
        checking = asyncio.ensure_future(check.find_end(server, channel, "a1"))
        while not reporter.asked:
            await asyncio.sleep(0)
        reporter.stop()
        assert await checking is ProcessEnd.ENDED
        assert reporter.asked == 1

    run_with_timeout(scenario())


def test_start_is_asked_once_for_answers_that_end_together() -> None:
    async def scenario() -> None:
        reporter = Reporter(report_of(b'{"born": 6}'))
        await reporter.start()
        check, _ = make_check()
        known = [server_at(reporter.port, started_ms=n) for n in (5, 6)] * 10
        channels = [await open_channel(check, server) for server in known]
        found = await asyncio.gather(
            *(
                check.find_end(server, channel, "a1")
                for server, channel in zip(known, channels, strict=True)
            )
        )
        assert found == [ProcessEnd.ENDED, ProcessEnd.LIVES] * 10
        assert reporter.asked == 1

    run_with_timeout(scenario())


def test_checks_leave_nothing_behind() -> None:
    async def scenario() -> None:
        check, _ = make_check()
        rng = random.Random(1)
        for number in range(50):
            server = server_at(rng.randrange(1, 100), f"s{number}")
            await check.find_end(server, Channel(), f"a{number}")
        assert not check._inquiry._checks._running
        assert not check._inquiry._checks._waiting

    run_with_timeout(scenario())


@pytest.mark.parametrize("steps", range(1, 9))
def test_server_that_refuses_a_late_node_is_gone(steps: int) -> None:
    async def scenario() -> None:
        port = int(free_addresses(1)[0].rpartition(":")[2])
        check, _ = make_check()
        checking = asyncio.ensure_future(
            check.find_end(server_at(port), Channel(), "a1")
        )
        for _ in range(steps):
            await asyncio.sleep(0)
        time.sleep(2 * CHECK_TIMEOUT_S)
        assert await checking is ProcessEnd.ENDED

    run_with_timeout(scenario())
