"""Refusals of generations that no engine serves."""

import random

from savorylift.exchange.codec import EventSink
from savorylift.exchange.engine_queue import EngineQueue
from savorylift.exchange.failed_generation import (
    end_with_refusal,
    fail_generation,
    refuse_generation,
    refuse_without_engine,
)
from savorylift.exchange.results import Broken, Obstacle, Refused
from savorylift.exchange.run import Run
from savorylift.exchange.server_pool import ServerPool
from savorylift.exchange.stream_resumption import (
    StreamResumption,
    version_gone,
)
from savorylift.outcomes import Reason

# Added to the retry delay at random, as a share of it, so that callers that are
# refused together don't retry together.
RETRY_AFTER_JITTER = 0.3


class UnservedGenerations:
    """Ends requests that can't be sent to an engine, or must not be."""

    def __init__(
        self,
        pool: ServerPool,
        queue: EngineQueue,
        resumption: StreamResumption,
        rng: random.Random,
    ) -> None:
        """Takes what tells why requests aren't served.

        Args:
            pool: Engines and what stands between them and this node.
            queue: Estimates when there will be room.
            resumption: Keeps streams at the version that began them.
            rng: Source of the jitter on retry delays.
        """
        self._pool = pool
        self._queue = queue
        self._resumption = resumption
        self._rng = rng

    def end_refused(
        self, run: Run, sink: EventSink, refusal: Refused
    ) -> Refused | None:
        """Ends a request that must not be sent to any engine."""
        if not run.may_have_run:
            return end_with_refusal(sink, refusal)
        failure = Broken(refusal.reason, refusal.message)
        return fail_generation(run, sink, failure)

    def end_unserved(
        self,
        run: Run,
        sink: EventSink,
        failure: Broken,
    ) -> Refused | None:
        """Ends a request that can't be sent to another engine."""
        if run.possibly_run_attempts:
            return fail_generation(run, sink, failure)
        if self._resumption.is_version_gone(run):
            return end_with_refusal(sink, version_gone())
        if self._pool.waits.is_closed_by_limits(run.admitted, ()):
            return_after_s = self._pool.waits.assign_return_s(run.admitted)
            return refuse_generation(sink, Reason.SERVER_LIMIT, return_after_s)
        hold_s = self._pool.waits.shortest_hold_s(run.admitted)
        if hold_s is not None:
            return refuse_generation(sink, Reason.SERVER_HOLD, hold_s)
        if self._pool.are_all_leaving(run.admitted):
            return refuse_without_engine(sink)
        if run.obstacle is Obstacle.NOT_ASKED:
            return_after_s = self._pool.waits.assign_return_s(run.admitted)
            return refuse_generation(sink, Reason.SERVER_LIMIT, return_after_s)
        if run.return_in_s is not None:
            # These are spread in the order of turns already.
            return refuse_generation(sink, failure.reason, run.return_in_s)
        wait_s = self._queue.estimate_return_s(run)
        retry_after_s = wait_s * (1 + self._rng.uniform(0, RETRY_AFTER_JITTER))
        return refuse_generation(sink, failure.reason, retry_after_s)
