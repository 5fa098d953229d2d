"""Assigns engines to generations and queues those that no engine can take."""

import asyncio
import time

from savorylift.backends.registry import BackendServer
from savorylift.exchange import metrics
from savorylift.exchange.admission import AdmittedRequest
from savorylift.exchange.failover import FailoverPolicy
from savorylift.exchange.run import Run
from savorylift.exchange.server_pool import ServerPool
from savorylift.placement.engines import EngineOptions
from savorylift.placement.prefill_rate import PrefillRate
from savorylift.placement.wait_queue import SchedulingParameters, WaitQueue
from savorylift.routing.configuration import EngineTraits

# First-event objective of routes that define none.
DEFAULT_OBJECTIVE_S = 2.0
# Share of the objective that prefill of pending prompts may take at an engine.
PREFILL_SHARE = 0.6
# Longest wait in the queue, as a multiple of the objective. A late response
# still has some value, but callers leave after about four times the objective,
# and a refusal must leave them time to retry.
QUEUE_WAIT_FACTOR = 2.0
# Longest wait in the queue, as a share of the caller's timeout.
QUEUE_WAIT_SHARE = 0.4
# Used for services that define no engine traits.
DEFAULT_ENGINE_TRAITS = EngineTraits(
    slots=1,
    memory_tokens=1,
    token_bytes=0.0,
    link_bytes_per_s=0.0,
    can_move=False,
    tokens_per_event=1,
)


class EngineQueue:
    """Queues this node's generations for each service."""

    def __init__(self, pool: ServerPool) -> None:
        """Creates an empty queue.

        Args:
            pool: Engines to choose from.
        """
        self._pool = pool
        self._queues: dict[str, WaitQueue] = {}
        self._waits: dict[Run, asyncio.Timeout] = {}
        self._prefill_rate = PrefillRate()

    async def acquire(self, run: Run, tried: set[str]) -> BackendServer | None:
        """Reserves an engine for a run, waiting in the queue if none has room.

        Args:
            run: The run. `run.server` is set to the engine.
            tried: IDs of engines that have already failed this request.

        Returns:
            The reserved engine, whose load then includes the run; None if no
            engine had room in time, or the limits of all are used up. A stream
            that its caller brings here does not wait while another node has
            room for it.
        """
        server = await self._acquire(run, tried)
        if server is None:
            self._pool.blocks.record_unserved(run.admitted)
        return server

    async def _acquire(self, run: Run, tried: set[str]) -> BackendServer | None:
        admitted = run.admitted
        options = self._engine_options(run)

        def reserve() -> BackendServer | None:
            run.server = self._pool.reserve_engine(admitted, options, tried)
            if run.server is not None:
                run.mark_assigned(self._pool.pending_prefill_tokens(run.server))
            return run.server

        run.server = self._pool.reserve_known_engine(admitted, options, tried)
        if run.server is not None:
            run.mark_assigned(0)
            return run.server
        queue = self._queues.setdefault(admitted.service.name, WaitQueue())
        if not queue:
            found = reserve()
            if found is not None:
                return found
        if self._pool.is_closed_by_limits(admitted, tried):
            return None
        if self._pool.shortest_hold_s(admitted, tried) is not None:
            return None
        if run.has_begun and not self._pool.has_server(admitted, tried):
            return None
        if self._pool.are_all_leaving(admitted):
            return None
        if _is_taken_up(run) and self._pool.has_place_elsewhere(
            admitted, tried
        ):
            return None
        prefill_s = options.prompt_tokens / self._prefill_rate.tokens_per_s
        latest_start_s = (
            admitted.req.arrived_s
            + _first_event_objective_s(admitted)
            - prefill_s
        )
        metrics.WAITING.inc()
        try:
            async with asyncio.timeout_at(_queue_deadline_s(admitted)) as limit:
                self._waits[run] = limit
                return await queue.wait(
                    _scheduling_parameters(run), latest_start_s, reserve
                )
        except TimeoutError:
            return None
        finally:
            self._waits.pop(run, None)
            metrics.WAITING.dec()

    def failover_policy(
        self, run: Run, tried: set[str], *, is_last: bool
    ) -> FailoverPolicy:
        """Returns how long to wait for an engine before trying another."""
        options = self._engine_options(run)

        def has_alternative() -> bool:
            # Once the stream has begun, fewer engines may continue it.
            return self._pool.retries.may_retry(
                run.admitted.service.name
            ) and self._pool.has_engine_with_room(run.admitted, options, tried)

        return FailoverPolicy.for_request(
            run.admitted,
            _first_event_objective_s(run.admitted),
            has_alternative,
            is_last=is_last,
        )

    @property
    def has_waiting(self) -> bool:
        """Whether generations wait for an engine."""
        return any(self._queues.values())

    def waiting_count(self, admitted: AdmittedRequest) -> int:
        """Returns how many generations wait for the same service."""
        return len(self._queues.get(admitted.service.name, ()))

    def record_first_event(self, run: Run) -> None:
        """Ends the prefill of a run and updates the estimated prefill rate."""
        if run.server is not None:
            server_id = run.server.entry.server_id
            self._pool.load_tracker.mark_prefilled(server_id, run.attempt_id)
        delay_s = time.monotonic() - run.assigned_s
        self._prefill_rate.update(run.prefill_tokens_at_start, delay_s)

    def dispatch_waiting(self) -> None:
        """Lets queued generations try again to get an engine.

        Those whose engines all leave wait no longer.
        """
        for service, queue in self._queues.items():
            if queue:
                queue.dispatch()
            if queue and not self._pool.servers_in_service(service):
                self._end_waits(service)

    def _end_waits(self, service: str) -> None:
        for run, limit in self._waits.items():
            if run.admitted.service.name != service:
                continue
            if not limit.expired() and self._pool.are_all_leaving(run.admitted):
                limit.reschedule(time.monotonic())

    def _engine_options(self, run: Run) -> EngineOptions:
        engine = run.admitted.service.engine or DEFAULT_ENGINE_TRAITS
        generation = run.admitted.req.generation
        prompt_tokens = (
            generation.prompt_tokens if generation is not None else 0
        )
        max_pending_prefill = (
            PREFILL_SHARE
            * _first_event_objective_s(run.admitted)
            * self._prefill_rate.tokens_per_s
        )
        return EngineOptions(
            engine, run.expected_tokens, prompt_tokens, max_pending_prefill
        )


def _scheduling_parameters(run: Run) -> SchedulingParameters:
    team = run.admitted.team
    if team is None:
        return SchedulingParameters(
            run.admitted.priority, "", run.expected_tokens
        )
    return SchedulingParameters(
        run.admitted.priority, team.name, run.expected_tokens / team.weight
    )


def _is_taken_up(run: Run) -> bool:
    """Whether the caller resumes a stream, and gets its rest from here."""
    return run.admitted.req.resume_after is not None and run.last_event is None


def _first_event_objective_s(admitted: AdmittedRequest) -> float:
    """Returns the time within which the first event should arrive."""
    return admitted.route.objective_s or DEFAULT_OBJECTIVE_S


def _queue_deadline_s(admitted: AdmittedRequest) -> float:
    """Returns the monotonic time until which a request may be queued."""
    max_wait_s = QUEUE_WAIT_FACTOR * _first_event_objective_s(admitted)
    if admitted.req.time_left_s is not None:
        max_wait_s = min(
            max_wait_s, QUEUE_WAIT_SHARE * admitted.req.time_left_s
        )
    return min(admitted.req.arrived_s + max_wait_s, admitted.deadline_s)
