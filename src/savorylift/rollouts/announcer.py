"""Tells nodes where roll-outs stand, and hears it from them."""

import time

import structlog

from savorylift.fleet.rollout_messages import Stage, StageNews
from savorylift.rollouts import metrics
from savorylift.rollouts.board import RolloutBoard
from savorylift.rollouts.rollout_site import RolloutSite
from savorylift.rollouts.verdict import Judgement

NEWS_INTERVAL_S = 1.0
# Final stages are told less often after a while.
FINAL_NEWS_INTERVAL_S = 5.0
FINAL_NEWS_S = 15.0

_log = structlog.get_logger()


class Announcer:
    """Carries stages between this node and the others."""

    def __init__(self, board: RolloutBoard, site: RolloutSite) -> None:
        """Tells nothing yet.

        Args:
            board: What is known of roll-outs.
            site: The rest of the node.
        """
        self._board = board
        self._site = site
        # Monotonic time at which the stage of a service is told again.
        self._next_s: dict[str, float] = {}

    def hear(self, stage: Stage) -> None:
        """Takes a stage that another node or the store has."""
        if not self._board.accept(stage):
            return
        _log.info(
            "rollout_stage_heard",
            service=stage.service,
            version=stage.version,
            phase=stage.phase.value,
            step=stage.step,
            share=stage.share,
            epoch=stage.epoch,
            is_recorded=stage.is_recorded,
        )

    def publish(self, stage: Stage, judgement: Judgement) -> None:
        """Logs a stage that this node has decided on, and tells all nodes.

        Args:
            stage: The stage, which the board has accepted.
            judgement: What it rests on.
        """
        metrics.STAGES.labels(stage.phase.value).inc()
        _log.info(
            "rollout_stage",
            service=stage.service,
            version=stage.version,
            phase=stage.phase.value,
            step=stage.step,
            share=stage.share,
            held_routes=stage.held_routes,
            epoch=stage.epoch,
            reason=stage.reason,
            elapsed_s=round(stage.elapsed_s, 3),
            opinion=judgement.opinion.value,
            new_answers=judgement.new_answers,
            old_answers=judgement.old_answers,
            is_recorded=stage.is_recorded,
        )
        self._tell(stage)

    def tell_again(self, stage: Stage) -> None:
        """Tells all nodes that a stage still stands, now and then."""
        if time.monotonic() >= self._next_s.get(stage.service, 0.0):
            self._tell(stage)

    def greet(self, ip: str) -> None:
        """Tells a node that has just started where roll-outs stand."""
        stages = tuple(
            self._as_news(stage)
            for service, stage in self._board.stages.items()
            if self._site.view_fleet(service).is_decider
        )
        if stages:
            self._site.send(StageNews(stages), ip)

    def _tell(self, stage: Stage) -> None:
        is_old = self._board.stage_age_s(stage.service) > FINAL_NEWS_S
        is_rare = stage.phase.is_final and is_old
        interval_s = FINAL_NEWS_INTERVAL_S if is_rare else NEWS_INTERVAL_S
        self._next_s[stage.service] = time.monotonic() + interval_s
        self._site.send(StageNews((self._as_news(stage),)), None)

    def _as_news(self, stage: Stage) -> Stage:
        """Returns a stage with the time since its order as it is now."""
        elapsed_s = self._board.elapsed_s(stage.order_id)
        return stage._replace(elapsed_s=elapsed_s, clock_marks=())
