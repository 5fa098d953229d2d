"""Tests of finding out whether a server has started again."""

import asyncio
from collections.abc import Callable

import pytest

from savorylift.backends.registry import BackendServer
from savorylift.backends.server_start import NO_REPORT, NO_START
from savorylift.boot_clock import boot_time_s
from savorylift.limits.limit_gate import Permit
from savorylift.processes.life_report import Life
from savorylift.processes.process_witness import Proof
from savorylift.processes.server_life import ServerLife
from savorylift.processes.shared_checks import SharedChecks
from tests.exchange.factories import make_server_entry


class Gate:
    """Grants permits, or none."""

    def __init__(self, *, grants: bool) -> None:
        self._grants = grants

    def is_limited(self, _: object) -> bool:
        return not self._grants

    async def find_start(self, *_: object, **__: object) -> Permit | None:
        return Permit(None) if self._grants else None

    async def acquire(self, *_: object, **__: object) -> Permit | None:
        return Permit(None) if self._grants else None


class Servers:
    """Answers with a start, after a moment."""

    def __init__(self, started_ms: int | None) -> None:
        self.started_ms = started_ms
        self.asked = 0

    async def read_start(self, _: tuple[str, int], __: float) -> int | None:
        self.asked += 1
        await asyncio.sleep(0.01)
        return self.started_ms


def make_server(started_ms: int) -> BackendServer:
    entry = make_server_entry("i-1")._replace(started_ms=started_ms)
    return BackendServer(entry, 0.0)


class Witness:
    """Knows the same of each process."""

    def __init__(self, proof: Proof) -> None:
        self._proof = proof

    def note(self, *_: object) -> None:
        pass

    async def holds(self, *_: object) -> Proof:
        return self._proof

    async def shows(self, *_: object) -> Proof:
        return self._proof


def make_life(
    servers: Servers,
    *,
    grants: bool = True,
    is_held: bool = False,
    sole_version: str | None = None,
    proof: Proof = Proof.BELIEVED,
    on_other: Callable[[str], object] = lambda _: None,
) -> ServerLife:
    gate = Gate(grants=grants)
    return ServerLife(
        gate,  # type: ignore[arg-type]
        lambda _: is_held,
        servers.read_start,
        lambda _: sole_version,
        Witness(proof),  # type: ignore[arg-type]
        on_other,
    )


@pytest.mark.parametrize(
    ("known_ms", "started_ms", "life"),
    [
        (5, 5, Life.SAME),
        (5, 6, Life.OTHER),
        (6, 5, Life.OTHER),
        (5, None, Life.SILENT),
        (5, NO_START, Life.UNNAMED),
        (NO_START, 5, Life.UNNAMED),
        (5, NO_REPORT, Life.NO_REPORT),
        (NO_START, NO_REPORT, Life.UNNAMED),
    ],
)
def test_life_by_what_the_entry_and_the_server_say(
    known_ms: int, started_ms: int | None, life: Life
) -> None:
    checker = make_life(Servers(started_ms))
    found = asyncio.run(checker.check(make_server(known_ms), "a1"))
    assert found.life is life


@pytest.mark.parametrize(
    ("started_ms", "told"), [(5, []), (6, ["s"]), (None, []), (NO_START, [])]
)
def test_process_without_a_read_entry_is_told_of(
    started_ms: int | None, told: list[str]
) -> None:
    """Nodes that asked it knew of it alone, and its entry may never come."""
    others: list[str] = []
    life = make_life(Servers(started_ms), on_other=others.append)
    asyncio.run(life.check(make_server(5), "r"))
    assert others == told


def test_start_that_goes_back_is_not_the_same_process() -> None:
    async def scenario() -> None:
        servers = Servers(6)
        life = make_life(servers)
        server = make_server(5)
        assert (await life.check(server, "a1")).life is Life.OTHER
        servers.started_ms = 5
        found = await life.check(server, "a2")
        assert found.life is Life.UNSOUND
        assert not life.is_of_entry(server, found.life)
        servers.started_ms = 7
        assert (await life.check(server, "a3")).life is Life.OTHER

    asyncio.run(scenario())


