"""Tests of publishing versions of the rules file.

They cover concurrent writers, lost responses and errors of the store.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

import pytest

from savorylift.platform.store import RULES_TOPIC, StoreClient
from savorylift.rules import publication
from savorylift.rules.orders import (
    AcceptedOrder,
    OutOfServiceOrder,
    UnknownTarget,
    submit_order,
)
from savorylift.rules.publication import (
    PublishedVersion,
    UnchangedRules,
    UnconfirmedWrite,
    VersionConflict,
    WriteFailure,
    decode_configuration,
    publish,
    read_rules,
)
from tests.harness.ports import free_addresses
from tests.standins.platform_store import PlatformStore

T = TypeVar("T")
FIRST_RULES = "failure_domain a in region r # x\n"
SECOND_RULES = FIRST_RULES + "model m version v1 # y\n"
SCENARIO_TIMEOUT_S = 15.0


class StoreFixture:
    """A stand-in of the platform store and a client for it."""

    def __init__(self) -> None:
        """Creates a store, which doesn't listen until `start` is called."""
        self.store = PlatformStore()
        (self.address,) = free_addresses(1)
        host, _, port = self.address.rpartition(":")
        self.client = StoreClient((host, int(port)))

    async def start(self) -> None:
        """Starts to listen."""
        await self.store.start(int(self.address.rpartition(":")[2]))


def run_with_store(
    scenario: Callable[[StoreFixture], Coroutine[Any, Any, T]],
) -> T:
    async def run_bounded() -> T:
        async with asyncio.timeout(SCENARIO_TIMEOUT_S):
            fixture = StoreFixture()
            await fixture.start()
            return await scenario(fixture)

    return asyncio.run(run_bounded())


def test_versions_are_numbered_in_sequence() -> None:
    async def scenario(fixture: StoreFixture) -> None:
        first = await publish(fixture.client, FIRST_RULES, "ada", None)
        assert isinstance(first, PublishedVersion)
        assert (first.version, first.diff) == (1, ("+1: " + FIRST_RULES[:-1],))
        again = await publish(fixture.client, FIRST_RULES, "ada", None)
        assert again == UnchangedRules(1)
        second = await publish(fixture.client, SECOND_RULES, "noor", 1)
        assert isinstance(second, PublishedVersion)
        stored = (await read_rules(fixture.client)).unwrap()
        assert stored.newest is not None
        assert (stored.newest.author, stored.newest.text) == (
            "noor",
            SECOND_RULES,
        )

    run_with_store(scenario)


def test_concurrent_publishers_of_one_base_cannot_both_succeed() -> None:
    async def scenario(fixture: StoreFixture) -> None:
        await publish(fixture.client, FIRST_RULES, "ada", None)
        outcomes = await asyncio.gather(
            publish(fixture.client, SECOND_RULES, "noor", None),
            publish(fixture.client, FIRST_RULES + "# note\n", "tariq", None),
        )
        kinds = sorted(type(outcome).__name__ for outcome in outcomes)
        assert kinds == [PublishedVersion.__name__, VersionConflict.__name__]
        late = await publish(fixture.client, FIRST_RULES, "eve", 1)
        assert isinstance(late, VersionConflict)
        assert late.newest.version == 2

    run_with_store(scenario)


def test_append_with_lost_response_is_not_repeated() -> None:
    async def scenario(fixture: StoreFixture) -> None:
        fixture.store.unanswered_appends = 1
        outcome = await publish(fixture.client, FIRST_RULES, "ada", None)
        assert isinstance(outcome, PublishedVersion)
        assert fixture.store.topic(RULES_TOPIC).end_offset == 1

    run_with_store(scenario)


def test_concurrent_order_is_not_a_version_conflict() -> None:
    async def scenario(fixture: StoreFixture) -> None:
        await publish(fixture.client, FIRST_RULES, "ada", None)
        order = OutOfServiceOrder("a", True, "ada", "storm")
        published, submitted = await asyncio.gather(
            publish(fixture.client, SECOND_RULES, "noor", None),
            submit_order(fixture.client, order),
        )
        assert isinstance(published, PublishedVersion)
        assert isinstance(submitted, AcceptedOrder)

    run_with_store(scenario)


@pytest.mark.parametrize(
    ("status", "expected"), [(503, WriteFailure), (429, WriteFailure)]
)
def test_error_status_of_the_store_is_a_write_failure(
    status: int, expected: type[object]
) -> None:
    async def scenario(fixture: StoreFixture) -> None:
        fixture.store.status = status
        outcome = await publish(fixture.client, FIRST_RULES, "ada", None)
        assert isinstance(outcome, expected)

    run_with_store(scenario)


def test_write_without_response_stays_unconfirmed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(fixture: StoreFixture) -> None:
        monkeypatch.setattr(publication, "MAX_ATTEMPTS", 2)
        fixture.store.unanswered_appends = 9
        fixture.store.discards_unanswered = True
        outcome = await publish(fixture.client, FIRST_RULES, "ada", None)
        assert isinstance(outcome, UnconfirmedWrite)

    run_with_store(scenario)


def test_order_for_unknown_target_lists_known_targets() -> None:
    async def scenario(fixture: StoreFixture) -> None:
        await publish(fixture.client, FIRST_RULES, "ada", None)
        order = OutOfServiceOrder("b", True, "ada", "storm")
        assert await submit_order(fixture.client, order) == UnknownTarget(
            "b", ("a",)
        )

    run_with_store(scenario)


@pytest.mark.parametrize("value", [b"", b"{}", b"x\x9c\xff", b"\x00" * 9])
def test_undecodable_record_gives_no_configuration(value: bytes) -> None:
    assert decode_configuration(value).failure()


def test_large_file_fits_a_record() -> None:
    lines = [
        f"team team-{n} weight {n % 9 + 1} models * # desk {n * 7919 % 10007}\n"
        for n in range(12_000)
    ]
    version = publication.RulesVersion(1, "ada", "".join(lines), "p", 0.0)
    assert len(version.encode()) < 262_144
