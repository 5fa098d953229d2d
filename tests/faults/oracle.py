"""Compares what callers got with the stand-ins' own records."""

import collections
import time
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Any, NamedTuple

from savorylift.outcomes import Ending
from tests.faults.load import CUT, PROMPT_WORDS, WHOLE, Got
from tests.faults.world import ColdTurn, Order, World

ORDER_BOUND_S = 3.0  # from an order's acceptance to the last new work
COLD_NOTICE_S = 1.0  # the stand-in bears what comes this soon after

Records = Mapping[str, Mapping[str, Any]]


class Mark(NamedTuple):
    """The state of all records at the start of a period.

    Attributes:
        time_s: Wall-clock time.
        records: Records of all backend servers.
    """

    time_s: float
    records: Records


def mark(world: World) -> Mark:
    """Returns a mark for now."""
    return Mark(time.time(), _records(world))


def violations(
    world: World,
    since: Mark,
    got: Sequence[Got],
) -> list[str]:
    """Returns everything that broke a promise since a mark."""
    records = _records(world)
    found = [
        *answer_faults(got),
        *double_runs(records, world.plan.service),
        *false_not_runs(since.records, records, got),
        *overruns(since.records, records, world.cold_turns),
        *late_dispatches(records, world.orders),
        *world.watch.reverted(since.time_s),
    ]
    given = refusals_given(got)
    if given:
        world.wait_account_still()
        account = world.account(since.time_s)
        found += account_faults(given, account, got)
    return found


def answer_faults(got: Iterable[Got]) -> Iterator[str]:
    """Yields answers that are wrong, or end without saying why."""
    for item in got:
        if item.fault:
            yield f"{item.fault}: {item}"
        if item.outcome == CUT:
            yield f"a stream ended without end mark or error: {item}"


def double_runs(records: Records, service: str) -> Iterator[str]:
    """Yields keys that ran more than once over all instances."""
    runs: collections.Counter[str] = collections.Counter()
    for name, seen in records.items():
        if name.startswith(service):
            runs.update(seen["runs_by_key"])
    for key, count in runs.items():
        if count > 1:
            yield f"key {key} ran {count} times"


def false_not_runs(
    before: Records, after: Records, got: Iterable[Got]
) -> Iterator[str]:
    """Yields answers `not_run` to requests that a backend server ran."""
    calls = {
        identifier
        for seen in after.values()
        for identifier in (
            *seen.get("runs_by_key", ()),
            *seen.get("runs_by_id", ()),
        )
    }
    prompts = {
        gen["prompt_tokens"] - PROMPT_WORDS
        for name, seen in after.items()
        for gen in seen.get("generations", ())[
            len(before[name].get("generations", ())) :
        ]
    }
    for item in got:
        if item.ending is not Ending.NOT_RUN:
            continue
        ids = {item.key, *(attempt.request_id for attempt in item.attempts)}
        is_call = item.kind in ("GET", "POST")
        if calls & ids if is_call else item.number in prompts:
            yield f"said not_run, but ran: {item}"


def overruns(
    before: Records, after: Records, turns: Iterable[ColdTurn]
) -> Iterator[str]:
    """Yields backend servers given more than they bear while cold.

    What comes just after a server turned cold without warning is excused.
    """
    turned = {turn.server: turn.time_s for turn in turns}
    for name, seen in after.items():
        for overrun in seen["overruns"][len(before[name]["overruns"]) :]:
            time_s = overrun if isinstance(overrun, float) else overrun["time"]
            since_s = time_s - turned.get(name, float("-inf"))
            if not 0 <= since_s < COLD_NOTICE_S:
                yield f"{name} was overrun: {overrun}, {since_s:.2f} s cold"
        most = seen["max_cold_offered"]
        known = max(seen["cold_limit"], before[name]["max_cold_offered"])
        if most > known and name not in turned:
            yield f"{name} was offered {most} while cold"


def late_dispatches(records: Records, orders: Iterable[Order]) -> Iterator[str]:
    """Yields new work that came after its server was closed."""
    for order in orders:
        from_s = order.accepted_s + ORDER_BOUND_S
        for name in order.servers:
            for item in records[name]["dispatches"]:
                if from_s < item["time"] < order.lifted_s:
                    late_s = item["time"] - order.accepted_s
                    yield f"{name} got work {late_s:.2f} s after it closed"


def refusals_given(got: Iterable[Got]) -> "collections.Counter[Line]":
    """Counts the refusals that callers were given by nodes."""
    given: collections.Counter[Line] = collections.Counter()
    for item in got:
        for attempt in item.attempts:
            if attempt.error is not None:
                line = Line(
                    item.team, attempt.error["ending"], attempt.error["code"]
                )
                given[line] += 1
        if item.is_event and item.ending is not None:
            given[Line(item.team, item.ending.value, item.outcome)] += 1
    return given


class Line(NamedTuple):
    """What refusals are counted by."""

    team: str
    ending: str
    reason: str


def account_faults(
    given: "collections.Counter[Line]",
    account: Iterable[Mapping[str, Any]],
    got: Iterable[Got],
) -> Iterator[str]:
    """Yields refusals that the account lacks or has too often.

    A caller that lost its connection may have been refused unseen, so the
    account may have as many more of its team as it lost answers.
    """
    told: collections.Counter[Line] = collections.Counter()
    for row in account:
        line = Line(row["team"], row["ending"], row["reason"])
        told[line] += row["refusals"]
    unseen: collections.Counter[str] = collections.Counter()
    for item in got:
        lost = [item for item in item.attempts if item.status is None]
        unseen[item.team] += len(lost) + item.resumes
        unseen[item.team] += item.outcome != WHOLE and not item.is_event
    for line, count in given.items():
        if told[line] < count:
            yield f"{count} were given {line}, the account has {told[line]}"
    for team in {line.team for line in given}:
        extra = sum(
            max(0, count - given[line])
            for line, count in told.items()
            if line.team == team
        )
        if extra > unseen[team]:
            yield f"the account has {extra} too many of {team}: {told}"


def _records(world: World) -> Records:
    servers = world.deployment.backend_servers
    return {name: server.seen() for name, server in servers.items()}
