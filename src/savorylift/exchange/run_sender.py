"""Sends runs to engines, and resumes those that were moved."""

from collections.abc import Callable

from savorylift.backends.registry import BackendServer
from savorylift.exchange.failover import FailoverPolicy
from savorylift.exchange.results import Answered, Broken, NotRun, Unsure
from savorylift.exchange.run import ResumeTarget, Run
from savorylift.exchange.run_log import log_sent
from savorylift.exchange.send import Sender, Started
from savorylift.exchange.server_opener import ResumePoint
from savorylift.exchange.server_pool import ServerPool
from savorylift.outcomes import Reason

# Attempts per engine: one connection may fail on a link that loses packets.
RESUME_ATTEMPTS = 2
# Longest wait for a permit if the engine names a limit: callers abandon a
# stream after a pause of two seconds.
RESUME_PERMIT_WAIT_S = 1.0


class RunSender:
    """Sends runs to engines until one begins to respond."""

    def __init__(
        self,
        pool: ServerPool,
        sender: Sender,
        on_release: Callable[[], None],
    ) -> None:
        """Creates a sender of runs.

        Args:
            pool: Accounts for the load of runs.
            sender: Sends requests.
            on_release: Called when an engine may have got room.
        """
        self._pool = pool
        self._sender = sender
        self._on_release = on_release

    async def send(
        self,
        run: Run,
        server: BackendServer,
        resume_point: ResumePoint,
        failover_policy: FailoverPolicy,
    ) -> Started | NotRun | Answered | Broken:
        """Sends a run to an engine; anything but `Started` is a failure."""
        started = await self._sender.start(
            server, run.admitted, resume_point, failover_policy
        )
        log_sent(run, server, started)
        if isinstance(started, Unsure):
            return Broken(started.reason, started.detail)
        if isinstance(started, Started) and not started.head.is_success:
            return await self._read_failure(run, server, started)
        if (
            isinstance(started, Started)
            and run.last_event is not None
            and not started.head.is_event_stream
        ):
            started.call.close()
            self._sender.cancel_run(server, started.cancel_request)
            detail = "the rest of a stream was answered with none"
            return Broken(Reason.ANSWER_LOST, detail)
        return started

    async def resume(
        self, run: Run, target: ResumeTarget
    ) -> Started | NotRun | Answered | Broken:
        """Resumes a moved run from the copy of its KV cache.

        The run is never restarted from its prompt here, even if an engine
        rejects it, because it has already started. The source engine keeps
        the KV cache, so it is tried last.
        """
        resume_point = ResumePoint(run.resume_after, target.kv_copy)
        deadline_s = run.admitted.deadline_s
        failover_policy = FailoverPolicy(
            deadline_s, deadline_s, lambda: False, RESUME_PERMIT_WAIT_S
        )
        candidates = [target.server] * RESUME_ATTEMPTS + [
            target.source
        ] * RESUME_ATTEMPTS
        rejected_by: set[str] = set()
        result: Started | NotRun | Answered | Broken = Broken(
            Reason.BACKEND_LOST, "no engine to resume on"
        )
        for server in candidates:
            if server.entry.server_id in rejected_by:
                continue
            self._reassign_to(run, server)
            result = await self.send(run, server, resume_point, failover_policy)
            if not isinstance(result, NotRun):
                return result
            if result.reached_server:
                rejected_by.add(server.entry.server_id)
        return result

    async def _read_failure(
        self, run: Run, server: BackendServer, started: Started
    ) -> NotRun | Answered | Broken:
        result = await self._sender.finish(
            server, run.attempt_id, started, run.admitted.deadline_s
        )
        if isinstance(result, Unsure):
            return Broken(result.reason, result.detail)
        return result

    def _reassign_to(self, run: Run, server: BackendServer) -> None:
        """Moves a run's load to the engine on which to resume it."""
        self._pool.remove_run(run)
        run.server = server
        self._pool.load_tracker.add_request(
            server.entry.server_id, run.attempt_id, run.expected_tokens
        )
        self._on_release()
