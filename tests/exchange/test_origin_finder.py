"""Tests of finding where a stream began that is taken up."""

import asyncio
import random
import time
from typing import Any

import pytest

from savorylift.backends.registry import BackendServer
from savorylift.exchange.admission import AdmittedRequest
from savorylift.exchange.origin_finder import (
    MAX_SERVERS_ASKED,
    MIN_UPTIME_S,
    OriginFinder,
)
from savorylift.exchange.results import Doubt
from savorylift.exchange.server_pool import ServerPool
from savorylift.exchange.stream_beginnings import RESUME_SLACK_S, process_of
from savorylift.fleet.state import UNKNOWN_VERSION, StreamOrigin
from savorylift.fleet.version_history import VersionHistory
from savorylift.processes.life_report import Life, LifeReport
from tests.exchange.factories import (
    make_admitted_request,
    make_caller_request,
    make_pool,
    make_route,
    make_server_entry,
    make_store_view,
)
from tests.harness.virtual_time import run_in_virtual_time

ORIGIN = StreamOrigin("s1", "s", "v1", 30.0)
SAVED = StreamOrigin("s1", "s", "v2", 30.0)
UNCERTAIN = ORIGIN._replace(software_version=UNKNOWN_VERSION)
ENTRY = make_server_entry("a")._replace(software_version="v1")
# What was known as the stream began: the entry, and that it was read before.
OF_ENTRY = UNCERTAIN._replace(process=process_of(ENTRY, 1.0))
OF_OTHER = UNCERTAIN._replace(
    process=process_of(ENTRY._replace(started_ms=2), 1.0)
)
OF_GONE = UNCERTAIN._replace(
    process=process_of(ENTRY._replace(server_id="gone"), 1.0)
)


class Origins:
    """Nodes or a store that know where a stream began, or not."""

    def __init__(self, origin: StreamOrigin | None) -> None:
        self._origin = origin
        self.questions = 0

    async def find(self, _: str) -> StreamOrigin | None:
        self.questions += 1
        return self._origin


class Stored:
    """A store that says which versions of any service may count.

    Attributes:
        versions: The versions; None while it can't be read.
        since_s: From when on they had to be read, in the last question.
    """

    def __init__(self, versions: frozenset[str] | None) -> None:
        self.versions = versions
        self.since_s: float | None = None

    async def find(self, _: str, since_s: float) -> frozenset[str] | None:
        self.since_s = since_s
        return self.versions


class Lives:
    """Servers of which all answer alike, but for some.

    Attributes:
        asked: IDs of the servers asked.
    """

    def __init__(self, life: Life, others: dict[str, Life]) -> None:
        self._life = life
        self._others = others
        self.asked: list[str] = []

    async def check(
        self, server: BackendServer, *_: object, **__: object
    ) -> LifeReport:
        server_id = server.entry.server_id
        self.asked.append(server_id)
        return LifeReport(self._others.get(server_id, self._life))


class Fixture:
    """A finder with servers that all have one version.

    Attributes:
        finder: The finder.
        pool: The servers.
        history: What is known of their versions.
        store: The store.
        lives: What the servers answer.
        stored: What the store says of their versions.
    """

    def __init__(
        self,
        origin: StreamOrigin | None = None,
        saved: StreamOrigin | None = None,
        life: Life = Life.SAME,
        others: dict[str, Life] | None = None,
        version: str = "v1",
        count: int = 1,
    ) -> None:
        self.pool = make_servers(version, count)
        self.history = VersionHistory()
        self.history.is_complete = True
        entries = [s.entry for s in self.pool.servers_in_service("s")]
        self.history.observe(entries, time.monotonic())
        self.store = Origins(saved)
        self.lives = Lives(life, others or {})
        self.stored = Stored(frozenset({version}))
        nodes: Any = Origins(origin)
        store: Any = self.store
        lives: Any = self.lives
        stored: Any = self.stored
        self.finder = OriginFinder(
            nodes,
            store,
            self.history,
            stored,
            lives,
            self.pool,
            random.Random(1),
        )

    def restart(self, server_id: str = "a") -> None:
        """Lets another process of a server write its entry."""
        entry = self.pool.find_entry(server_id)
        assert entry is not None
        self.pool._registry.put(entry._replace(started_ms=9), time.monotonic())


def make_servers(version: str, count: int) -> ServerPool:
    """Returns a pool with server `a`, and others up to a count."""
    store_view = make_store_view()
    names = ["a", *(f"b{number}" for number in range(count - 1))]
    for name in names:
        entry = ENTRY._replace(server_id=name, software_version=version)
        store_view.registry.put(entry, time.monotonic())
    return make_pool(store_view)


