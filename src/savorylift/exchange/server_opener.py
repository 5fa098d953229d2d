"""Opens connections to backend servers on which a request may be sent."""

import time
from collections.abc import Callable
from typing import NamedTuple

from savorylift.backends.registry import BackendServer
from savorylift.boot_clock import boot_time_s
from savorylift.exchange.admission import AdmittedRequest
from savorylift.exchange.failover import FailoverPolicy
from savorylift.exchange.request import CallerRequest, KvCopy
from savorylift.exchange.results import NotRun, Obstacle
from savorylift.exchange.server_reach import ServerReach
from savorylift.limits.limit_gate import LimitGate, Permit
from savorylift.outcomes import Reason
from savorylift.processes.life_report import Life
from savorylift.processes.server_life import ServerLife
from savorylift.wire.channel import Channel
from savorylift.wire.connecting import connect
from savorylift.wire.purpose import Purpose

# Many round trips: a reachable server accepts within a few milliseconds.
CONNECT_TIMEOUT_S = 0.2
# How long a stream that goes on waits until the process of a limited server is
# known: for a question a second, its permit and its answer. Another server
# would have to be asked, too, and callers abandon it after a pause of two
# seconds.
MAX_QUESTION_WAIT_S = 1.5
# The same, then, for its permit: longer than streams that begin wait.
MAX_PERMIT_WAIT_S = 1.0
OBSTACLES = {
    Life.OTHER: Obstacle.OTHER,
    Life.SILENT: Obstacle.SILENT,
    Life.UNNAMED: Obstacle.UNNAMED,
    Life.UNSOUND: Obstacle.UNNAMED,
    Life.UNSHOWN: Obstacle.UNNAMED,
}


class ResumePoint(NamedTuple):
    """Where to resume a stream.

    Attributes:
        after: ID of the last event that the caller has; None to start with
            the first event.
        kv_copy: KV cache to resume from; None to start from the prompt.
    """

    after: str | None = None
    kv_copy: KvCopy | None = None


class Opened(NamedTuple):
    """A connection on which the request may be sent now.

    Attributes:
        channel: The connection.
        failover_policy: How long to wait for the response, later by the time
            that was spent on permits.
    """

    channel: Channel
    failover_policy: FailoverPolicy


