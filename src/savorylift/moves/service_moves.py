"""The runs of all nodes that are to move off the engines of one service."""

import time
from collections.abc import Collection, Iterator, Mapping
from typing import NamedTuple

from savorylift.fleet.move_messages import MoveOutcome, MoveReply, MoveRequest
from savorylift.moves.begun_copies import BegunCopies, MoveKey
from savorylift.moves.copy_schedule import PlannedCopy
from savorylift.moves.move_inputs import Destination, LeavingEngine, MovingRun
from savorylift.moves.move_order import PlannedMove
from savorylift.moves.move_plan import MovePlan, plan_moves

# How long an engine serves on from its notice.
NOTICE_S = 1.5
# A run that waits is dropped if its node hasn't asked for this time.
MAX_SILENCE_S = 0.6
MAX_WAITING = 1000
# After the time at which an engine should have stopped, it is forgotten.
FORGET_S = 3.0


class PlanConditions(NamedTuple):
    """What a plan depends on besides the runs.

    Attributes:
        destinations: Engines that runs may go to, by ID. Copies that were
            planned don't count in their loads.
        link_tokens_per_s: Tokens that an engine's link carries.
        announced: Moves that nodes have announced.
    """

    destinations: Mapping[str, Destination]
    link_tokens_per_s: float
    announced: Collection[PlannedMove]


class Decision(NamedTuple):
    """What to say to a request.

    Attributes:
        key: The request.
        reply: The reply.
    """

    key: MoveKey
    reply: MoveReply


class DecidedMoves(NamedTuple):
    """What was planned, and what can be said at once.

    Attributes:
        plan: The plan.
        decisions: Replies to the requests that are decided on.
    """

    plan: MovePlan
    decisions: list[Decision]


class _Waiting(NamedTuple):
    """A run that waits for its turn.

    Attributes:
        req: The latest request for the turn.
        heard_s: Monotonic time at which it came.
    """

    req: MoveRequest
    heard_s: float


