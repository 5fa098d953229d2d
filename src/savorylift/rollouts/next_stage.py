"""Decides on the next stage of a roll-out, from what is known of it.

These functions keep no state; `decider.py` calls them and takes the steps.
"""

from collections.abc import Mapping
from typing import NamedTuple

from savorylift.fleet.rollout_messages import RolloutPhase, Stage
from savorylift.rollouts.order import RolloutLimits
from savorylift.rollouts.run_times import RouteRuns
from savorylift.rollouts.timetable import (
    SHORTEST_SHIFT_S,
    Timetable,
    load_duration_s,
    make_timetable,
)
from savorylift.rollouts.verdict import Judgement, Opinion

# Shares of the requests that a version may get before it is found sound, as
# parts of what a bad one may get.
FIRST_PART = 0.3
WATCH_PART = 0.9
# Parts of the requests that a bad version may get, its slack included: what the
# watch may use up at least and at most, and what all steps together may use up
# before `completed`.
LEAST_WATCH_BUDGET_PART = 0.35
WATCH_BUDGET_PART = 0.6
WHOLE_BUDGET_PART = 0.9
# A node that has decided for a shorter time doesn't know how many requests
# there are, nor how long they run.
MIN_RATE_TIME_S = 1.0
# Share with which a version is tried under load, before it gets all requests.
LOAD_SHARE = 0.3
# Steps of a roll-out.
FIRST_STEP = 1
WATCH_STEP = 2
LOAD_STEP = 3
SHIFT_STEP = 4
# The first step ends after so many sound answers, or this part of the time.
FIRST_ANSWERS = 5
FIRST_TIME_PART = 0.25
# It ends after `MIN_RATE_TIME_S` if fewer answers than this are expected in it.
FEW_FIRST_ANSWERS = 2
# A version that is still doubtful after this multiple of the time for the trial
# under load is rolled back.
MAX_LOAD_FACTOR = 3


class Situation(NamedTuple):
    """What the next stage depends on.

    Attributes:
        elapsed_s: Time since the order.
        step_age_s: Time since the last stage began.
        judgement: How the new version answers.
        has_new: Whether a server of the new version is in service.
        has_old: Whether one of another version is in service.
        has_engines: Whether the service has engines, whose streams last.
        hears_enough: Whether the deciding node hears enough of the fleet.
        other_builds: Share of the nodes that know nothing of roll-outs.
        is_ordered: Whether the order still stands.
        routes: How long requests run at the old version, by route, as far as
            known.
    """

    elapsed_s: float
    step_age_s: float
    judgement: Judgement
    has_new: bool
    has_old: bool
    has_engines: bool
    hears_enough: bool
    other_builds: float
    is_ordered: bool = True
    routes: Mapping[str, RouteRuns] = {}


def first_share(limits: RolloutLimits) -> float:
    """Returns the share that holds without any news of a roll-out."""
    return FIRST_PART * limits.share


def watched_share(limits: RolloutLimits) -> float:
    """Returns the least share with which a version is watched."""
    return WATCH_PART * limits.share


def find_next(
    stage: Stage, situation: Situation, limits: RolloutLimits
) -> Stage | None:
    """Returns the stage that follows now; None while the last one stands."""
    if stage.phase.is_final:
        return None
    judgement = situation.judgement
    if judgement.opinion is Opinion.BAD:
        assert judgement.finding is not None
        return roll_back(stage, judgement.finding.describe())
    if not situation.is_ordered:
        return roll_back(stage, "the order was withdrawn")
    if not situation.hears_enough:
        return _end_late(stage, situation)
    if stage.step >= SHIFT_STEP:
        return _end_shift(stage, situation)
    if stage.step == LOAD_STEP:
        return _end_load(stage, situation)
    return (
        _begin_load(stage, situation)
        or _end_late(stage, situation)
        or _raise_share(stage, situation, limits)
    )


def roll_back(stage: Stage, reason: str) -> Stage:
    """Returns the stage in which the new version gets no more requests."""
    return stage._replace(
        phase=RolloutPhase.ROLLED_BACK,
        step=stage.step + 1,
        share=0.0,
        reason=reason,
    )


def _raise_share(
    stage: Stage, situation: Situation, limits: RolloutLimits
) -> Stage | None:
    """Returns the stage with the next share below what a bad version may get.

    Nodes of other builds send to any version. What they send there counts.
    """
    if not situation.has_new:
        return None
    if stage.step < FIRST_STEP:
        share = max(FIRST_PART * limits.share - situation.other_builds, 0.0)
        return _advance(stage, FIRST_STEP, share, "servers are there")
    if stage.step >= WATCH_STEP or _is_doubtful(situation):
        return None
    if situation.step_age_s < MIN_RATE_TIME_S:
        return None
    is_due = situation.elapsed_s >= FIRST_TIME_PART * stage.duration_s
    has_answers = situation.judgement.new_answers >= FIRST_ANSWERS
    if not (is_due or has_answers or _has_few_requests(stage, situation)):
        return None
    watch_share = _watch_share(stage, situation, limits)
    share = max(watch_share - situation.other_builds, 0.0)
    return _advance(stage, WATCH_STEP, share, "sound so far")


