"""Plans which runs are copied off leaving engines, in which order and to where.

It is for times at which several engines leave at once, with a notice in which
the link of each carries copies of only a part of its runs, and in which they
need the same destinations. A copy takes the links of both engines for its time.
"""

import enum
from collections.abc import Callable, Collection, Iterable, Mapping
from typing import NamedTuple

from savorylift.moves.copy_schedule import (
    CopySchedule,
    Destination,
    LeavingEngine,
    MovingRun,
    PlannedCopy,
)


class UnsavedReason(enum.StrEnum):
    """Why a run can't be copied before its engine leaves.

    Attributes:
        TIME: The links have no time left for it.
        ROOM: No engine that may run it has room.
    """

    TIME = "time"
    ROOM = "room"


class UnsavedRun(NamedTuple):
    """A run that can't be copied before its engine leaves.

    Attributes:
        run: The run.
        reason: Why.
    """

    run: MovingRun
    reason: UnsavedReason


class MovePlan(NamedTuple):
    """What becomes of the runs on leaving engines.

    Attributes:
        copies: Copies that end before the engine leaves, first ones first.
        unsaved: The other runs, but those that end by themselves.
        late: For each engine without such copies, that of the next run which
            can't be made again or should end by itself: the engine may stay
            longer than expected.
        trials: For each engine without any of these, a copy of the next run
            that has room nowhere, to the emptiest engine. No room is promised
            for it: what is free is an estimate, and nothing is lost by trying.
        sources: The engines that leave, by ID.
    """

    copies: tuple[PlannedCopy, ...]
    unsaved: tuple[UnsavedRun, ...]
    late: tuple[PlannedCopy, ...]
    trials: tuple[PlannedCopy, ...]
    sources: Mapping[str, LeavingEngine]


def plan_moves(
    runs: Iterable[MovingRun],
    sources: Mapping[str, LeavingEngine],
    destinations: Mapping[str, Destination],
) -> MovePlan:
    """Plans the moves of all runs on leaving engines.

    The runs whose loss costs callers most go first. Each is copied to where
    its copy ends first.

    Args:
        runs: The runs; each is on one of the sources.
        sources: Engines that leave, by ID.
        destinations: Engines that runs may go to, by ID.
    """
    schedule = CopySchedule(sources, destinations)
    copies = []
    unsaved = []
    left = []
    for run in sorted(runs, key=lambda run: _loss_order(run, sources)):
        leaves_in_s = sources[run.source_id].leaves_in_s
        copy = schedule.add(run, leaves_in_s)
        if copy is not None:
            copies.append(copy)
            continue
        if run.ends_in_s < leaves_in_s:
            left.append(run)
            continue
        reason = UnsavedReason.ROOM
        if schedule.has_room(run):
            reason = UnsavedReason.TIME
        unsaved.append(UnsavedRun(run, reason))
        if not run.may_repeat:
            left.append(run)
    used = {copy.run.source_id for copy in copies}
    late = _add_next(left, used, schedule.add)
    used.update(copy.run.source_id for copy in late)
    trials = _add_next(left, used, schedule.add_without_room)
    return MovePlan(
        tuple(copies), tuple(unsaved), tuple(late), tuple(trials), sources
    )


def _add_next(
    runs: Iterable[MovingRun],
    used: Collection[str],
    add: Callable[[MovingRun], PlannedCopy | None],
) -> list[PlannedCopy]:
    """Plans one copy off each source that isn't in `used`."""
    found: dict[str, PlannedCopy] = {}
    for run in runs:
        if run.source_id in used or run.source_id in found:
            continue
        copy = add(run)
        if copy is not None:
            found[run.source_id] = copy
    return list(found.values())


def _loss_order(
    run: MovingRun, sources: Mapping[str, LeavingEngine]
) -> tuple[bool, bool, int, float, tuple[str, int]]:
    """Sort key by what callers lose; the highest loss comes first.

    A nearly finished run is worth up to twice one that has just begun. Of runs
    that are worth the same, the smallest go first, so that most are saved.
    """
    return (
        run.ends_in_s < sources[run.source_id].leaves_in_s,
        run.may_repeat,
        run.priority,
        run.tokens / (1 + run.done_share),
        run.run_id,
    )
