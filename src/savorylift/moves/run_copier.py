"""Copies of a run's KV cache from its engine to another one."""

import asyncio
import time

import structlog
from returns.pipeline import is_successful

from savorylift.backends.registry import BackendServer
from savorylift.exchange.run import Run
from savorylift.moves.move_order import copy_time_s
from savorylift.platform.engine_client import (
    CopyError,
    CopyFault,
    CopyResult,
    copy_run,
)

# Retry interval for the copy of a run that has not started yet.
NOT_STARTED_RETRY_S = 0.08
# A copy that takes longer than its links alone need, by this factor and slack,
# shares them with other copies. The run then continues while further copies
# reduce what is left for the final one.
CONTENTION_FACTOR = 1.3
CONTENTION_SLACK_S = 0.03
# A copy that takes less than this is short enough to stop the run for.
SHORT_COPY_S = 0.1
MAX_EXTRA_COPIES = 3
MIN_COPY_TIMEOUT_S = 0.01

_log = structlog.get_logger()


class RunCopier:
    """Copies one run from one engine to another, before a deadline."""

    def __init__(
        self,
        run: Run,
        source: BackendServer,
        destination: BackendServer,
        deadline_s: float,
    ) -> None:
        """Copies nothing yet.

        Args:
            run: The run.
            source: Engine that the run is on.
            destination: Engine to copy to.
            deadline_s: Monotonic time at which copies end.
        """
        self._run = run
        self._source = source
        self._destination = destination
        self._deadline_s = deadline_s

    async def copy_when_started(self) -> CopyResult | CopyError:
        """Makes the first copy as soon as the run has started."""
        while True:
            copied = await self._copy()
            if isinstance(copied, CopyResult):
                return copied
            is_timed_out = time.monotonic() > self._deadline_s
            if copied.fault is not CopyFault.NO_SUCH_RUN or is_timed_out:
                return copied
            await asyncio.sleep(NOT_STARTED_RETRY_S)

    async def copy_until_short(self) -> None:
        """Repeats incremental copies until one takes less than `SHORT_COPY_S`.

        Gives up after `MAX_EXTRA_COPIES`.
        """
        for _ in range(MAX_EXTRA_COPIES):
            began_s = time.monotonic()
            await self._copy()
            if time.monotonic() - began_s < SHORT_COPY_S:
                return

    async def copy_and_stop(self) -> CopyResult | CopyError:
        """Stops the run, and copies what the copies before lack."""
        return await self._copy(stops_run=True)

    def is_contended(self, took_s: float) -> bool:
        """Returns whether a first copy had to share its links with others."""
        engine = self._run.admitted.service.engine
        if engine is None or engine.link_bytes_per_s <= 0:
            return False
        is_cross_domain = (
            self._source.entry.failure_domain
            != self._destination.entry.failure_domain
        )
        copy_s = copy_time_s(
            self._run.kv_cache_tokens, engine, is_cross_domain=is_cross_domain
        )
        return took_s > CONTENTION_FACTOR * copy_s + CONTENTION_SLACK_S

    async def _copy(self, *, stops_run: bool = False) -> CopyResult | CopyError:
        began_s = time.monotonic()
        result = await copy_run(
            self._source.entry.address,
            self._destination.entry.address,
            self._run.attempt_id,
            stops_run=stops_run,
            timeout_s=max(self._deadline_s - began_s, MIN_COPY_TIMEOUT_S),
        )
        copied = result.unwrap() if is_successful(result) else result.failure()
        _log.info(
            "copied",
            request=self._run.attempt_id,
            source=self._source.entry.server_id,
            destination=self._destination.entry.server_id,
            stops_run=stops_run,
            outcome=(
                "ok" if isinstance(copied, CopyResult) else copied.fault.value
            ),
            events=copied.events if isinstance(copied, CopyResult) else None,
            last_event=self._run.last_event,
            took_ms=round((time.monotonic() - began_s) * 1000),
        )
        return copied
