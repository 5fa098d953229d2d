"""Finds out whether this node is cut off from all servers of a service."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable, Sequence

import structlog

from savorylift.backends.registry import BackendServer
from savorylift.exchange import metrics
from savorylift.exchange.reach_beliefs import ReachBeliefs

# Servers of a service that are probed at once, at most.
MAX_PROBED = 6
# Servers that are probed to find out whether the service is reached again.
REPEAT_PROBED = 2
REPEAT_INTERVAL_S = 0.5
# A service whose links are in doubt isn't checked more often than this.
CHECK_INTERVAL_S = 1.0
# A request that waits longer for the first byte puts its server in doubt.
SILENCE_S = 0.8

_log = structlog.get_logger()

# Returns whether a server answers; None if it must not be asked now.
Probe = Callable[[BackendServer], Awaitable[bool | None]]


class Wait:
    """A request that waits for the first byte of its answer.

    Attributes:
        server: The server that it was sent to.
        request: ID of the request.
        began_s: Monotonic time at which it was sent.
        is_counted: Whether its silence counts as a failure.
    """

    def __init__(self, server: BackendServer, request: str) -> None:
        """Begins to wait now."""
        self.server = server
        self.request = request
        self.began_s = time.monotonic()
        self.is_counted = False


class ServerReach:
    """Services whose servers this node can't reach, though they serve."""

    def __init__(
        self,
        find_servers: Callable[[str], Sequence[BackendServer]],
        probe: Probe,
        on_change: Callable[[], None],
        on_lost: Callable[[str, str], None],
        rng: random.Random,
    ) -> None:
        """Starts with all services reached.

        Args:
            find_servers: Returns the servers in service of a service.
            probe: Asks a server for a sign of life.
            on_change: Called when a service is cut off or reached again.
            on_lost: Called with the server and ID of each request that was
                sent to a service that turned out to be cut off, and of whose
                answer nothing has come: it most likely didn't arrive.
            rng: Chooses the servers to probe.
        """
        self._find_servers = find_servers
        self._probe = probe
        self._on_change = on_change
        self._on_lost = on_lost
        self._rng = rng
        self._beliefs = ReachBeliefs()
        self._cut_off: set[str] = set()
        # Services of the servers whose links may be cut.
        self._in_doubt: dict[str, str] = {}
        self._waits: set[Wait] = set()
        self._next_check_s: dict[str, float] = {}
        self._checks: dict[str, asyncio.Task[None]] = {}

    @property
    def cut_off(self) -> tuple[str, ...]:
        """Names of the services that this node doesn't reach."""
        return tuple(sorted(self._cut_off))

    def is_cut_off(self, service: str) -> bool:
        """Whether this node reaches no server of a service."""
        return service in self._cut_off

    def record_failure(self, server: BackendServer) -> None:
        """Records a connection to a server that brought no answer."""
        entry = server.entry
        self._beliefs.record_failure(entry.server_id, time.monotonic())
        self._in_doubt[entry.server_id] = entry.service
        self._check_if_due(entry.service)

    def begin_wait(self, server: BackendServer, request: str) -> "Wait":
        """Records a request that is sent on a connection just opened."""
        wait = Wait(server, request)
        self._waits.add(wait)
        return wait

    def end_wait(self, wait: "Wait", *, has_answer: bool) -> None:
        """Records whether any byte of an answer has come."""
        self._waits.discard(wait)
        if has_answer:
            server_id = wait.server.entry.server_id
            now_s = time.monotonic()
            self._beliefs.record_answer(server_id, wait.began_s, now_s)
        elif not wait.is_counted:
            self.record_failure(wait.server)

    def update(self) -> None:
        """Checks what is due; to be called periodically."""
        now_s = time.monotonic()
        self._beliefs.forget_old(now_s)
        for wait in list(self._waits):
            if not wait.is_counted and now_s - wait.began_s >= SILENCE_S:
                wait.is_counted = True
                self.record_failure(wait.server)
        for service in self._cut_off | set(self._in_doubt.values()):
            self._check_if_due(service)
        suspects = self._beliefs.suspects(now_s)
        self._in_doubt = {
            server_id: service
            for server_id, service in self._in_doubt.items()
            if server_id in suspects
        }

    def _check_if_due(self, service: str) -> None:
        now_s = time.monotonic()
        if service in self._checks:
            return
        if now_s < self._next_check_s.get(service, 0.0):
            return
        servers = self._find_servers(service)
        is_cut_off = service in self._cut_off
        if not is_cut_off and not self._beliefs.may_be_cut_off(
            [server.entry.server_id for server in servers], now_s
        ):
            return
        interval_s = REPEAT_INTERVAL_S if is_cut_off else CHECK_INTERVAL_S
        self._next_check_s[service] = now_s + interval_s
        count = min(len(servers), REPEAT_PROBED if is_cut_off else MAX_PROBED)
        probed = self._rng.sample(list(servers), count)
        task = asyncio.get_running_loop().create_task(
            self._check(service, probed)
        )
        self._checks[service] = task
        task.add_done_callback(lambda _: self._checks.pop(service, None))

    async def _check(
        self, service: str, servers: Sequence[BackendServer]
    ) -> None:
        opened_s = time.monotonic()
        answers = await asyncio.gather(*map(self._probe, servers))
        now_s = time.monotonic()
        for server, answered in zip(servers, answers, strict=True):
            server_id = server.entry.server_id
            if answered:
                self._beliefs.record_answer(server_id, opened_s, now_s)
            elif answered is not None:
                self._beliefs.record_failure(server_id, now_s)
        if any(answers) or not servers:
            self._change(service, answers, is_cut_off=False)
        elif False in answers:
            self._change(service, answers, is_cut_off=True)

    def _change(
        self,
        service: str,
        answers: Sequence[bool | None],
        *,
        is_cut_off: bool,
    ) -> None:
        if is_cut_off == (service in self._cut_off):
            return
        if is_cut_off:
            self._cut_off.add(service)
            now_s = time.monotonic()
            self._next_check_s[service] = now_s + REPEAT_INTERVAL_S
            for wait in self._waits:
                if wait.server.entry.service == service:
                    self._on_lost(wait.server.entry.server_id, wait.request)
        else:
            self._cut_off.discard(service)
        metrics.UNREACHED_SERVICES.set(len(self._cut_off))
        _log.warning(
            "servers_unreached" if is_cut_off else "servers_reached",
            service=service,
            probed=len(answers),
            answered=answers.count(True),
        )
        self._on_change()
