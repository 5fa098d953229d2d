"""Tests of finding out at which software version a stream began."""

import asyncio
import random
from types import SimpleNamespace
from typing import Any, cast

import pytest
from returns.pipeline import is_successful

from savorylift.boot_clock import boot_time_s
from savorylift.exchange.admission import AdmittedRequest
from savorylift.exchange.origin_finder import MAX_START_WAIT_S, OriginFinder
from savorylift.exchange.results import Doubt
from savorylift.exchange.stream_beginnings import StreamBeginnings, process_of
from savorylift.exchange.stream_resumption import StreamResumption
from savorylift.fleet.state import UNKNOWN_VERSION, StreamOrigin
from savorylift.fleet.version_history import VersionHistory
from savorylift.processes import life_report
from savorylift.processes.life_report import LifeReport
from savorylift.routing.configuration import Service
from tests.exchange.factories import (
    make_admitted_request,
    make_caller_request,
    make_route,
    make_server,
)
from tests.harness.virtual_time import run_in_virtual_time

NOT_ASKED = life_report.Life.NOT_ASKED
# Several intervals of tokens, and a round trip between nodes.
WITNESS_REPLY_S = 0.04
ORIGIN = StreamOrigin("s1", "s", "v1", 30.0)


class Origins:
    """The nodes that know where a stream began, heard after a time."""

    def __init__(self, heard_after_s: float) -> None:
        self._heard_after_s = heard_after_s
        self._began_s = asyncio.get_running_loop().time()

    async def find(self, _: str) -> StreamOrigin | None:
        waited_s = asyncio.get_running_loop().time() - self._began_s
        return ORIGIN if waited_s >= self._heard_after_s else None


class Nothing:
    """A store that knows no stream."""

    async def find(self, _: str) -> None:
        return None


class Choice:
    """Finds a server of each version."""

    def has_server(self, *_: object) -> bool:
        return True


class Pool:
    """A pool with a server of each version."""

    choice = Choice()


def take_up() -> AdmittedRequest:
    req = make_caller_request()._replace(resumes="s1", resume_after="4")
    return make_admitted_request(req, make_route()._replace(can_resume=True))


@pytest.mark.parametrize(
    ("heard_after_s", "is_found"),
    [(0.0, True), (0.6, True), (MAX_START_WAIT_S + 0.5, False)],
)
def test_node_that_just_started_waits_until_it_hears_who_knows(
    heard_after_s: float, *, is_found: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        origins: Any = Origins(heard_after_s)
        log: Any = Nothing()
        stored: Any = None
        life: Any = None
        pool: Any = Pool()
        resumption = StreamResumption(
            origins,
            log,
            VersionHistory(),
            stored,
            life,
            pool,
            lambda name: Service(name, 40.0, None),
            random.Random(1),
        )
        began_s = asyncio.get_running_loop().time()
        bound = await resumption.bind(take_up())
        waited_s = asyncio.get_running_loop().time() - began_s
        assert is_successful(bound) is is_found
        assert waited_s <= MAX_START_WAIT_S + 0.3
        if is_found:
            assert bound.unwrap().software_version == "v1"
        else:
            assert bound.failure().doubt is Doubt.UNKNOWN

    run_in_virtual_time(monkeypatch, scenario)


class Life:
    """Knows a process once its issuer has asked other nodes."""

    def __init__(self, known_after_s: float) -> None:
        loop = asyncio.get_running_loop()
        self._known_s = loop.time() + known_after_s

    async def check(self, *_: object, **__: object) -> LifeReport:
        is_known = asyncio.get_running_loop().time() >= self._known_s
        return LifeReport(life_report.Life.SAME if is_known else NOT_ASKED)

    def is_of_entry(self, _: object, life: life_report.Life) -> bool:
        return life is life_report.Life.SAME


def test_process_that_other_nodes_know_is_known_before_a_stream_breaks(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Streams that broke off in their first quarter of a second were lost."""

    async def scenario() -> None:
        nothing: Any = None
        life: Any = Life(WITNESS_REPLY_S)
        beginnings = StreamBeginnings(nothing, life, nothing)
        run: Any = SimpleNamespace(attempt_id="s1", admitted=take_up())
        run.admitted = run.admitted._replace(route=make_route())
        channel: Any = SimpleNamespace(opened_s=None, is_open=True)
        began_s = asyncio.get_running_loop().time()
        entry = await beginnings._find_entry(
            run, make_server(), channel, boot_time_s()
        )
        assert entry is not None
        took_s = asyncio.get_running_loop().time() - began_s
        assert took_s <= 2 * WITNESS_REPLY_S

    run_in_virtual_time(monkeypatch, scenario)


@pytest.mark.parametrize(
    ("life", "version"),
    [
        (life_report.Life.SAME, "v1"),
        (life_report.Life.SHOWN, "v1"),
        (life_report.Life.UNSHOWN, UNKNOWN_VERSION),
        (life_report.Life.NO_REPORT, UNKNOWN_VERSION),
    ],
)
def test_process_that_lives_shows_where_a_stream_of_its_time_began(
    life: life_report.Life, version: str
) -> None:
    """Servers that can't say who they are proved nothing."""

    async def scenario() -> None:
        server = make_server()
        entry = server.entry._replace(started_ms=1, software_version="v1")
        server = server._replace(entry=entry)
        origin = StreamOrigin(
            "s1", "s", UNKNOWN_VERSION, 60.0, process=process_of(entry)
        )

        async def check(*_: object, **__: object) -> LifeReport:
            return LifeReport(life)

        async def find(_: str) -> StreamOrigin:
            return origin

        async def find_none(_: str) -> None:
            return None

        finder = OriginFinder(
            cast("Any", SimpleNamespace(find=find)),
            cast("Any", SimpleNamespace(find=find_none)),
            VersionHistory(),
            cast("Any", None),
            cast("Any", SimpleNamespace(check=check)),
            cast("Any", SimpleNamespace(find_server=lambda _: server)),
            random.Random(1),
        )
        found = await finder.find(take_up())
        assert found is not None
        assert found.software_version == version

    asyncio.run(scenario())
