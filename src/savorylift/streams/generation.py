"""Serves one generation: places it, follows it and replays it if lost."""

import structlog
from returns.result import Failure, Result, Success

from savorylift.identity import new_id
from savorylift.outcomes import Ending, Reason, Refusal
from savorylift.streams.attempt import (
    Attempt,
    AttemptEnd,
    Follower,
)
from savorylift.streams.counters import (
    GENERATIONS,
    REPLAYS,
    RESTARTS,
    TOKENS,
)
from savorylift.streams.delivery import Delivery
from savorylift.streams.dispatch import Placer
from savorylift.streams.parts import GenerationParts
from savorylift.streams.placement import GenerationRequest
from savorylift.streams.relay_job import RelayEnd
from savorylift.streams.settle import settle
from savorylift.streams.sink import Sink
from savorylift.streams.ticket import Ticket, expiry_ms, sign_ticket
from savorylift.streams.upstream import (
    EngineStream,
)

# An engine's death strikes all of its streams at once, so replays are bounded
# for each answer; permits keep them from overloading the other engines.
MAX_REPLAYS = 3

log = structlog.get_logger()


class Generation:
    """One answer to one caller, over one or more attempts."""

    def __init__(
        self, parts: GenerationParts, req: GenerationRequest, sink: Sink
    ) -> None:
        """Prepares the answer; `run` produces it."""
        self._parts = parts
        self._req = req
        self._sink = sink
        self._delivery = Delivery()
        self._follower = Follower(parts, sink, self._delivery, req.deadline_s)
        self._answer_id = req.request_id
        self._placer = Placer(parts, req)
        self._replays = 0

    def run(self) -> Result[None, Refusal]:
        """Blocks until the answer is whole, or returns why it will not be."""
        self._parts.budget.note_call()
        while True:
            placed = self._placer.place(self._delivery.next_index)
            if isinstance(placed, Failure):
                return Failure(self._truthful(placed.failure()))
            attempt, stream = placed.unwrap()
            self._delivery.begin_attempt(attempt.generation_id)
            self._sink.announce(self._ticket(attempt))
            ended = self._follow(attempt, stream)
            result = self._settle(attempt, ended)
            if result is not None:
                GENERATIONS.labels(ended.end.name.lower()).inc()
                TOKENS.inc(self._delivery.next_index)
                return result
            REPLAYS.labels(ended.end.name.lower()).inc()

    def _follow(self, attempt: Attempt, stream: EngineStream) -> AttemptEnd:
        """Follows an attempt, starting its delivery over if it differs."""
        reserve = _GrowingReserve(self._parts, self._req)
        while True:
            ended = self._follower.follow(attempt, stream, reserve)
            if ended.end is not RelayEnd.DIVERGED:
                return ended
            if not self._sink.can_restart():
                return ended
            RESTARTS.inc()
            self._answer_id = new_id("answer")
            self._delivery.restart()
            self._delivery.begin_attempt(attempt.generation_id)
            self._sink.restart(self._answer_id)
            reopened = self._follower.reopen(attempt)
            if reopened is None:
                return ended._replace(end=RelayEnd.SOURCE_LOST)
            stream = reopened

    def _ticket(self, attempt: Attempt) -> str:
        permit = attempt.permit
        return sign_ticket(
            Ticket(
                answer_id=self._answer_id,
                generation_id=attempt.generation_id,
                backend_server=permit.backend_server,
                backend_address=attempt.address,
                model=self._req.model.name,
                version=self._req.model.version,
                seed=self._req.seed,
                team=self._req.team.name,
                permit_id=permit.permit_id,
                keeper_vm=permit.keeper.vm,
                keeper_incarnation=permit.keeper.incarnation,
                is_cold=permit.cold,
                expires_ms=expiry_ms(),
            ),
            self._parts.ticket_keys,
        )

    def _settle(
        self, attempt: Attempt, ended: AttemptEnd
    ) -> Result[None, Refusal] | None:
        """Frees or keeps the permit; None means that a replay may follow."""
        settled = settle(
            self._parts, attempt, ended, self._delivery, self._sink
        )
        if isinstance(settled, Success):
            produced = self._delivery.next_index
            self._parts.placement.note_finished(self._req, produced)
            return settled
        if settled.failure().reason is not Reason.BACKEND_LOST:
            return settled
        self._placer.exclude(attempt.permit.backend_server)
        self._replays += 1
        return settled if self._replays > MAX_REPLAYS else None

    def _truthful(self, refusal: Refusal) -> Refusal:
        """Corrects a refusal after a dispatch that may have run."""
        if self._placer.effect is Ending.NOT_RUN:
            return refusal
        return refusal._replace(ending=self._placer.effect)


class _GrowingReserve:
    """Follows the placement policy's estimate as the output grows."""

    def __init__(self, parts: GenerationParts, req: GenerationRequest) -> None:
        self._placement = parts.placement
        self._req = req
        self._tokens = parts.placement.reserve(req, 0)

    def corrected(self, produced: int) -> int | None:
        """Returns the new estimate if it differs from the last one."""
        tokens = self._placement.reserve(self._req, produced)
        if tokens == self._tokens:
            return None
        self._tokens = tokens
        return tokens
