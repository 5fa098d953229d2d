"""Plans the moves of the services that this node was chosen for.

What it says only directs moves; engines' own replies decide.
"""

import math
import time
from collections.abc import Callable, Collection
from typing import Protocol

import structlog

from savorylift.fleet.membership import Membership
from savorylift.fleet.move_messages import (
    MoveEnd,
    MoveMessage,
    MoveOutcome,
    MoveReply,
    MoveRequest,
)
from savorylift.moves import metrics
from savorylift.moves.begun_copies import MoveKey
from savorylift.moves.move_order import PlannedMove
from savorylift.moves.move_plan import MovePlan, UnsavedReason
from savorylift.moves.plan_timers import SHARE_DELAY_S, PlanTimers
from savorylift.moves.planner_choice import PlannerChoice
from savorylift.moves.service_moves import (
    Decision,
    PlanConditions,
    ServiceMoves,
)
from savorylift.rooms.handover import handover_hold_s
from savorylift.rooms.request_check import are_tokens
from savorylift.standstill import StandstillWatch

# A planner that hears less of the fleet leaves the order to the nodes.
MIN_LIVE_SHARE = 0.5

_log = structlog.get_logger()


class SendMoveMessage(Protocol):
    """Sends a message to a node."""

    def __call__(self, message: MoveMessage, ip: str) -> None:
        """Sends it."""
        ...


class MoveSite(Protocol):
    """The engines of services, as far as this node knows them."""

    def look(self, service: str) -> PlanConditions | None:
        """Returns what plans depend on; None if no engine is known."""
        ...

    def find_announced(self) -> Collection[PlannedMove]:
        """Returns the moves that nodes have announced."""
        ...

    def hold(self, service: str, tokens: dict[str, int]) -> None:
        """Keeps room for moves, in place of what was kept before.

        Args:
            service: Name of the service.
            tokens: Tokens to keep free, by the ID of the engine.
        """
        ...


