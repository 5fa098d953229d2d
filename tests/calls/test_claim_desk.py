"""Claims through real actors and threads."""

import time
from concurrent.futures import ThreadPoolExecutor

import pytest
from prometheus_client import REGISTRY
from returns.result import Success

from savorylift.calls.claim_desk import ClaimDesk
from savorylift.calls.claims import Claim, ClaimRequest
from savorylift.calls.messages import KEPT_ANSWER_BYTES
from savorylift.calls.request import CallAnswer
from tests.calls.desks import request, running_desks, wait_until
from tests.log_service.fakes import AppendFault, FakeLog

IN_USE = "unknown/key_in_use"
BOOKED = CallAnswer(201, (("Content-Type", "text/plain"),), b"ok", "s1")


def win(desk: ClaimDesk, req: ClaimRequest) -> Claim:
    """Claims, trying again while the shard's nodes start."""
    claims: list[Claim] = []

    def has_won() -> bool:
        got = desk.claim(req)
        if isinstance(got, Success):
            claim = got.unwrap()
            assert isinstance(claim, Claim)
            claims.append(claim)
        return bool(claims)

    wait_until(has_won)
    return claims[0]


def ending(desk: ClaimDesk, req: ClaimRequest) -> str:
    got = desk.claim(req)
    if isinstance(got, Success):
        return "replay" if isinstance(got.unwrap(), CallAnswer) else "won"
    refusal = got.failure()
    return f"{refusal.ending}/{refusal.reason}"


@pytest.mark.parametrize("nodes", [1, 2, 6])
def test_answer_is_replayed_on_every_node(nodes: int) -> None:
    with running_desks(FakeLog(), nodes) as desks:
        claim = win(desks[0], request(1))
        assert ending(desks[-1], request(1)) == "unknown/key_in_use"
        assert ending(desks[-1], request(1, "g")) == "not_run/key_mismatch"
        desks[0].record(claim, BOOKED)
        assert desks[0].flush(5)
        wait_until(lambda: ending(desks[-1], request(1)) == "replay")
        got = desks[0].claim(request(1)).unwrap()
        assert got == BOOKED._replace(is_replay=True)


@pytest.mark.parametrize(
    ("answer", "expected"),
    [
        (None, "unknown/answer_lost"),
        (
            BOOKED._replace(body=b"x" * KEPT_ANSWER_BYTES),
            "failed/answer_lost",
        ),
    ],
)
def test_unkept_outcomes_are_told(
    answer: CallAnswer | None, expected: str
) -> None:
    with running_desks(FakeLog(), 2) as desks:
        desks[0].record(win(desks[0], request(1)), answer)
        assert desks[0].flush(5)
        wait_until(lambda: ending(desks[1], request(1)) == expected)


def test_void_frees_the_key() -> None:
    with running_desks(FakeLog(), 2) as desks:
        desks[0].void(win(desks[0], request(1)))
        assert desks[0].flush(5)
        wait_until(lambda: ending(desks[1], request(1, "g")) == "won")


def test_log_outage_is_refused_at_once() -> None:
    log = FakeLog()
    with running_desks(log, 2) as desks:
        win(desks[0], request(1))
        log.set_down(is_down=True)
        started_s = time.monotonic()
        refusal = desks[0].claim(request(2)).failure()
        assert time.monotonic() - started_s < 0.5
        assert (refusal.ending, refusal.reason) == (
            "not_run",
            "log_unavailable",
        )
        assert refusal.retry_after_s is not None
        log.set_down(is_down=False)
        win(desks[0], request(2))


def test_lost_append_answer_still_wins() -> None:
    log = FakeLog()
    with running_desks(log, 1) as desks:
        win(desks[0], request(1))
        log.append_faults.extend(
            (AppendFault.LOST_REQUEST, AppendFault.LOST_ANSWER)
        )
        assert ending(desks[0], request(2)) == "won"


def test_claim_that_arrives_after_the_deadline_is_void() -> None:
    log = FakeLog()
    with running_desks(log, 1) as desks:
        win(desks[0], request(1))
        log.append_faults.append(AppendFault.LATE)
        assert (
            ending(desks[0], request(2, wait_s=0.1)) == "not_run/claim_unsure"
        )
        assert desks[0].flush(5)
        log.deliver_late()
        wait_until(lambda: ending(desks[0], request(2)) == "won")


def test_many_claims_share_appends() -> None:
    log = FakeLog()
    with running_desks(log, 1) as desks:
        win(desks[0], request(0))
        before, appends = log.tail("claims"), appends_made()
        with ThreadPoolExecutor(32) as pool:
            won = pool.map(
                lambda n: ending(desks[0], request(n)), range(1, 400)
            )
            assert set(won) == {"won"}
        assert log.tail("claims") - before == 399
        assert appends_made() - appends < 399 / 4


def appends_made() -> float:
    labels = {"result": "applied"}
    name = "savorylift_claim_appends_total"
    return REGISTRY.get_sample_value(name, labels) or 0.0


def test_claimant_that_is_gone_leaves_unknown() -> None:
    with running_desks(FakeLog(), 2) as desks:
        win(desks[0], request(1))
        parts = desks[1]._parts
        members = dict(parts.roster.current().members)
        del members["entry-0"]
        parts.roster.replace(parts.roster.current()._replace(members=members))
        assert ending(desks[1], request(1)) == "unknown/answer_lost"


@pytest.mark.parametrize("fault", ["silent", "frozen"])
def test_next_server_takes_over(fault: str) -> None:
    with running_desks(FakeLog(), 6) as desks:
        desk = next(desk for desk in desks if not _serves(desk))
        win(desk, request(1))
        net = desk._parts.link._net  # type: ignore[attr-defined]
        getattr(net, fault).add(_servers(desk)[0])
        assert ending(desk, request(2)) == "won"
        started_s = time.monotonic()
        assert ending(desk, request(3)) == "won"
        assert time.monotonic() - started_s < 0.5, "asked the silent one again"


def test_leaving_node_hands_its_shard_on() -> None:
    with running_desks(FakeLog(), 6) as desks:
        win(desks[0], request(1))
        first = _servers(desks[0])[0]
        roster = desks[0]._parts.roster
        members = {
            vm: member._replace(leaving=member.info.ref == first)
            for vm, member in roster.current().members.items()
        }
        roster.replace(roster.current()._replace(members=members))
        assert all(first not in _servers(desk) for desk in desks)
        for desk in desks:
            wait_until(lambda desk=desk: ending(desk, request(1)) == IN_USE)  # type: ignore[misc]
            win(desk, request(10 + desks.index(desk)))


def test_unreachable_servers_are_not_run() -> None:
    with running_desks(FakeLog(), 6) as desks:
        desk = next(desk for desk in desks if not _serves(desk))
        net = desk._parts.link._net  # type: ignore[attr-defined]
        net.silent.update(_servers(desk))
        assert ending(desk, request(1)) == "not_run/keeper_unreachable"


def _servers(desk: ClaimDesk) -> tuple[object, ...]:
    return desk._shards.servers(0)


def _serves(desk: ClaimDesk) -> bool:
    return desk._parts.me in _servers(desk)
