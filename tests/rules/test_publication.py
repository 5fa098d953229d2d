"""Publishing versions of the rules file, one writer among others."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

import pytest

from savorylift.platform.store import RULES, StoreClient
from savorylift.rules import publication
from savorylift.rules.orders import (
    Order,
    OrderAccepted,
    UnknownTarget,
    give_order,
)
from savorylift.rules.publication import (
    NothingChanged,
    NotWritten,
    Published,
    RaceLost,
    Unknown,
    decode_configuration,
    publish,
    read_rules,
)
from tests.harness.ports import free_addresses
from tests.standins.platform_store import PlatformStore

T = TypeVar("T")
FIRST = "failure_domain a in region r # x\n"
SECOND = FIRST + "model m version v1 # y\n"
SCENE_S = 15.0


class Stage:
    """A store and its client."""

    def __init__(self) -> None:
        """Starts nothing."""
        self.store = PlatformStore()
        (self.address,) = free_addresses(1)
        host, _, port = self.address.rpartition(":")
        self.client = StoreClient((host, int(port)))

    async def start(self) -> None:
        """Listens."""
        await self.store.start(int(self.address.rpartition(":")[2]))


def on_stage(scene: Callable[[Stage], Coroutine[Any, Any, T]]) -> T:
    async def bounded() -> T:
        async with asyncio.timeout(SCENE_S):
            stage = Stage()
            await stage.start()
            return await scene(stage)

    return asyncio.run(bounded())


def test_versions_follow_each_other() -> None:
    async def scene(stage: Stage) -> None:
        first = await publish(stage.client, FIRST, "ada", None)
        assert isinstance(first, Published)
        assert (first.version, first.changed) == (1, ("+1: " + FIRST[:-1],))
        again = await publish(stage.client, FIRST, "ada", None)
        assert again == NothingChanged(1)
        second = await publish(stage.client, SECOND, "noor", 1)
        assert isinstance(second, Published)
        stored = (await read_rules(stage.client)).unwrap()
        assert stored.newest is not None
        assert (stored.newest.author, stored.newest.text) == ("noor", SECOND)

    on_stage(scene)


def test_one_of_two_that_start_from_the_same_version_wins() -> None:
    async def scene(stage: Stage) -> None:
        await publish(stage.client, FIRST, "ada", None)
        outcomes = await asyncio.gather(
            publish(stage.client, SECOND, "noor", None),
            publish(stage.client, FIRST + "# note\n", "tariq", None),
        )
        kinds = sorted(type(outcome).__name__ for outcome in outcomes)
        assert kinds == ["Published", "RaceLost"]
        late = await publish(stage.client, FIRST, "eve", 1)
        assert isinstance(late, RaceLost)
        assert late.winner.version == 2

    on_stage(scene)


def test_lost_answer_is_found_in_the_store() -> None:
    async def scene(stage: Stage) -> None:
        stage.store.loses_answers = 1
        outcome = await publish(stage.client, FIRST, "ada", None)
        assert isinstance(outcome, Published)
        assert stage.store.topic(RULES).end == 1

    on_stage(scene)


def test_orders_between_reading_and_writing_are_no_race() -> None:
    async def scene(stage: Stage) -> None:
        await publish(stage.client, FIRST, "ada", None)
        order = Order("a", True, "ada", "storm")
        published, given = await asyncio.gather(
            publish(stage.client, SECOND, "noor", None),
            give_order(stage.client, order),
        )
        assert isinstance(published, Published)
        assert isinstance(given, OrderAccepted)

    on_stage(scene)


@pytest.mark.parametrize(
    ("status", "expected"), [(503, NotWritten), (429, NotWritten)]
)
def test_store_that_turns_away_has_nothing_written(
    status: int, expected: type[object]
) -> None:
    async def scene(stage: Stage) -> None:
        stage.store.status = status
        outcome = await publish(stage.client, FIRST, "ada", None)
        assert isinstance(outcome, expected)

    on_stage(scene)


def test_store_that_goes_silent_after_a_write_leaves_it_unknown(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scene(stage: Stage) -> None:
        monkeypatch.setattr(publication, "TRIES", 2)
        stage.store.loses_answers = 9
        stage.store.forgets_appends = True
        outcome = await publish(stage.client, FIRST, "ada", None)
        assert isinstance(outcome, Unknown)

    on_stage(scene)


def test_unknown_targets_are_named() -> None:
    async def scene(stage: Stage) -> None:
        await publish(stage.client, FIRST, "ada", None)
        order = Order("b", True, "ada", "storm")
        assert await give_order(stage.client, order) == UnknownTarget(
            "b", ("a",)
        )

    on_stage(scene)


@pytest.mark.parametrize("value", [b"", b"{}", b"x\x9c\xff", b"\x00" * 9])
def test_foreign_records_are_no_configuration(value: bytes) -> None:
    assert decode_configuration(value).failure()


def test_large_file_fits_a_record() -> None:
    lines = [
        f"team team-{n} weight {n % 9 + 1} models * # desk {n * 7919 % 10007}\n"
        for n in range(12_000)
    ]
    version = publication.Publication(1, "ada", "".join(lines), "p", 0.0)
    assert len(version.encode()) < 262_144