class MovePlanner:
    """Answers requests for turns, for the services that it plans moves of."""

    def __init__(
        self,
        choice: PlannerChoice,
        membership: Membership,
        site: MoveSite,
        send: SendMoveMessage,
        get_message_interval_s: Callable[[], float],
    ) -> None:
        """Creates a planner without runs.

        Args:
            choice: Which node plans for which service.
            membership: The other nodes.
            site: The engines.
            send: Sends replies.
            get_message_interval_s: Returns the interval between the nodes'
                messages.
        """
        self._choice = choice
        self._membership = membership
        self._site = site
        self._send = send
        self._moves: dict[str, ServiceMoves] = {}
        self._timers = PlanTimers(self._plan)
        self._get_message_interval_s = get_message_interval_s
        self._standstill = StandstillWatch()
        # Monotonic time from which turns are given, after this process stood
        # still.
        self._ready_s = 0.0

    def receive(self, message: MoveRequest | MoveEnd, ip: str) -> None:
        """Handles a message from a node."""
        self._note_running()
        if isinstance(message, MoveEnd):
            self._end(MoveKey(ip, message.number), message.moved_to)
        elif _is_sound(message):
            self._add(MoveKey(ip, message.number), message)

    def update(self) -> None:
        """Drops what is over; to be called periodically."""
        self._note_running()
        if not self._moves:
            return
        now_s = time.monotonic()
        peers = self._membership.heard_peers(now_s)
        live = {peer.state.ip for peer in peers} | {self._choice.own_ip}
        announced = self._site.find_announced()
        for service, moves in list(self._moves.items()):
            moves.drop_old(live)
            moves.note_announced(announced)
            self._site.hold(service, moves.held_tokens())
            if moves.is_idle and not moves.held_tokens():
                del self._moves[service]
            else:
                self._plan_soon(service)

    def _note_running(self) -> None:
        """Begins anew if this process stood still.

        Other nodes may have given the same links and room meanwhile, and what
        it hears first was said before.
        """
        if not self._standstill.has_stood_still():
            return
        hold_s = handover_hold_s(self._get_message_interval_s())
        if self._moves:
            _log.info(
                "planner_stood_still",
                services=list(self._moves),
                hold_s=round(hold_s, 3),
            )
        for service, moves in self._moves.items():
            self._leave_alone(moves)
            self._site.hold(service, {})
        self._moves.clear()
        self._ready_s = time.monotonic() + hold_s

    def _is_known(self, service: str) -> bool:
        # Names in messages aren't kept if there are no such engines.
        return service in self._moves or self._site.look(service) is not None

    def _is_ready(self) -> bool:
        """Whether it has heard the others since it stood still, if it did."""
        return time.monotonic() >= self._ready_s

    def _may_plan(self, service: str) -> bool:
        share = self._membership.live_share(time.monotonic())
        return self._choice.is_planner(service) and share >= MIN_LIVE_SHARE

    def _add(self, key: MoveKey, req: MoveRequest) -> None:
        # In this order: a look at the engines goes over all nodes, and the
        # choice of a planner remembers names.
        if not (
            self._is_ready()
            and self._is_known(req.service)
            and self._may_plan(req.service)
        ):
            self._reply(MoveReply(req.number, MoveOutcome.ALONE), key.ip)
            return
        moves = self._moves.setdefault(req.service, ServiceMoves())
        is_new = moves.is_new(key)
        self._reply(moves.add(key, req), key.ip)
        if is_new:
            self._plan_soon(req.service)

    def _end(self, key: MoveKey, moved_to: str | None) -> None:
        for service, moves in self._moves.items():
            if not moves.is_new(key):
                moves.end(key, moved_to)
                # Links are free now.
                self._plan_soon(service, delay_s=0.0)

    def _plan_soon(self, service: str, delay_s: float = SHARE_DELAY_S) -> None:
        if self._moves[service].has_waiting:
            self._timers.set(service, delay_s)

    def _plan(self, service: str) -> None:
        self._note_running()
        moves = self._moves.get(service)
        if moves is None or not moves.has_waiting:
            return
        # Another one may have been chosen since they asked.
        conditions = (
            self._site.look(service) if self._may_plan(service) else None
        )
        if conditions is None:
            self._leave_alone(moves)
            self._site.hold(service, moves.held_tokens())
            return
        begun_s = time.monotonic()
        plan, decisions = moves.decide(conditions)
        self._site.hold(service, moves.held_tokens())
        for decision in decisions:
            self._reply(decision.reply, decision.key.ip)
        if decisions:
            took_s = time.monotonic() - begun_s
            self._log_plan(service, plan, decisions, conditions, took_s)

    def _leave_alone(self, moves: ServiceMoves) -> None:
        """Lets the nodes order the moves; this one may hear of engines last."""
        for key in moves.take_waiting():
            self._reply(MoveReply(key.number, MoveOutcome.ALONE), key.ip)

    def _reply(self, reply: MoveReply, ip: str) -> None:
        metrics.MOVE_REPLIES.labels(str(reply.outcome)).inc()
        self._send(reply, ip)

    def _log_plan(
        self,
        service: str,
        plan: MovePlan,
        decisions: list[Decision],
        conditions: PlanConditions,
        took_s: float,
    ) -> None:
        now_s = time.monotonic()
        peers = self._membership.heard_peers(now_s)
        oldest_s = min((peer.heard_s for peer in peers), default=now_s)
        reasons = [unsaved.reason for unsaved in plan.unsaved]
        _log.info(
            "move_plan",
            service=service,
            sources={
                server_id: round(source.leaves_in_s, 3)
                for server_id, source in plan.sources.items()
            },
            destinations=len(conditions.destinations),
            copies=len(plan.copies),
            late=len(plan.late),
            trials=len(plan.trials),
            unsaved_time=reasons.count(UnsavedReason.TIME),
            unsaved_room=reasons.count(UnsavedReason.ROOM),
            told={
                f"{decision.key.ip}/{decision.key.number}": (
                    decision.reply.destination_id or decision.reply.outcome
                )
                for decision in decisions
            },
            knowledge_age_s=round(now_s - oldest_s, 3),
            took_ms=round(took_s * 1000, 1),
        )


def _is_sound(req: MoveRequest) -> bool:
    """Whether the values of a request make sense."""
    return (
        math.isfinite(req.notice_age_s)
        and req.notice_age_s >= 0
        and are_tokens(req.tokens, req.expected_tokens)
        and 0 <= req.done_share <= 1
        and (req.ends_in_s is None or req.ends_in_s >= 0)
    )
