"""Plans which runs are copied off leaving engines, in which order and to where.

It is for times at which several engines leave at once, with a notice in which
the link of each carries copies of only a part of its runs, and in which they
need the same destinations. A copy takes the links of both engines for its time.
"""

import enum
from collections.abc import Callable, Collection, Iterable, Mapping
from typing import NamedTuple

from savorylift.moves.begun_copies import MoveKey
from savorylift.moves.copy_schedule import CopySchedule, PlannedCopy
from savorylift.moves.move_inputs import Destination, LeavingEngine, MovingRun


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
        unsaved: The other runs, except those that end by themselves.
        late: For each engine without such copies, a copy of the next run that
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
    # Runs that are copied if their engines stay longer than expected.
    leftover = []
    for run in sorted(runs, key=lambda run: _loss_rank(run, sources)):
        leaves_in_s = sources[run.source_id].leaves_in_s
        copy = schedule.add(run, leaves_in_s)
        if copy is not None:
            copies.append(copy)
            continue
        if run.ends_in_s < leaves_in_s:
            leftover.append(run)
            continue
        reason = UnsavedReason.ROOM
        if schedule.has_room(run):
            reason = UnsavedReason.TIME
        unsaved.append(UnsavedRun(run, reason))
        if not run.may_repeat:
            leftover.append(run)
    used = {copy.run.source_id for copy in copies}
    late = _add_next(leftover, used, schedule.add)
    used.update(copy.run.source_id for copy in late)
    trials = _add_next(leftover, used, schedule.add_without_room)
    return MovePlan(
        tuple(copies), tuple(unsaved), tuple(late), tuple(trials), sources
    )


def _add_next(
    runs: Iterable[MovingRun],
    used: Collection[str],
    add: Callable[[MovingRun], PlannedCopy | None],
) -> list[PlannedCopy]:
    """Plans one copy off each source that isn't in `used`.

    Args:
        runs: Runs to choose from, first ones first.
        used: IDs of the sources that have copies.
        add: Plans a copy of a run; returns None if there can be none.
    """
    found: dict[str, PlannedCopy] = {}
    for run in runs:
        if run.source_id in used or run.source_id in found:
            continue
        copy = add(run)
        if copy is not None:
            found[run.source_id] = copy
    return list(found.values())


class _LossRank(NamedTuple):
    """Sort key by what callers lose; the lowest goes first.

    Attributes:
        ends_in_time: Whether the run should end before its engine leaves.
        may_repeat: Whether it may be made again from its prompt.
        priority: Priority; 0 goes first.
        tokens_by_worth: Tokens to copy, divided by the worth of the run: up to
            twice as much for a nearly finished one as for one that has just
            begun. The smallest go first, so that most runs are saved.
        key: Decides between equal ones.
    """

    ends_in_time: bool
    may_repeat: bool
    priority: int
    tokens_by_worth: float
    key: MoveKey


def _loss_rank(
    run: MovingRun, sources: Mapping[str, LeavingEngine]
) -> _LossRank:
    return _LossRank(
        run.ends_in_s < sources[run.source_id].leaves_in_s,
        run.may_repeat,
        run.priority,
        run.tokens / (1 + run.done_share),
        run.key,
    )
