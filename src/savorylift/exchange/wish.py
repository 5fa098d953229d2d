"""What a generation wants of an engine, and for how long it can wait."""

import time
from typing import NamedTuple

from savorylift.exchange.admission import AdmittedRequest
from savorylift.exchange.run import Run
from savorylift.placement.engines import EngineOptions
from savorylift.placement.wait_queue import SchedulingParameters
from savorylift.routing.configuration import EngineTraits

# First-event objective of routes that define none.
DEFAULT_OBJECTIVE_S = 2.0
# Longest wait in the queue, as a multiple of the objective. A late response
# still has some value, but callers leave after about four times the objective,
# and a refusal must leave them time to retry.
QUEUE_WAIT_FACTOR = 2.0
# Longest wait in the queue, as a share of the caller's timeout.
QUEUE_WAIT_SHARE = 0.4
# Share of the objective that prefill of pending prompts may take at an engine.
PREFILL_SHARE = 0.6
# Used for services that define no engine traits.
DEFAULT_ENGINE_TRAITS = EngineTraits(
    slots=1,
    memory_tokens=1,
    token_bytes=0.0,
    link_bytes_per_s=0.0,
    can_move=False,
    tokens_per_event=1,
)
# Goes before all priorities of callers: what has been streamed would be lost.
STREAM_PRIORITY = -1


class Wish(NamedTuple):
    """What a generation wants of an engine, and when.

    Attributes:
        options: What the choice of an engine depends on.
        parameters: What the order of turns depends on.
        latest_start_s: Monotonic time until which it can start and still meet
            its objective.
        leave_s: Monotonic time until which it can wait.
    """

    options: EngineOptions
    parameters: SchedulingParameters
    latest_start_s: float
    leave_s: float


def make_engine_options(run: Run, prefill_per_s: float) -> EngineOptions:
    """Returns what the choice of a run's engine depends on.

    Args:
        run: The run.
        prefill_per_s: Prompt tokens that an engine prefills each second.
    """
    admitted = run.admitted
    generation = admitted.req.generation
    return EngineOptions(
        admitted.service.engine or DEFAULT_ENGINE_TRAITS,
        run.expected_tokens,
        generation.prompt_tokens if generation is not None else 0,
        PREFILL_SHARE * first_event_objective_s(admitted) * prefill_per_s,
    )


def make_wish(run: Run, options: EngineOptions, prefill_per_s: float) -> Wish:
    """Returns the wish of a run.

    Args:
        run: The run.
        options: What the choice of its engine depends on.
        prefill_per_s: Prompt tokens that an engine prefills each second.
    """
    admitted = run.admitted
    prefill_s = options.prompt_tokens / prefill_per_s
    objective_s = first_event_objective_s(admitted)
    parameters = _scheduling_parameters(run)
    if run.last_event is not None:
        # Its caller has a part: a pause costs less than the end of the stream.
        leave_s = time.monotonic() + QUEUE_WAIT_FACTOR * objective_s
        leave_s = min(leave_s, admitted.deadline_s)
        first = parameters._replace(priority=STREAM_PRIORITY)
        return Wish(options, first, leave_s, leave_s)
    latest_start_s = admitted.req.arrived_s + objective_s - prefill_s
    leave_s = _queue_deadline_s(admitted)
    return Wish(options, parameters, latest_start_s, leave_s)


def first_event_objective_s(admitted: AdmittedRequest) -> float:
    """Returns the time within which the first event should arrive."""
    return admitted.route.objective_s or DEFAULT_OBJECTIVE_S


def _queue_deadline_s(admitted: AdmittedRequest) -> float:
    """Returns the monotonic time until which a request may be queued."""
    max_wait_s = QUEUE_WAIT_FACTOR * first_event_objective_s(admitted)
    if admitted.req.time_left_s is not None:
        max_wait_s = min(
            max_wait_s, QUEUE_WAIT_SHARE * admitted.req.time_left_s
        )
    return min(admitted.req.arrived_s + max_wait_s, admitted.deadline_s)


def _scheduling_parameters(run: Run) -> SchedulingParameters:
    team = run.admitted.team
    if team is None:
        return SchedulingParameters(
            run.admitted.priority, "", run.expected_tokens, run.expected_tokens
        )
    return SchedulingParameters(
        run.admitted.priority,
        team.name,
        run.expected_tokens / team.weight,
        run.expected_tokens,
    )
