"""Tests of when it is asked which process began a short stream."""

import asyncio
import random
from types import SimpleNamespace
from typing import Any

import pytest

from savorylift.exchange.request import Generation
from savorylift.exchange.run import Run
from savorylift.exchange.short_streams import ASK_LATE_S, SHORT_EVENTS
from savorylift.exchange.stream_resumption import StreamResumption
from savorylift.fleet.state import UNKNOWN_VERSION, StreamOrigin
from savorylift.fleet.version_history import VersionHistory
from savorylift.processes.life_report import Life, LifeReport
from savorylift.routing.configuration import Service
from tests.exchange.factories import (
    ENGINE,
    make_admitted_request,
    make_caller_request,
    make_route,
    make_server,
)
from tests.harness.virtual_time import run_in_virtual_time

SHORT = SHORT_EVENTS * ENGINE.tokens_per_event


class Asked:
    """A server that says that it is the process of its entry."""

    def __init__(self) -> None:
        self.times_s: list[float] = []

    async def check(self, *_: object, **__: object) -> LifeReport:
        self.times_s.append(asyncio.get_running_loop().time())
        return LifeReport(Life.SAME, 1)

    def is_of_entry(self, _: object, life: Life) -> bool:
        return life is Life.SAME


class Homes:
    """What the homes of streams are told."""

    def __init__(self) -> None:
        self.told: list[StreamOrigin] = []

    def record(self, origin: StreamOrigin) -> None:
        self.told.append(origin)

    def forget(self, _: str) -> None:
        pass


def make_run(max_output_tokens: int) -> Run:
    req = make_caller_request()._replace(
        generation=Generation(100, max_output_tokens)
    )
    admitted = make_admitted_request(
        req, make_route()._replace(can_resume=True)
    )
    service = Service("s", 40.0, ENGINE)
    run = Run(admitted._replace(service=service), 200)
    channel: Any = SimpleNamespace(peer_closed=asyncio.Event(), is_open=True)
    run.server, run.channel = make_server(), channel
    return run


@pytest.mark.parametrize(
    ("max_output_tokens", "whole_after_s", "breaks_after_s", "asked_after_s"),
    [
        pytest.param(SHORT, 0.2, None, None, id="whole soon"),
        pytest.param(SHORT, None, None, ASK_LATE_S, id="goes on"),
        pytest.param(SHORT, None, 0.1, 0.1, id="breaks off"),
        pytest.param(SHORT + 1, 0.2, None, 0.0, id="long"),
    ],
)
def test_a_short_stream_needs_no_question_if_it_is_whole_soon(
    max_output_tokens: int,
    whole_after_s: float | None,
    breaks_after_s: float | None,
    asked_after_s: float | None,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Two of three questions to engines were about streams of three events."""

    async def scenario() -> None:
        asked, homes = Asked(), Homes()
        life: Any = asked
        origins: Any = homes
        nothing: Any = None
        resumption = StreamResumption(
            origins,
            nothing,
            VersionHistory(),
            nothing,
            life,
            nothing,
            lambda name: Service(name, 40.0, None),
            random.Random(1),
        )
        run = make_run(max_output_tokens)
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        resumption.record_begin(run)
        assert run.channel is not None
        if whole_after_s is not None:
            loop.call_later(whole_after_s, resumption.record_complete, run)
        if breaks_after_s is not None:
            loop.call_later(breaks_after_s, run.channel.peer_closed.set)
        await asyncio.sleep(2 * ASK_LATE_S)
        took_s = [time_s - began_s for time_s in asked.times_s]
        expected = [] if asked_after_s is None else [asked_after_s]
        assert took_s == pytest.approx(expected, abs=0.01)
        is_late = max_output_tokens <= SHORT
        # Until then nobody may take it for a stream of a version they know.
        first = homes.told[0]
        assert (first.software_version == UNKNOWN_VERSION) is is_late
        assert (first.process is not None) is is_late

    run_in_virtual_time(monkeypatch, scenario)