def test_answer_counts_for_what_was_there_before_the_question() -> None:
    async def scenario() -> None:
        servers = Servers(5)
        life = make_life(servers)
        begun_s = boot_time_s()
        await life.check(make_server(5), "a1")
        await life.check(make_server(5), "a2", since_s=begun_s)
        assert servers.asked == 1
        await life.check(make_server(5), "a3", since_s=boot_time_s())
        await life.check(make_server(5), "a4", since_s=begun_s, must_ask=True)
        assert servers.asked == 3

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("life", "sole_version", "is_of_entry"),
    [
        (Life.SAME, None, True),
        (Life.OTHER, "v1", False),
        (Life.SILENT, "v1", False),
        (Life.NOT_ASKED, "v1", False),
        (Life.UNNAMED, "v1", True),
        (Life.UNNAMED, "v2", False),
        (Life.UNNAMED, None, False),
    ],
)
def test_only_a_process_that_is_known_has_the_version_of_its_entry(
    life: Life, sole_version: str | None, *, is_of_entry: bool
) -> None:
    server = make_server(5)
    entry = server.entry._replace(software_version="v1")
    checker = make_life(Servers(5), sole_version=sole_version)
    found = checker.is_of_entry(server._replace(entry=entry), life)
    assert found is is_of_entry


@pytest.mark.parametrize(
    ("grants", "is_held"), [(False, False), (True, True), (False, True)]
)
def test_server_that_wants_no_requests_is_not_asked(
    *, grants: bool, is_held: bool
) -> None:
    servers = Servers(6)
    life = make_life(servers, grants=grants, is_held=is_held)
    found = asyncio.run(life.check(make_server(5), "a1"))
    assert found.life is Life.NOT_ASKED
    assert servers.asked == 0


def test_servers_that_name_no_version_are_all_of_one() -> None:
    checker = make_life(Servers(None), sole_version=None)
    server = make_server(NO_START)
    entry = server.entry._replace(software_version="")
    assert checker.is_of_entry(server._replace(entry=entry), Life.UNNAMED)


def test_processes_at_two_addresses_of_a_server_are_asked_each() -> None:
    async def scenario() -> None:
        servers = Servers(5)
        life = make_life(servers)
        server = make_server(5)
        moved = server.entry._replace(address=("127.0.0.2", 1))
        await asyncio.gather(
            life.check(server, "a1"),
            life.check(server._replace(entry=moved), "a2"),
        )
        assert servers.asked == 2

    asyncio.run(scenario())


def test_streams_that_begin_together_share_a_check() -> None:
    async def scenario() -> None:
        servers = Servers(5)
        life = make_life(servers)
        server = make_server(5)
        await asyncio.gather(*(life.check(server, f"a{n}") for n in range(50)))
        assert servers.asked == 1

    asyncio.run(scenario())


def test_check_that_began_earlier_does_not_count() -> None:
    async def scenario() -> None:
        checks: SharedChecks[int] = SharedChecks()
        begun = 0

        async def check() -> int:
            nonlocal begun
            begun += 1
            own = begun
            await asyncio.sleep(0.02)
            return own

        first = asyncio.ensure_future(checks.run("i-1", check))
        await asyncio.sleep(0.01)
        later = [
            asyncio.ensure_future(checks.run("i-1", check)) for _ in range(3)
        ]
        assert await first == 1
        assert await asyncio.gather(*later) == [2, 2, 2]

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("answers", "counts"),
    [
        ((NO_REPORT,), True),
        ((5, NO_REPORT), False),
        ((NO_REPORT, 6), False),
    ],
)
def test_entry_counts_for_a_server_that_never_had_a_report(
    answers: tuple[int, ...], *, counts: bool
) -> None:
    async def scenario() -> None:
        servers = Servers(None)
        checker = make_life(servers)
        server = make_server(5)
        entry = server.entry._replace(software_version="v1")
        server = server._replace(entry=entry)
        for answer in answers:
            servers.started_ms = answer
            found = await checker.check(server, "a1")
        assert checker.is_of_entry(server, found.life) is counts

    asyncio.run(scenario())


@pytest.mark.parametrize("started_ms", [NO_REPORT, NO_START])
@pytest.mark.parametrize(
    ("proof", "life"),
    [(Proof.NONE, Life.UNSHOWN), (Proof.SHOWN, Life.SHOWN)],
)
def test_process_that_names_no_start_is_known_by_its_connection(
    proof: Proof, life: Life, started_ms: int
) -> None:
    checker = make_life(Servers(started_ms), sole_version="v1", proof=proof)
    server = make_server(5)
    entry = server.entry._replace(software_version="v1")
    server = server._replace(entry=entry)
    found = asyncio.run(checker.check(server, "a1"))
    assert found.life is life
    assert checker.is_of_entry(server, life) is (proof is Proof.SHOWN)