def take_up(version: str | None = None) -> AdmittedRequest:
    req = make_caller_request()._replace(resumes="s1", resume_after="4")
    route = make_route()._replace(can_resume=True)
    admitted = make_admitted_request(req, route)
    return admitted._replace(software_version=version)


@pytest.mark.parametrize(
    ("origin", "saved", "life", "expected"),
    [
        (ORIGIN, SAVED, Life.SAME, ORIGIN),
        (None, SAVED, Life.SAME, SAVED),
        (None, None, Life.SAME, None),
        (UNCERTAIN, SAVED, Life.SAME, SAVED),
        (UNCERTAIN, None, Life.SAME, UNCERTAIN),
        # The process that may have begun it still answers, or not.
        (OF_ENTRY, SAVED, Life.SAME, OF_ENTRY._replace(software_version="v1")),
        (OF_ENTRY, SAVED, Life.OTHER, SAVED),
        (OF_ENTRY, SAVED, Life.SILENT, SAVED),
        (OF_OTHER, SAVED, Life.SAME, SAVED),
        (OF_GONE, SAVED, Life.SAME, SAVED),
    ],
)
def test_store_is_asked_if_no_node_is_certain(
    origin: StreamOrigin | None,
    saved: StreamOrigin | None,
    life: Life,
    expected: StreamOrigin | None,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        fixture = Fixture(origin, saved, life)
        fixture.history.is_complete = False
        await asyncio.sleep(MIN_UPTIME_S)
        assert await fixture.finder.find(take_up()) == expected
        is_told = expected is not None and expected.is_certain
        is_told = is_told and expected is not SAVED
        assert fixture.store.questions == (0 if is_told else 1)

    run_in_virtual_time(monkeypatch, scenario)


@pytest.mark.parametrize(
    ("version", "has_restarted", "questions"),
    [("v1", False, 0), ("v1", True, 1), ("", True, 0)],
)
def test_store_is_not_asked_where_the_version_can_only_be_one(
    version: str,
    *,
    has_restarted: bool,
    questions: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        fixture = Fixture(version=version)
        await asyncio.sleep(MIN_UPTIME_S)
        if has_restarted:
            fixture.restart()
        assert await fixture.finder.find(take_up()) is None
        assert fixture.store.questions == questions

    run_in_virtual_time(monkeypatch, scenario)


@pytest.mark.parametrize(
    ("stored", "questions", "doubt"),
    [
        ({"v1"}, 0, None),
        # All servers are gone, and nobody recorded a version.
        (set(), 0, None),
        ({"v1", "v2"}, 1, Doubt.READ),
        ({"v2"}, 1, Doubt.READ),
        ({"v1", UNKNOWN_VERSION}, 1, Doubt.RESTARTED),
        ({"v1", "v2", UNKNOWN_VERSION}, 1, Doubt.READ),
        # A store that can't be read has no origins either.
        (None, 0, Doubt.UNREAD),
    ],
)
def test_the_only_version_known_here_must_be_the_only_one_of_the_store(
    stored: set[str] | None,
    questions: int,
    doubt: Doubt | None,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A node that had been cut off took what it knew for all there was."""

    async def scenario() -> None:
        fixture = Fixture()
        await asyncio.sleep(MIN_UPTIME_S)
        fixture.stored.versions = None if stored is None else frozenset(stored)
        admitted = take_up("v1")
        assert await fixture.finder.find(admitted) is None
        assert fixture.store.questions == questions
        assert await fixture.finder.find_doubt(admitted, None) is doubt
        assert fixture.stored.since_s == admitted.req.arrived_s
        assert fixture.lives.asked == ([] if doubt else ["a"])

    run_in_virtual_time(monkeypatch, scenario)


def test_restart_that_is_known_here_counts_for_its_time_only(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The store's record says only that there was one in the last minute."""

    async def scenario() -> None:
        fixture = Fixture()
        admitted = take_up("v1")
        timeout_s = admitted.route.timeout_s
        assert timeout_s is not None
        fixture.restart()
        now_s = time.monotonic()
        fixture.history.note_starts(
            [s.entry for s in fixture.pool.servers_in_service("s")], now_s
        )
        fixture.stored.versions = frozenset({"v1", UNKNOWN_VERSION})
        await asyncio.sleep(timeout_s + RESUME_SLACK_S + MIN_UPTIME_S)
        later = take_up("v1")
        assert fixture.history.restarted_services(time.monotonic()) == {"s"}
        assert await fixture.finder.find_doubt(later, None) is None

    run_in_virtual_time(monkeypatch, scenario)


def test_node_needs_no_versions_of_the_store_where_one_knows_the_stream() -> (
    None
):
    async def scenario() -> None:
        fixture = Fixture(ORIGIN)
        assert await fixture.finder.find(take_up()) == ORIGIN
        assert fixture.stored.since_s is None

    asyncio.run(scenario())


def test_nobody_is_asked_of_a_request_that_names_no_stream() -> None:
    async def scenario() -> None:
        fixture = Fixture(ORIGIN, SAVED)
        admitted = take_up()
        req = admitted.req._replace(resumes=None)
        assert await fixture.finder.find(admitted._replace(req=req)) is None
        assert fixture.store.questions == 0

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("version", "origin", "life", "doubt"),
    [
        (UNKNOWN_VERSION, UNCERTAIN, Life.SAME, Doubt.UNCERTAIN),
        (None, None, Life.SAME, Doubt.UNKNOWN),
        ("v1", ORIGIN, Life.OTHER, None),
        ("", None, Life.OTHER, None),
        ("v2", None, Life.SAME, Doubt.READ),
        ("v1", None, Life.SAME, None),
        ("v1", None, Life.SHOWN, None),
        ("v1", None, Life.NO_REPORT, None),
        ("v1", None, Life.UNNAMED, None),
        ("v1", None, Life.OTHER, Doubt.OTHER),
        ("v1", None, Life.UNSOUND, Doubt.OTHER),
        ("v1", None, Life.UNSHOWN, Doubt.OTHER),
        ("v1", None, Life.SILENT, Doubt.SILENT),
        ("v1", None, Life.NOT_ASKED, Doubt.NOT_ASKED),
    ],
)
def test_doubt_tells_why_the_version_is_not_known(
    version: str | None,
    origin: StreamOrigin | None,
    life: Life,
    doubt: Doubt | None,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        fixture = Fixture(life=life)
        await asyncio.sleep(MIN_UPTIME_S)
        found = await fixture.finder.find_doubt(take_up(version), origin)
        assert found is doubt

    run_in_virtual_time(monkeypatch, scenario)


def test_one_server_in_doubt_is_enough(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        fixture = Fixture(others={"b1": Life.SILENT}, count=3)
        await asyncio.sleep(MIN_UPTIME_S)
        found = await fixture.finder.find_doubt(take_up("v1"), None)
        assert found is Doubt.SILENT
        assert sorted(fixture.lives.asked) == ["a", "b0", "b1"]

    run_in_virtual_time(monkeypatch, scenario)


def test_few_servers_of_a_large_service_are_asked(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        fixture = Fixture(count=2 * MAX_SERVERS_ASKED)
        await asyncio.sleep(MIN_UPTIME_S)
        assert await fixture.finder.find_doubt(take_up("v1"), None) is None
        assert len(fixture.lives.asked) == MAX_SERVERS_ASKED
        assert len(set(fixture.lives.asked)) == MAX_SERVERS_ASKED

    run_in_virtual_time(monkeypatch, scenario)


@pytest.mark.parametrize(
    ("uptime_s", "has_restarted", "doubt"),
    [
        (MIN_UPTIME_S / 2, False, Doubt.STARTED),
        (MIN_UPTIME_S, False, None),
        (MIN_UPTIME_S, True, Doubt.RESTARTED),
    ],
)
def test_nobody_is_asked_where_the_answers_could_not_tell(
    uptime_s: float,
    *,
    has_restarted: bool,
    doubt: Doubt | None,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        fixture = Fixture()
        await asyncio.sleep(uptime_s)
        if has_restarted:
            fixture.restart()
        found = await fixture.finder.find_doubt(take_up("v1"), None)
        assert found is doubt
        assert fixture.lives.asked == ([] if doubt else ["a"])

    run_in_virtual_time(monkeypatch, scenario)


def test_server_that_starts_again_while_it_is_asked_is_in_doubt(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        fixture = Fixture()
        await asyncio.sleep(MIN_UPTIME_S)

        async def check(*_: object, **__: object) -> LifeReport:
            fixture.restart()
            return LifeReport(Life.SAME)

        monkeypatch.setattr(fixture.lives, "check", check)
        found = await fixture.finder.find_doubt(take_up("v1"), None)
        assert found is Doubt.RESTARTED

    run_in_virtual_time(monkeypatch, scenario)
