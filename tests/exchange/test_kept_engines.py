"""Tests of which engines one node may keep for all, and grant."""

import time
from collections.abc import Collection
from typing import Any, NamedTuple, cast

import pytest

from savorylift.backends.brittle_services import BrittleServices
from savorylift.backends.registry import BackendServer
from savorylift.backends.server import ServerEntry
from savorylift.exchange.admission import AdmittedRequest
from savorylift.exchange.kept_engines import MAX_BARRED, Barred, KeptEngines
from savorylift.rollouts.version_rules import VersionRule
from savorylift.routing.configuration import EngineTraits, Service
from tests.exchange.factories import (
    ENGINE,
    make_admitted_request,
    make_server_entry,
)

NEW = "v2"
OLD = "v1"


class Engines(NamedTuple):
    """What is believed of the engines of a service.

    Attributes:
        servers: The engines.
        rule: Which versions a request may go to; None if nothing is rolled
            out.
        paused: IDs of those that want no requests now.
    """

    servers: list[BackendServer]
    rule: VersionRule | None = None
    paused: frozenset[str] = frozenset()

    def servers_in_service(self, _service: str) -> list[BackendServer]:
        return self.servers

    def find_version_rule(
        self, _admitted: AdmittedRequest, _tried: Collection[str]
    ) -> VersionRule | None:
        return self.rule

    def find(
        self, _admitted: AdmittedRequest, tried: Collection[str]
    ) -> list[BackendServer]:
        return [s for s in self.servers if s.entry.server_id not in tried]

    def find_pause(self, entry: ServerEntry) -> str | None:
        return "hold" if entry.server_id in self.paused else None

    def kept(self, limited: Collection[str] = ()) -> KeptEngines:
        engines = cast("Any", self)
        return KeptEngines(
            engines,
            engines,
            BrittleServices(),
            lambda entry: entry.server_id in limited,
        )


def engine(
    server_id: str, version: str = OLD, *, is_cold: bool = False
) -> BackendServer:
    entry = make_server_entry(server_id)._replace(software_version=version)
    return BackendServer(entry, time.monotonic() + 60.0 if is_cold else 0.0)


def ids(servers: Collection[BackendServer]) -> set[str]:
    return {server.entry.server_id for server in servers}


@pytest.mark.parametrize(
    ("traits", "limited", "is_brittle", "is_kept"),
    [
        (ENGINE, (), False, True),
        (None, (), False, False),
        (ENGINE, ("a",), False, False),
        (ENGINE, ("other",), False, True),
        (ENGINE, (), True, False),
    ],
)
def test_room_is_kept_unless_nodes_share_it_otherwise(
    traits: EngineTraits | None,
    limited: tuple[str, ...],
    is_brittle: bool,  # noqa: FBT001
    is_kept: bool,  # noqa: FBT001
) -> None:
    brittle = BrittleServices()
    if is_brittle:
        brittle.record("s")
    engines = cast("Any", Engines([engine("a")]))
    kept = KeptEngines(
        engines, engines, brittle, lambda entry: entry.server_id in limited
    )
    assert kept.is_kept(Service("s", None, traits)) is is_kept


def test_cold_and_paused_engines_are_not_granted() -> None:
    servers = [engine("warm"), engine("cold", is_cold=True), engine("paused")]
    engines = Engines(servers, paused=frozenset({"paused"}))
    kept = engines.kept()
    admitted = make_admitted_request()
    assert ids(kept.find("s")) == {"warm"}
    assert ids(list(kept.find_cold(admitted, ()))) == {"cold"}
    assert kept.find_granted(admitted, (), "warm") is servers[0]
    for server_id in ("cold", "paused", "gone"):
        assert kept.find_granted(admitted, (), server_id) is None
    assert kept.find_granted(admitted, ("warm",), "warm") is None


RULE = VersionRule(NEW, may_use_new=True, may_use_old=True)


@pytest.mark.parametrize(
    ("rule", "paused", "tried", "expected"),
    [
        (None, "", ("x",), Barred(frozenset({"x"}))),
        # Rather the new version than the old one.
        (RULE, "", (), Barred(frozenset(), frozenset({"old"}))),
        (RULE, "", ("x",), Barred(frozenset({"x"}), frozenset({"old"}))),
        # None of those that are preferred can take anything.
        (RULE, "new", (), Barred(frozenset())),
        (
            RULE._replace(may_use_old=False),
            "",
            (),
            Barred(frozenset({"old"})),
        ),
        (
            RULE._replace(may_use_new=False),
            "",
            (),
            Barred(frozenset({"new"})),
        ),
        (
            RULE._replace(banned=frozenset({OLD})),
            "",
            (),
            Barred(frozenset({"old"})),
        ),
    ],
)
def test_request_bars_versions_that_it_is_not_for(
    rule: VersionRule | None,
    paused: str,
    tried: tuple[str, ...],
    expected: Barred,
) -> None:
    servers = [engine("old", OLD), engine("new", NEW)]
    engines = Engines(servers, rule, frozenset({paused}))
    found = engines.kept().find_barred(make_admitted_request(), tried)
    assert found == expected


@pytest.mark.parametrize(
    ("count", "is_named"), [(MAX_BARRED, True), (MAX_BARRED + 1, False)]
)
def test_too_many_barred_engines_are_not_named(
    count: int,
    is_named: bool,  # noqa: FBT001
) -> None:
    servers = [engine(f"e{number}") for number in range(count)]
    rule = RULE._replace(may_use_old=False)
    barred = (
        Engines(servers, rule).kept().find_barred(make_admitted_request(), ())
    )
    assert (barred is not None) is is_named