class ServiceMoves:
    """Gives runs their turns to be copied off leaving engines."""

    def __init__(self) -> None:
        """Starts without runs."""
        self._waiting: dict[MoveKey, _Waiting] = {}
        self._begun = BegunCopies()
        # Monotonic time at which each leaving engine should stop.
        self._leaves_s: dict[str, float] = {}
        self._planned: tuple[PlannedCopy, ...] = ()

    @property
    def is_idle(self) -> bool:
        """Whether no run waits or is being copied."""
        return not self._waiting and not len(self._begun)

    @property
    def has_waiting(self) -> bool:
        """Whether any run waits for its turn."""
        return bool(self._waiting)

    def add(self, key: MoveKey, req: MoveRequest) -> MoveReply:
        """Adds a run, or notes that it still waits; returns the reply."""
        begun = self._begun.find(key)
        if begun is not None:
            return MoveReply(req.number, MoveOutcome.GO, begun.destination_id)
        if key not in self._waiting and len(self._waiting) >= MAX_WAITING:
            return MoveReply(req.number, MoveOutcome.ALONE)
        now_s = time.monotonic()
        self._waiting[key] = _Waiting(req, now_s)
        leaves_s = now_s - req.notice_age_s + NOTICE_S
        known_s = self._leaves_s.get(req.server_id, leaves_s)
        self._leaves_s[req.server_id] = min(known_s, leaves_s)
        return MoveReply(req.number, MoveOutcome.WAIT)

    def is_new(self, key: MoveKey) -> bool:
        """Whether a request has no turn and doesn't wait for one."""
        return key not in self._waiting and self._begun.find(key) is None

    def end(self, key: MoveKey, moved_to: str | None = None) -> None:
        """Ends a turn, or the wait for it.

        Args:
            key: The request for it.
            moved_to: Engine at which the run goes on; None if it wasn't moved.
        """
        self._waiting.pop(key, None)
        self._begun.end(key, moved_to)

    def take_waiting(self) -> list[MoveKey]:
        """Ends the wait of all runs that wait; returns their requests."""
        keys = list(self._waiting)
        self._waiting.clear()
        self._planned = ()
        return keys

    def note_announced(self, announced: Collection[PlannedMove]) -> None:
        """Notes the moves that nodes have announced, with their loads."""
        self._begun.note_announced(announced)

    def drop_old(self, live: Collection[str]) -> None:
        """Ends the turns of nodes not in `live`, and those that are over."""
        oldest_s = time.monotonic() - MAX_SILENCE_S
        self._waiting = {
            key: waiting
            for key, waiting in self._waiting.items()
            if key.ip in live and waiting.heard_s > oldest_s
        }
        self._begun.drop_old(live)
        self._planned = tuple(
            copy for copy in self._planned if copy.run.key in self._waiting
        )
        stopped_s = time.monotonic() - FORGET_S
        for server_id, leaves_s in list(self._leaves_s.items()):
            if leaves_s < stopped_s:
                del self._leaves_s[server_id]

    def held_tokens(self) -> dict[str, int]:
        """Returns the tokens that moves take of engines' room, by engine."""
        held = self._begun.tokens()
        for copy in self._planned:
            known = held.get(copy.destination_id, 0)
            held[copy.destination_id] = known + copy.run.expected_tokens
        return held

    def decide(self, conditions: PlanConditions) -> DecidedMoves:
        """Plans anew; returns the plan and what can be said now."""
        self._begun.note_announced(conditions.announced)
        busy_s = self._begun.busy_s(conditions.announced)
        plan = plan_moves(
            [_moving_run(key, w.req) for key, w in self._waiting.items()],
            self._find_sources(conditions, busy_s),
            self._find_destinations(conditions, busy_s),
        )
        copies = [*plan.copies, *plan.late, *plan.trials]
        decisions = [
            self._begin(copy.run.key, copy.destination_id, copy.ends_s)
            for copy in copies
            if copy.begins_s <= 0
        ]
        decisions += self._give_up(plan)
        self._planned = tuple(
            copy
            for copy in (*plan.copies, *plan.late)
            if copy.run.key in self._waiting
        )
        return DecidedMoves(plan, decisions)

    def _begin(
        self, key: MoveKey, destination_id: str, takes_s: float
    ) -> Decision:
        req = self._waiting.pop(key).req
        self._begun.begin(key, req, destination_id, takes_s)
        reply = MoveReply(req.number, MoveOutcome.GO, destination_id)
        return Decision(key, reply)

    def _give_up(self, plan: MovePlan) -> Iterator[Decision]:
        """Tells the nodes which runs are better made again elsewhere."""
        for run, reason in plan.unsaved:
            waiting = self._waiting.get(run.key)
            if waiting is not None and run.may_repeat:
                del self._waiting[run.key]
                reply = MoveReply(
                    waiting.req.number, MoveOutcome.UNSAVED, reason=reason
                )
                yield Decision(run.key, reply)

    def _find_sources(
        self, conditions: PlanConditions, busy_s: Mapping[str, float]
    ) -> dict[str, LeavingEngine]:
        now_s = time.monotonic()
        sources = {}
        for req, _ in self._waiting.values():
            leaves_s = self._leaves_s.get(req.server_id, now_s)
            sources[req.server_id] = LeavingEngine(
                req.failure_domain,
                leaves_s - now_s,
                conditions.link_tokens_per_s,
                busy_s.get(req.server_id, 0.0),
            )
        return sources

    def _find_destinations(
        self, conditions: PlanConditions, busy_s: Mapping[str, float]
    ) -> dict[str, Destination]:
        tokens, places = self._begun.tokens(), self._begun.places()
        return {
            server_id: destination._replace(
                free_tokens=destination.free_tokens - tokens.get(server_id, 0),
                free_places=destination.free_places - places.get(server_id, 0),
                busy_s=busy_s.get(server_id, 0.0),
            )
            for server_id, destination in conditions.destinations.items()
        }


def _moving_run(key: MoveKey, req: MoveRequest) -> MovingRun:
    run = MovingRun(
        key,
        req.server_id,
        req.tokens,
        req.expected_tokens,
        req.priority,
        req.done_share,
        req.may_repeat,
        excluded=frozenset(req.excluded),
        software_version=req.software_version,
        regions=None if req.regions is None else frozenset(req.regions),
    )
    if req.ends_in_s is None:
        return run
    return run._replace(ends_in_s=req.ends_in_s)
