"""What is to be expected of a run on an engine that leaves."""

from collections.abc import Callable

from savorylift.exchange.request_traits import RequestTraits
from savorylift.exchange.run import Run
from savorylift.exchange.server_pool import ServerPool
from savorylift.placement.engines import EngineOptions


def done_share(run: Run) -> float:
    """Returns the share of a run's expected output that has been made."""
    expected = _expected_output_tokens(run)
    made = _made_output_tokens(run)
    return 1.0 if made >= expected else made / expected


def ends_in_s(run: Run) -> float | None:
    """Returns the time until a run should end by itself.

    None if it has outgrown what was expected, or its pace isn't known.
    """
    engine = run.admitted.service.engine
    pause_s = run.mean_pause_s()
    left_tokens = _expected_output_tokens(run) - _made_output_tokens(run)
    if engine is None or pause_s is None or left_tokens <= 0:
        return None
    return pause_s * left_tokens / engine.tokens_per_event


def may_repeat(
    run: Run, pool: ServerPool, is_sound: Callable[[RequestTraits], bool]
) -> bool:
    """Whether a run may be made again on another engine now.

    Args:
        run: The run, which is at an engine.
        pool: The engines, and the retries that are left.
        is_sound: Whether a request, by its traits, isn't suspected of crashing
            engines.
    """
    admitted, server = run.admitted, run.server
    engine = admitted.service.engine
    attempts = run.possibly_run_attempts + 1
    is_last = attempts >= admitted.route.max_attempts
    if engine is None or server is None or is_last:
        return False
    if not admitted.is_idempotent or not run.is_position_known:
        return False
    if not pool.retries.may_retry(admitted.service.name):
        return False
    options = EngineOptions(engine, run.expected_tokens)
    if not pool.choice.has_engine_with_room(
        admitted, options, {server.entry.server_id}
    ):
        return False
    return is_sound(run.traits)


def _expected_output_tokens(run: Run) -> int:
    return run.expected_tokens - _prompt_tokens(run)


def _made_output_tokens(run: Run) -> int:
    return run.kv_cache_tokens - _prompt_tokens(run)


def _prompt_tokens(run: Run) -> int:
    generation = run.admitted.req.generation
    return generation.prompt_tokens if generation else 0