class ServerOpener:
    """Connects to servers that may get a request."""

    def __init__(
        self,
        limit_gate: LimitGate,
        server_life: ServerLife,
        reach: ServerReach,
        may_send: Callable[[BackendServer, CallerRequest], bool],
    ) -> None:
        """Creates it without any connection.

        Args:
            limit_gate: Holds the limits that servers name.
            server_life: Finds out whether a server has started again.
            reach: Told which servers can't be connected to.
            may_send: Returns whether a request may still go to a server;
                checked again once the connection is open.
        """
        self._limit_gate = limit_gate
        self._server_life = server_life
        self._reach = reach
        self._may_send = may_send

    async def open(
        self,
        server: BackendServer,
        admitted: AdmittedRequest,
        resume_point: ResumePoint,
        failover_policy: FailoverPolicy,
    ) -> Opened | NotRun:
        """Opens a connection, or returns why the request wasn't sent."""
        if _must_know_process(server, admitted, resume_point):
            return await self._open_to_known(
                server, admitted, resume_point, failover_policy
            )
        asked_s = time.monotonic()
        permit = await self._acquire_permit(server, admitted, failover_policy)
        if permit is None:
            return _over_limit("the limit of the server is used up")
        failover_policy = failover_policy.delayed(time.monotonic() - asked_s)
        channel = await self._connect(server, failover_policy)
        if isinstance(channel, NotRun):
            return channel
        obstacle = self._find_obstacle(
            server, admitted, resume_point, channel, permit
        )
        if obstacle is not None:
            channel.abort()
            return obstacle
        return Opened(channel, failover_policy)

    async def _open_to_known(
        self,
        server: BackendServer,
        admitted: AdmittedRequest,
        resume_point: ResumePoint,
        failover_policy: FailoverPolicy,
    ) -> Opened | NotRun:
        """Opens a connection to a process of the version of its entry.

        The connection comes before the question which process it is: it leads
        to the process that answers, or to none.
        """
        channel = await self._connect(server, failover_policy)
        if isinstance(channel, NotRun):
            return channel
        connected_s = boot_time_s()
        asked_s = time.monotonic()
        obstacle: NotRun | None = None
        is_open = False
        try:
            permit = await self._check_process(
                server, admitted, channel, connected_s
            )
            if isinstance(permit, NotRun):
                return permit
            obstacle = self._find_obstacle(
                server, admitted, resume_point, channel, permit
            )
            is_open = obstacle is None
        finally:
            if not is_open:
                channel.abort()
        delay_s = time.monotonic() - asked_s
        return obstacle or Opened(channel, failover_policy.delayed(delay_s))

    async def _connect(
        self, server: BackendServer, failover_policy: FailoverPolicy
    ) -> Channel | NotRun:
        host, port = server.entry.address
        timeout_s = min(
            CONNECT_TIMEOUT_S, failover_policy.failover_at_s - time.monotonic()
        )
        try:
            return await connect(
                host, port, max(timeout_s, 0.0), Purpose.REQUEST
            )
        except OSError as exc:
            if timeout_s >= CONNECT_TIMEOUT_S:
                self._reach.record_failure(server)
            detail = f"{type(exc).__name__}: {exc}"
            return NotRun(Reason.BACKEND_LOST, detail, reached_server=False)

    async def _check_process(
        self,
        server: BackendServer,
        admitted: AdmittedRequest,
        channel: Channel,
        connected_s: float,
    ) -> Permit | NotRun:
        """Returns a permit if the process is of the version of its entry."""
        life = await self._server_life.check(
            server,
            admitted.req.attempt_id,
            min(MAX_QUESTION_WAIT_S, admitted.deadline_s - time.monotonic()),
            is_probe=False,
            since_s=connected_s,
            channel=channel,
        )
        if life.life is Life.NOT_ASKED:
            return _over_limit(
                "the server can't be asked when it started", Obstacle.NOT_ASKED
            )
        if not self._server_life.is_of_entry(server, life.life):
            detail = "the server isn't known to be of the stream's version"
            return NotRun(
                Reason.OUT_OF_SERVICE,
                detail,
                reached_server=False,
                obstacle=OBSTACLES[life.life],
            )
        # Another server would have to be asked which process it is, too.
        permit = await self._limit_gate.acquire(
            server,
            admitted.req.attempt_id,
            min(MAX_PERMIT_WAIT_S, admitted.deadline_s - time.monotonic()),
        )
        return permit or _over_limit(
            "the limit of the server is used up", Obstacle.NO_PERMIT
        )

    async def _acquire_permit(
        self,
        server: BackendServer,
        admitted: AdmittedRequest,
        failover_policy: FailoverPolicy,
    ) -> Permit | None:
        return await self._limit_gate.acquire(
            server,
            admitted.req.attempt_id,
            self._permit_wait_s(server, failover_policy),
        )

    def _permit_wait_s(
        self, server: BackendServer, failover_policy: FailoverPolicy
    ) -> float:
        if not self._limit_gate.is_limited(server.entry):
            return 0.0
        return failover_policy.permit_wait_s

    def _find_obstacle(
        self,
        server: BackendServer,
        admitted: AdmittedRequest,
        resume_point: ResumePoint,
        channel: Channel,
        permit: Permit,
    ) -> NotRun | None:
        """Returns why a request must not be sent after all."""
        is_moved = resume_point.kv_copy is not None
        if not is_moved and not self._may_send(server, admitted.req):
            detail = "the server stopped taking new requests"
            return NotRun(Reason.OUT_OF_SERVICE, detail, reached_server=False)
        if not self._limit_gate.may_send(server, permit):
            return _over_limit("the permit expired, or a limit has begun")
        if channel.unread_bytes:
            detail = "the server sent bytes before the request"
            return NotRun(Reason.BACKEND_LOST, detail, reached_server=False)
        return None


def _must_know_process(
    server: BackendServer, admitted: AdmittedRequest, resume_point: ResumePoint
) -> bool:
    """Whether a request may go to a certain process of its server only.

    A stream that has begun is continued by its software version only. A source
    that stopped a run needs no check: no other process knows its handle.
    """
    if admitted.software_version is None:
        return False
    kv_copy = resume_point.kv_copy
    return kv_copy is None or kv_copy.source != server.entry.address


def _over_limit(detail: str, obstacle: Obstacle | None = None) -> NotRun:
    return NotRun(
        Reason.SERVER_LIMIT, detail, reached_server=False, obstacle=obstacle
    )
