"""Takes the steps of a roll-out, each in the store before it counts."""

from savorylift.fleet.rollout_messages import Stage
from savorylift.rollouts.announcer import Announcer
from savorylift.rollouts.board import RolloutBoard
from savorylift.rollouts.judging import EvidenceBook
from savorylift.rollouts.next_stage import Situation, find_next
from savorylift.rollouts.order import RolloutLimits, RolloutOrder
from savorylift.rollouts.order_clock import with_mark, with_time_passed
from savorylift.rollouts.recorder import StageRecorder
from savorylift.rollouts.rollout_site import RolloutSite
from savorylift.rollouts.stage import WITHDRAWN_ID, begin, replaces


class Decider:
    """Decides for the services that are this node's to decide on.

    A node that takes over writes a new epoch first. Every write depends on
    the one before it: once another node has taken over, those of this one
    fail, however long it stood still in between.
    """

    def __init__(
        self,
        limits: RolloutLimits,
        board: RolloutBoard,
        evidence: EvidenceBook,
        recorder: StageRecorder,
        announcer: Announcer,
        site: RolloutSite,
    ) -> None:
        """Decides on nothing yet.

        Args:
            limits: What a bad version may get.
            board: What is known of roll-outs.
            evidence: How the versions answer.
            recorder: Keeps the stages in the store.
            announcer: Tells the other nodes.
            site: The rest of the node.
        """
        self._limits = limits
        self._board = board
        self._evidence = evidence
        self._recorder = recorder
        self._announcer = announcer
        self._site = site
        # Epoch of each service that this node has taken over.
        self._epochs: dict[str, int] = {}
        self._unwritten_status: set[str] = set()

    def is_own(self, stage: Stage) -> bool:
        """Whether a stage is one that this node answers for."""
        return self._epochs.get(stage.service) == stage.epoch

    def give_up(self, service: str | None = None) -> None:
        """Makes this node take a service over anew before it decides again.

        What it knows of the store may be out of date.

        Args:
            service: Name of the service; None for all.
        """
        if service is None:
            self._epochs.clear()
        else:
            self._epochs.pop(service, None)

    async def decide(self, service: str) -> bool:
        """Takes the next step of a service; returns whether nothing failed."""
        if not await self._take_over(service):
            return False
        stage = self._recorder.find(service)
        if stage is None:
            return True
        following = self._find_following(stage)
        if following is not None and not await self._write(following):
            return False
        return await self._write_status(service)

    def _find_following(self, stage: Stage) -> Stage | None:
        if stage.phase.is_final:
            return self._withdraw(stage)
        known = self._board.find_stage(stage.service)
        if known is None or not _is_end(known, stage):
            return find_next(stage, self._situation(stage), self._limits)
        # An end that the store doesn't have yet, or has lost, stands.
        return stage._replace(
            phase=known.phase,
            step=max(known.step, stage.step + 1),
            share=known.share,
            reason=known.reason,
        )

    async def _take_over(self, service: str) -> bool:
        """Makes this node the one whose stages count; returns whether it is."""
        if not self._recorder.is_loaded and not await self._recorder.load():
            return False
        last = self._recorder.find(service)
        order = self._board.orders.get(service)
        is_current = last is not None and (
            order is None or last.order_id == order.order_id
        )
        if last is not None and is_current:
            # The monotonic clock stands still while a VM is suspended.
            boot = self._site.read_boot_clock()
            self._board.note_elapsed(with_time_passed(last, boot))
            return await self._continue(last)
        if order is None:
            return True
        elapsed_s = self._board.elapsed_s(order.order_id)
        return await self._write_epoch(begin(order, last, elapsed_s))

    async def _continue(self, last: Stage) -> bool:
        """Goes on where the store says that a roll-out stands."""
        if self.is_own(last):
            self._take_up(last)
            return True
        self._announcer.hear(last)
        if not last.phase.is_final:
            return await self._write_epoch(last)
        self._epochs[last.service] = last.epoch
        if last.order_id != WITHDRAWN_ID:
            self._unwritten_status.add(last.service)
        return True

    def _take_up(self, last: Stage) -> None:
        """Lets a stage count that was written though the answer was lost."""
        known = self._board.stages.get(last.service)
        if not replaces(last, known):
            return
        self._publish(last)

    async def _write_epoch(self, stage: Stage) -> bool:
        heard = self._board.stages.get(stage.service)
        epoch = max(stage.epoch, 0 if heard is None else heard.epoch) + 1
        if not await self._write(stage._replace(epoch=epoch)):
            return False
        self._epochs[stage.service] = epoch
        return True

    async def _write(self, stage: Stage) -> bool:
        """Writes a stage, and then lets it count."""
        elapsed_s = self._board.elapsed_s(stage.order_id)
        boot = self._site.read_boot_clock()
        stage = with_mark(stage._replace(elapsed_s=elapsed_s), boot)
        recorded = await self._recorder.write(stage)
        if recorded is None:
            return False
        self._publish(recorded)
        return True

    def _publish(self, recorded: Stage) -> None:
        """Lets a stage count that the store has."""
        service = recorded.service
        if recorded.order_id == WITHDRAWN_ID:
            self._unwritten_status.discard(service)
        else:
            self._unwritten_status.add(service)
        # A roll-back that was told during the write stands.
        if self._board.accept(recorded):
            judgement = self._evidence.judge(service)
            self._announcer.publish(recorded, judgement)

    async def _write_status(self, service: str) -> bool:
        stage = self._recorder.find(service)
        if stage is None or service not in self._unwritten_status:
            return True
        if not await self._recorder.write_status(stage):
            return False
        self._unwritten_status.discard(service)
        return True

    def _situation(self, stage: Stage) -> Situation:
        service, board = stage.service, self._board
        view = self._site.view_fleet(service)
        return Situation(
            elapsed_s=board.elapsed_s(stage.order_id),
            step_age_s=board.stage_age_s(service),
            judgement=self._evidence.judge(service),
            routes=self._evidence.find_routes(service),
            has_new=board.has_new(service),
            has_old=board.has_old(service),
            has_engines=self._site.has_engines(service),
            hears_enough=view.hears_enough,
            other_builds=view.other_builds,
            is_ordered=not self._is_withdrawn(stage),
        )

    def _withdraw(self, stage: Stage) -> Stage | None:
        """Returns the stage of a service whose last order is withdrawn.

        The same order may come again after that.
        """
        if stage.order_id == WITHDRAWN_ID or not self._is_withdrawn(stage):
            return None
        epoch = self._epochs[stage.service] = stage.epoch + 1
        return stage._replace(
            order_id=WITHDRAWN_ID, epoch=epoch, reason="withdrawn"
        )

    def _is_withdrawn(self, stage: Stage) -> bool:
        is_known = self._site.is_known()
        return is_known and self._board.is_withdrawn(stage.service)


def is_order_open(order: RolloutOrder | None, stage: Stage | None) -> bool:
    """Whether the answers to a service's requests still matter."""
    if order is None:
        return False
    return stage is None or not stage.phase.is_final


def _is_end(known: Stage, recorded: Stage) -> bool:
    """Whether a stage ends the roll-out that the store says goes on."""
    return known.phase.is_final and known.order_id == recorded.order_id
