"""Tests of which nodes poll engines for draining while the store is away."""

import asyncio
import itertools
import types
from collections.abc import Callable
from typing import Any

import pytest

from savorylift.backends.registry import BackendServer
from savorylift.exchange import drain_poller
from savorylift.exchange.drain_poller import (
    CHECK_INTERVAL_S,
    POLL_INTERVAL_S,
    SHARED_INTERVAL_S,
    DrainPoller,
)
from savorylift.exchange.server_notice import NO_NOTICE, ServerNotice
from tests.exchange.factories import make_server
from tests.harness.virtual_time import run_in_virtual_time

NODES = [f"10.0.0.{number}" for number in range(1, 21)]
ENGINES = {f"i-{n}": make_server(f"i-{n}") for n in range(30)}
OUTAGE_S = 4.0
# Engines give 1.5 s of notice, and copies of runs take half a second.
MAX_PAUSE_S = 1.0
# How long an engine takes for its report, and the start that it names.
REPORT_S = 0.05
STARTED_MS = 7


class Rig:
    """Nodes that hear each other, or only those of their group."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.get_slack_s: Callable[[], float] = lambda: 0.0
        self.looks = 0
        # Times at which each engine was polled.
        self.polls_s: dict[str, list[float]] = {s: [] for s in ENGINES}
        self.lost: set[str] = set()
        # Servers and the starts that polls found out, with when they were sent.
        self.starts: list[tuple[str, float, int]] = []
        self.tasks: list[asyncio.Task[None]] = []
        monkeypatch.setattr(drain_poller, "read_notice", self._read_notice)

    async def _read_notice(
        self, address: str, *, on_start: Callable[[int], None], **_: object
    ) -> ServerNotice:
        now_s = asyncio.get_running_loop().time()
        self.polls_s[address].append(now_s)
        await asyncio.sleep(REPORT_S)
        on_start(STARTED_MS)
        return NO_NOTICE

    def _record_start(
        self, server: BackendServer, asked_s: float, started_ms: int
    ) -> None:
        self.starts.append((server.entry.server_id, asked_s, started_ms))

    def _look(self) -> float:
        self.looks += 1
        return self.get_slack_s()

    def start(self, node: str, others: list[str]) -> None:
        servers = {
            server_id: server._replace(
                entry=server.entry._replace(address=server_id)  # type: ignore
            )
            for server_id, server in ENGINES.items()
        }
        registry: Any = type("Registry", (), {"servers": servers})
        gate: Any = types.SimpleNamespace(
            acquire=_permit, record_start=self._record_start
        )
        notices: Any = type("Notices", (), {"record": lambda *_: False})()
        poller = DrainPoller(
            registry,
            gate,
            notices,
            lambda _: False,
            self._look,
            lambda: servers.values(),
            lambda: others,
            node,
            lambda: None,
        )
        if node not in self.lost:
            self.tasks.append(asyncio.ensure_future(poller.run()))


async def _permit(*_: object, **__: object) -> object:
    return object()


@pytest.mark.parametrize(
    "group_size",
    [pytest.param(20, id="all hear all"), pytest.param(5, id="cut in groups")],
)
@pytest.mark.parametrize("are_first_lost", [False, True])
def test_two_nodes_that_hear_each_other_poll_an_engine(
    group_size: int,
    *,
    are_first_lost: bool,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each node with runs there polled it."""

    async def scenario() -> None:
        rig = Rig(monkeypatch)
        groups = [
            NODES[start : start + group_size]
            for start in range(0, len(NODES), group_size)
        ]
        if are_first_lost:
            rig.lost = {group[0] for group in groups}
        for group in groups:
            for node in group:
                rig.start(node, [n for n in group if n != node])
        began_s = asyncio.get_running_loop().time()
        await asyncio.sleep(OUTAGE_S)
        most = 1.5 * len(groups) * (OUTAGE_S / POLL_INTERVAL_S + 1)
        for polls_s in rig.polls_s.values():
            assert len(polls_s) <= most
            times_s = [began_s, *polls_s, began_s + OUTAGE_S]
            pauses_s = [b - a for a, b in itertools.pairwise(times_s)]
            assert max(pauses_s) <= MAX_PAUSE_S

    run_in_virtual_time(monkeypatch, scenario)


@pytest.mark.parametrize("lost_after_s", [0.31, 1.0, 1.07, 2.56])
def test_node_looks_seldom_but_polls_as_soon_as_readings_are_old(
    lost_after_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Each node looked ten times a second, although the store was heard."""

    async def scenario() -> None:
        rig = Rig(monkeypatch)
        began_s = asyncio.get_running_loop().time()
        lost_s = began_s + lost_after_s

        def get_slack_s() -> float:
            now_s = asyncio.get_running_loop().time()
            # A reading each 0.2 s, until there are no more.
            age_s = (now_s - began_s) % 0.2 if now_s < lost_s else 0.2
            return 1.0 - age_s - max(now_s - lost_s, 0.0)

        rig.get_slack_s = get_slack_s
        rig.start(NODES[0], [])
        await asyncio.sleep(lost_after_s)
        assert rig.looks <= 2 * (lost_after_s / SHARED_INTERVAL_S + 1)
        await asyncio.sleep(1.0)
        latest_s = lost_s + 0.8 + 1.5 * CHECK_INTERVAL_S
        for polls_s in rig.polls_s.values():
            assert lost_s + 0.8 <= polls_s[0] <= latest_s

    run_in_virtual_time(monkeypatch, scenario)


def test_start_that_a_poll_finds_out_is_of_before_the_poll(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Streams that wait for it asked the same engine once more."""

    async def scenario() -> None:
        rig = Rig(monkeypatch)
        clock = asyncio.get_running_loop().time
        monkeypatch.setattr(drain_poller, "boot_time_s", clock)
        rig.start(NODES[0], [])
        await asyncio.sleep(POLL_INTERVAL_S)
        assert {server_id for server_id, _, _ in rig.starts} == set(ENGINES)
        for server_id, asked_s, started_ms in rig.starts:
            assert started_ms == STARTED_MS
            assert asked_s in rig.polls_s[server_id]

    run_in_virtual_time(monkeypatch, scenario)