def _has_few_requests(stage: Stage, situation: Situation) -> bool:
    """Whether the first share brings too few answers to tell anything."""
    first_s = FIRST_TIME_PART * stage.duration_s
    judgement = situation.judgement
    if judgement.new_answers + judgement.old_answers < FIRST_ANSWERS:
        return False
    expected = _requests_per_s(situation) * stage.share * first_s
    return expected < FEW_FIRST_ANSWERS


def _requests_per_s(situation: Situation) -> float:
    judgement = situation.judgement
    answers = judgement.new_answers + judgement.old_answers
    return answers / situation.elapsed_s if situation.elapsed_s > 0 else 0.0


def _watch_share(
    stage: Stage, situation: Situation, limits: RolloutLimits
) -> float:
    """Returns the share with which a version is watched.

    It makes use of the slack, too, which allows a service with few requests
    far more than the share does.
    """
    least_share, per_s = watched_share(limits), _requests_per_s(situation)
    if not per_s:
        return least_share
    timetable = _find_timetable(stage, situation)
    # All of these are numbers of requests.
    allowed = limits.share * per_s * stage.duration_s + limits.slack
    load_time_s = load_duration_s(stage.duration_s)
    after_watch = per_s * (LOAD_SHARE * load_time_s + timetable.mean_shift_s)
    budget = max(
        WHOLE_BUDGET_PART * allowed - after_watch,
        LEAST_WATCH_BUDGET_PART * allowed,
    )
    budget = min(budget, WATCH_BUDGET_PART * allowed)
    during_watch = max(per_s * timetable.load_s, 1.0)
    return min(max(budget / during_watch, least_share), LOAD_SHARE)


def _begin_load(stage: Stage, situation: Situation) -> Stage | None:
    timetable = _find_timetable(stage, situation)
    is_due = timetable.load_s <= situation.elapsed_s <= timetable.latest_load_s
    if not is_due or not _may_get_load(situation):
        return None
    if stage.step < FIRST_STEP or not situation.has_new:
        return None
    return _advance(stage, LOAD_STEP, LOAD_SHARE, "sound")


def _end_load(stage: Stage, situation: Situation) -> Stage | None:
    load_time_s = load_duration_s(stage.duration_s)
    if situation.step_age_s < load_time_s:
        return None
    late = _end_late(stage, situation)
    if late is not None:
        return late
    if not _is_doubtful(situation):
        timetable = _find_timetable(stage, situation)
        held = timetable.find_held_routes(situation.elapsed_s)
        shifted = stage._replace(held_routes=held)
        return _advance(shifted, SHIFT_STEP, 1.0, "sound under load")
    if situation.step_age_s < MAX_LOAD_FACTOR * load_time_s:
        return None
    return roll_back(stage, "doubtful under load")


def _end_shift(stage: Stage, situation: Situation) -> Stage | None:
    timetable = _find_timetable(stage, situation)
    due = _find_due_routes(stage, situation, timetable)
    if due:
        held = tuple(r for r in stage.held_routes if r not in due)
        further = stage._replace(held_routes=held)
        return _advance(further, stage.step + 1, 1.0, "further routes are due")
    if stage.held_routes:
        return None
    if situation.elapsed_s < timetable.complete_s:
        return None
    if situation.step_age_s < SHORTEST_SHIFT_S:
        return None
    if not situation.has_new:
        # The old servers would stop at once, and leave none.
        return _end_late(stage, situation)
    return stage._replace(
        phase=RolloutPhase.COMPLETED,
        step=stage.step + 1,
        reason="sound to the end",
    )


def _find_due_routes(
    stage: Stage, situation: Situation, timetable: Timetable
) -> set[str]:
    """Returns the held routes that are due to be shifted."""
    still_held = timetable.find_held_routes(situation.elapsed_s)
    due = set(stage.held_routes).difference(still_held)
    if situation.step_age_s < MIN_RATE_TIME_S:
        # Nodes are still to tell how long requests run.
        due.intersection_update(situation.routes)
    return due


def _end_late(stage: Stage, situation: Situation) -> Stage | None:
    """Rolls back what can't be completed before the deadline any more."""
    timetable = _find_timetable(stage, situation)
    latest_s = timetable.latest_load_s
    if stage.step >= LOAD_STEP:
        latest_s = stage.duration_s
    if situation.elapsed_s <= latest_s:
        return None
    return roll_back(stage, "not shown to be sound in time")


def _may_get_load(situation: Situation) -> bool:
    """Whether a version is sound, or has no old one to be compared with."""
    judgement = situation.judgement
    if judgement.opinion is Opinion.UNKNOWN:
        return not situation.has_old and not judgement.old_answers
    return judgement.opinion is Opinion.SOUND


def _find_timetable(stage: Stage, situation: Situation) -> Timetable:
    return make_timetable(
        stage.duration_s,
        situation.routes,
        has_engines=situation.has_engines,
    )


def _is_doubtful(situation: Situation) -> bool:
    return situation.judgement.opinion is Opinion.SUSPECT


def _advance(stage: Stage, step: int, share: float, reason: str) -> Stage:
    phase = RolloutPhase.SHIFT if step >= SHIFT_STEP else RolloutPhase.WATCH
    return stage._replace(phase=phase, step=step, share=share, reason=reason)
