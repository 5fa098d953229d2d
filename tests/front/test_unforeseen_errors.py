"""Tests of a node that meets errors of its own in background tasks."""

import asyncio
import time
from collections.abc import Callable

import pytest

from savorylift.exchange.origin_log import OriginLog
from savorylift.fleet.membership import Membership
from savorylift.fleet.peer_transport import PeerTransport
from savorylift.fleet.reader_choice import ReaderChoice
from savorylift.fleet.registration import Registration
from savorylift.fleet.server_records import ServerRecords
from savorylift.fleet.store_view import StoreView
from savorylift.fleet.version_recorder import VersionRecorder
from savorylift.front.listeners import Listeners
from savorylift.front.peer_sync import PeerSync
from savorylift.front.server_news import ServerNews
from savorylift.limits.limit_gate import LimitGate
from savorylift.moves.planner import MovePlanner
from savorylift.platform.store import OPERATORS_TOPIC, SERVERS_TOPIC
from savorylift.refusals.writer import RefusalWriter
from savorylift.rooms.keeper import RoomKeeper
from tests.front.environment import (
    NodeEnvironment,
    configuration,
    run_in_environment,
)

# Longer than a node takes to read a record, and to run each task again.
NOTICE_S = 1.0
# A server that drains gets nothing new after this time.
DRAIN_S = 2.0


class Failure:
    """Makes a method of the product fail some times."""

    def __init__(
        self, patch: pytest.MonkeyPatch, owner: type, name: str
    ) -> None:
        self.left = 0
        real: Callable[..., object] = getattr(owner, name)

        def run(*args: object, **kwargs: object) -> object:
            if self.left:
                self.left -= 1
                raise ValueError("unforeseen")
            return real(*args, **kwargs)

        patch.setattr(owner, name, run)


async def check_served(env: NodeEnvironment, attempt: str) -> None:
    assert env.node_task is not None
    assert not env.node_task.done()
    assert await env.is_ready()
    assert (await env.call("/once/x", attempt)).status == 200


@pytest.mark.parametrize(
    ("owner", "name"),
    [
        (StoreView, "apply_server_records"),
        (StoreView, "apply_operator_records"),
        (ServerRecords, "replace"),
        (PeerTransport, "send"),
        (Membership, "forget_silent"),
        (Membership, "note_running"),
        (ReaderChoice, "find_rank"),
        (Registration, "_update"),
        (VersionRecorder, "save"),
        (RefusalWriter, "save"),
        (LimitGate, "update"),
        (RoomKeeper, "update"),
        (MovePlanner, "update"),
    ],
)
def test_node_goes_on_and_learns_of_changes_after_an_unforeseen_error(
    owner: type, name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    failure = Failure(monkeypatch, owner, name)

    async def scenario(env: NodeEnvironment) -> None:
        failure.left = 3
        env.store.add(SERVERS_TOPIC, "app-9", {"service": "app"})
        env.store.add(OPERATORS_TOPIC, "other", {})
        await asyncio.sleep(NOTICE_S)
        await check_served(env, "a1")
        failure.left = 0
        env.store.add(OPERATORS_TOPIC, "config", configuration(2))
        await env.wait_for_version(2)
        await check_served(env, "a2")

    run_in_environment(scenario)


@pytest.mark.parametrize(
    "names",
    [
        ("apply_operator_records", "replace_operator_records"),
        ("apply_server_records", "replace_server_records"),
    ],
)
def test_error_in_one_topic_at_each_reading_keeps_the_other_one_read(
    names: tuple[str, str], monkeypatch: pytest.MonkeyPatch
) -> None:
    failures = [Failure(monkeypatch, StoreView, name) for name in names]

    async def scenario(env: NodeEnvironment) -> None:
        assert env.node is not None
        for failure in failures:
            failure.left = 1000
        env.store.add(OPERATORS_TOPIC, "other", {})
        await asyncio.sleep(2 * NOTICE_S)
        assert env.node._store.reader.has_fault(time.monotonic())
        if "operator" in names[0]:
            env.publish_entry(env.app[0], "app", "draining")
            await asyncio.sleep(DRAIN_S)
            env.app[0].arrivals.clear()
            for number in range(8):
                await check_served(env, f"a{number}")
            assert env.app[0].arrivals == []
        else:
            env.store.add(OPERATORS_TOPIC, "config", configuration(2))
            await env.wait_for_version(2)

    run_in_environment(scenario)


@pytest.mark.parametrize(
    ("owner", "name"),
    [
        (Listeners, "close_after_response"),
        (PeerSync, "announce"),
        (ServerNews, "hand_over"),
        (RefusalWriter, "save"),
        (OriginLog, "save"),
    ],
)
def test_node_ends_in_time_after_an_unforeseen_error_on_the_way(
    owner: type, name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    failure = Failure(monkeypatch, owner, name)

    async def scenario(env: NodeEnvironment) -> None:
        assert env.node is not None
        assert env.node_task is not None
        failure.left = 1
        env.node.leave()
        async with asyncio.timeout(env.grace_period_s + NOTICE_S):
            await env.node_task

    run_in_environment(scenario)
