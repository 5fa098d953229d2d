"""Choice of the engine that a run is moved to."""

from savorylift.backends.registry import BackendServer
from savorylift.exchange.run import Run
from savorylift.exchange.server_pool import ServerPool
from savorylift.placement.engines import EngineOptions

# Random spread of the choice, so that nodes that move runs off one engine don't
# all choose the same destination.
DESTINATION_JITTER = 0.1
# Cost of a destination in another failure domain, as a share of an engine's
# memory. Copies across failure domains take twice as long.
CROSS_DOMAIN_COST = 0.3


def choose_destination(
    pool: ServerPool, run: Run, tried: set[str]
) -> BackendServer | None:
    """Returns the engine to move a run to; None if there is none.

    Args:
        pool: Engines to choose from.
        run: The run, which is at an engine.
        tried: IDs of the engines that are out of the question.
    """
    engine = run.admitted.service.engine
    assert engine is not None
    assert run.server is not None
    options = EngineOptions(
        engine,
        run.expected_tokens,
        preferred_domain=run.server.entry.failure_domain,
        cross_domain_cost=CROSS_DOMAIN_COST,
        jitter=DESTINATION_JITTER,
    )
    # Copies from several engines to the same one would share its link.
    busy = pool.move_queue.destinations()
    # A run may have to wait for a permit before a limited engine takes it.
    limited = pool.choice.limited_ids()
    return (
        pool.choice.find_engine(run.admitted, options, tried | busy | limited)
        or pool.choice.find_least_loaded_engine(
            run.admitted, options, tried | limited
        )
        or pool.choice.find_engine(run.admitted, options, tried | busy)
        or pool.choice.find_least_loaded_engine(run.admitted, options, tried)
    )
