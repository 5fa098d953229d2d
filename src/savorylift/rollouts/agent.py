"""A node's part in roll-outs.

One node at a time decides for a service. All count what they see, follow the
stages that they hear of, and stop by themselves if need be.
"""

import asyncio
import time

import structlog

from savorylift.fleet.rollout_messages import (
    RolloutMessage,
    RolloutPhase,
    Stage,
    StageNews,
)
from savorylift.rollouts import metrics
from savorylift.rollouts.announcer import Announcer
from savorylift.rollouts.answers import AnswerObserver
from savorylift.rollouts.board import RolloutBoard
from savorylift.rollouts.counting import Counting, CountingBook
from savorylift.rollouts.decider import Decider, is_order_open
from savorylift.rollouts.evidence import FleetEvidence
from savorylift.rollouts.judging import EvidenceBook
from savorylift.rollouts.message_check import is_sound
from savorylift.rollouts.next_stage import roll_back
from savorylift.rollouts.order import RolloutLimits
from savorylift.rollouts.recorder import StageRecorder
from savorylift.rollouts.rollout_site import RolloutSite
from savorylift.rollouts.verdict import Opinion, judge

DECIDE_INTERVAL_S = 0.2
RETRY_INTERVAL_S = 0.5
# Answers of the new version on which a node may stop by itself.
MIN_OWN_ANSWERS = 8
# A node that stood still for longer asks the store before it goes on.
STANDSTILL_S = 1.0

_log = structlog.get_logger()


class RolloutAgent:
    """This node's part in the roll-outs of all services."""

    def __init__(
        self,
        limits: RolloutLimits,
        board: RolloutBoard,
        answers: AnswerObserver,
        recorder: StageRecorder,
        site: RolloutSite,
        source: int,
    ) -> None:
        """Knows no order yet.

        Args:
            limits: What a bad version may get.
            board: What is known of roll-outs.
            answers: Follows the requests.
            recorder: Keeps the stages in the store.
            site: The rest of the node.
            source: Random number of this process.
        """
        self._board = board
        self._site = site
        self._book = CountingBook(answers, source)
        self._evidence = EvidenceBook()
        self._announcer = Announcer(board, site)
        self._decider = Decider(
            limits, board, self._evidence, recorder, self._announcer, site
        )
        self._updated_s = time.monotonic()
        self._has_services = asyncio.Event()

    def receive(self, message: RolloutMessage) -> None:
        """Handles a message of another node."""
        if not is_sound(message):
            _log.warning("rollout_message_unsound")
            return
        if isinstance(message, StageNews):
            for stage in message.stages:
                self._announcer.hear(stage)
            return
        order = self._board.orders.get(message.service)
        if order is not None and order.order_id == message.order_id:
            evidence = self._evidence.find(order)
            evidence.merge(message.source, message.cells)
            evidence.runs.merge(message.source, message.run_times)

    def greet(self, ip: str) -> None:
        """Tells a node that has just started where roll-outs stand."""
        self._announcer.greet(ip)

    def update(self) -> None:
        """Does what is due and needs no store; to be called periodically."""
        now_s = time.monotonic()
        if now_s - self._updated_s > STANDSTILL_S:
            self._decider.give_up()
        self._updated_s = now_s
        orders = self._site.read_orders()
        if orders is not None:
            self._board.set_orders(orders)
        for service in self._board.services:
            self._update_service(service)
        if self._board.services:
            self._has_services.set()

    async def run(self) -> None:
        """Decides and writes to the store, forever."""
        while True:
            await self._has_services.wait()
            is_done = True
            for service in self._board.services:
                view = self._site.view_fleet(service)
                if view.is_decider and view.hears_enough:
                    is_done = await self._decider.decide(service) and is_done
                else:
                    self._decider.give_up(service)
            await asyncio.sleep(
                DECIDE_INTERVAL_S if is_done else RETRY_INTERVAL_S
            )

    def _update_service(self, service: str) -> None:
        board = self._board
        board.note_servers(service, self._site.find_servers(service))
        stage, order = board.find_stage(service), board.orders.get(service)
        view = self._site.view_fleet(service)
        if order is None or not is_order_open(order, stage):
            self._book.end(service)
            self._evidence.forget(service)
        elif stage is not None:
            # A stage tells how long ago the order was, also to a node that has
            # just started.
            elapsed_s = board.elapsed_s(order.order_id)
            counting = self._book.begin(order, elapsed_s)
            if view.is_decider:
                counting.add_to(self._evidence.find(order))
                self._roll_back_if_bad(stage)
            elif counting.report(view.decider_ip, self._site.send):
                self._stop_by_itself(service, counting)
        if stage is not None and view.is_decider:
            self._tell_again(service, hears_enough=view.hears_enough)

    def _tell_again(self, service: str, *, hears_enough: bool) -> None:
        """Tells a stage again that this node answers for."""
        stage = self._board.find_stage(service)
        if stage is None:
            return
        is_own = self._decider.is_own(stage)
        if is_own and hears_enough:
            # No other node tells this one that the stage still stands.
            self._board.accept(stage)
        if is_own or stage.phase is RolloutPhase.ROLLED_BACK:
            self._announcer.tell_again(stage)

    def _roll_back_if_bad(self, stage: Stage) -> None:
        """Rolls a bad version back without waiting for the store."""
        judgement = self._evidence.judge(stage.service)
        if judgement.opinion is not Opinion.BAD:
            return
        assert judgement.finding is not None
        reason = judgement.finding.describe()
        end = roll_back(stage, reason)._replace(is_recorded=False)
        if self._board.accept(end):
            self._announcer.publish(end, judgement)

    def _stop_by_itself(self, service: str, counting: Counting) -> None:
        """Stops sending to a version that is bad as far as this node sees."""
        if self._board.share(service) <= 0:
            return
        own = FleetEvidence()
        counting.add_to(own)
        judgement = judge(own)
        if judgement.opinion is not Opinion.BAD:
            return
        if judgement.new_answers < MIN_OWN_ANSWERS:
            return
        assert judgement.finding is not None
        metrics.STOPS.inc()
        self._board.stop(service)
        reason = judgement.finding.describe()
        _log.info("rollout_stopped_here", service=service, reason=reason)
