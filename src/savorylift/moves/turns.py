"""Turns of this node's runs to be copied off engines that are draining.

In a large fleet the planner of the service's moves gives them; in a small one,
and without a planner, the nodes order their moves among each other.
"""

import contextlib
import time
from collections.abc import AsyncIterator, Callable, Collection

import structlog

from savorylift.backends.registry import BackendServer
from savorylift.exchange.run import Run
from savorylift.exchange.server_pool import ServerPool
from savorylift.fleet.move_messages import MoveOutcome, MoveReply, MoveRequest
from savorylift.moves import metrics
from savorylift.moves.move_order import PlannedMove
from savorylift.moves.move_plan import UnsavedReason
from savorylift.moves.plan_client import PlanClient
from savorylift.moves.run_outlook import done_share, ends_in_s

# For how long it is remembered when an engine was first seen to leave.
FORGET_NOTICE_S = 20.0
# Stands for reasons of later builds, so that counters stay few.
OTHER_REASON = "other"

_log = structlog.get_logger()


class Turn:
    """What a run is to do in its turn, and what it did.

    Attributes:
        destination_id: Engine to copy it to; None to choose one.
        unsaved_reason: Why no copy of it would end in time, if it is to be made
            again elsewhere; empty if it is to be copied.
        planner_wait_s: How long the planner was waited for.
        moved_to: Engine at which it goes on; None if it wasn't moved. Set by
            the one who takes the turn.
    """

    def __init__(
        self,
        destination_id: str | None = None,
        unsaved_reason: str = "",
        planner_wait_s: float = 0.0,
    ) -> None:
        """Creates a turn of a run that wasn't moved yet."""
        self.destination_id = destination_id
        self.unsaved_reason = unsaved_reason
        self.planner_wait_s = planner_wait_s
        self.moved_to: str | None = None


class MoveTurns:
    """Waits for the turns of runs."""

    def __init__(
        self,
        pool: ServerPool,
        client: PlanClient | None = None,
        may_repeat: Callable[[Run], bool] = lambda _: False,
    ) -> None:
        """Creates turns without runs.

        Args:
            pool: The engines, and the order of moves without a planner.
            client: Asks the planners; None without planners.
            may_repeat: Whether a run may be made again elsewhere now.
        """
        self._pool = pool
        self._client = client
        self._may_repeat = may_repeat
        # Monotonic time at which engines were first seen to leave.
        self._noticed_s: dict[str, float] = {}

    @contextlib.asynccontextmanager
    async def take(
        self, run: Run, tried: Collection[str]
    ) -> AsyncIterator[Turn]:
        """Waits for a run's turn and holds it until the context exits.

        Args:
            run: The run, which is at an engine.
            tried: IDs of the engines that can't take it.
        """
        source = run.server
        assert source is not None
        move = PlannedMove(
            source.entry.server_id, run.kv_cache_tokens, run.attempt_id
        )
        planner_ip = None
        if self._client is not None:
            planner_ip = self._client.find_planner(source.entry.service)
        begun_s = time.monotonic()
        reply = await self._ask(planner_ip, run, source, tried)
        wait_s = time.monotonic() - begun_s
        self._record(run, planner_ip, reply, wait_s)
        is_unsaved = reply is not None and reply.outcome == MoveOutcome.UNSAVED
        if reply is not None and is_unsaved and self._may_repeat(run):
            yield Turn(unsaved_reason=_known_reason(reply.reason))
            return
        # One that could be repeated only when the planner was asked stays.
        if (
            self._client is None
            or planner_ip is None
            or reply is None
            or is_unsaved
        ):
            async with self._pool.move_queue.turn(move):
                yield Turn(planner_wait_s=wait_s)
            return
        turn = Turn(reply.destination_id, planner_wait_s=wait_s)
        try:
            with self._pool.move_queue.planned_turn(move):
                yield turn
        finally:
            self._client.end(planner_ip, reply.number, turn.moved_to)

    async def _ask(
        self,
        planner_ip: str | None,
        run: Run,
        source: BackendServer,
        tried: Collection[str],
    ) -> MoveReply | None:
        """Returns the planner's last reply; None without a planner or reply."""
        if self._client is None or planner_ip is None:
            return None
        run.awaits_move = True
        try:
            return await self._client.ask(
                planner_ip,
                lambda: self._make_request(run, source, tried),
                run.admitted.deadline_s,
            )
        finally:
            run.awaits_move = False

    def _make_request(
        self, run: Run, source: BackendServer, tried: Collection[str]
    ) -> MoveRequest:
        admitted, entry = run.admitted, source.entry
        regions = admitted.regions
        barred = self._pool.kept.find_barred(admitted, tried)
        excluded = tried if barred is None else barred.excluded
        return MoveRequest(
            number=0,
            attempt_id=run.attempt_id,
            service=entry.service,
            server_id=entry.server_id,
            failure_domain=entry.failure_domain,
            notice_age_s=self._notice_age_s(entry.server_id),
            tokens=run.kv_cache_tokens,
            expected_tokens=max(run.expected_tokens, run.kv_cache_tokens),
            priority=admitted.priority,
            done_share=done_share(run),
            may_repeat=self._may_repeat(run),
            ends_in_s=ends_in_s(run),
            excluded=tuple(sorted(excluded)),
            software_version=admitted.software_version,
            regions=None if regions is None else tuple(sorted(regions)),
        )

    def _notice_age_s(self, server_id: str) -> float:
        now_s = time.monotonic()
        self._noticed_s = {
            known_id: noticed_s
            for known_id, noticed_s in self._noticed_s.items()
            if now_s - noticed_s < FORGET_NOTICE_S
        }
        return now_s - self._noticed_s.setdefault(server_id, now_s)

    def _record(
        self,
        run: Run,
        planner_ip: str | None,
        reply: MoveReply | None,
        wait_s: float,
    ) -> None:
        kind = "unplanned" if reply is None else reply.outcome
        metrics.MOVE_TURNS.labels(str(kind)).inc()
        if planner_ip is None:
            return
        _log.info(
            "move_turn",
            request=run.attempt_id,
            planner=planner_ip,
            outcome=kind,
            destination=reply and reply.destination_id,
            reason=reply and reply.reason,
            waited_ms=round(wait_s * 1000),
            tokens=run.kv_cache_tokens,
            done_share=round(done_share(run), 2),
        )


def _known_reason(reason: str) -> str:
    return reason if reason in frozenset(UnsavedReason) else OTHER_REASON
