"""Keeps the requests of all nodes within the limits that servers name."""

import asyncio
import random
import time
from collections.abc import Callable, Collection
from typing import NamedTuple

import structlog

from savorylift.backends.registry import BackendServer
from savorylift.backends.server import ServerEntry
from savorylift.backends.turns import Turns
from savorylift.boot_clock import boot_time_s
from savorylift.fleet.limit_check import is_sound
from savorylift.fleet.state import (
    LimitMessage,
    LimitNews,
    PermitRequest,
)
from savorylift.limits import metrics
from savorylift.limits.closed_limits import MIN_CLOSED_S, ClosedLimits
from savorylift.limits.limit_sync import LimitedAnswer, LimitSync
from savorylift.limits.permit_client import SendLimitMessage
from savorylift.limits.permit_exchange import PermitExchange
from savorylift.limits.permit_issuer import (
    MAX_INTERVAL_S,
    PermitDecision,
    PermitIssuer,
)
from savorylift.limits.permit_log import find_outcome, log_decision
from savorylift.limits.process_lookup import ProcessLookup
from savorylift.limits.return_times import ReturnTimes

# A permit must be used within this time.
PERMIT_VALIDITY_S = 0.5
# Shorter than the time for which a new issuer waits.
UPDATE_INTERVAL_S = 1.0

_log = structlog.get_logger()


class Permit(NamedTuple):
    """Permission to send a request to a server.

    Attributes:
        expires_s: Boot time at which it expires; None if the server had no
            limit.
    """

    expires_s: float | None


class LimitGate:
    """Asks the issuers of limited servers for permits, or is the issuer."""

    def __init__(
        self,
        issuer: PermitIssuer,
        send: SendLimitMessage,
        count_nodes: Callable[[], int],
        get_message_interval_s: Callable[[], float],
        is_registered: Callable[[str], bool],
        processes: ProcessLookup,
        rng: random.Random,
    ) -> None:
        """Creates a gate that knows no limits.

        Args:
            issuer: Decides on permits for the servers of this node.
            send: Sends messages to other nodes.
            count_nodes: Returns how many nodes share a limit.
            get_message_interval_s: Returns the interval between the nodes'
                messages, which grows with their number.
            is_registered: Whether a server is registered, by its ID.
            processes: Asks the servers whose permits this node issues when they
                started.
            rng: Chooses the first number of permit requests, and the moments
                of this node's turns.
        """
        self._issuer = issuer
        self._count_nodes = count_nodes
        self._closed = ClosedLimits()
        self._sync = LimitSync(
            issuer,
            send,
            get_message_interval_s,
            is_registered,
            on_change=self._closed.reopen,
        )
        self._limits = self._sync.limits
        self._processes = processes
        self._permits = PermitExchange(
            issuer, processes, self._limits, send, rng
        )
        self._turns = Turns(rng)
        # Monotonic time of the last request without a permit.
        self._turn_used_s: dict[str, float] = {}
        self._return_times = ReturnTimes()
        self._next_update_s = 0.0

    def is_limited(self, entry: ServerEntry) -> bool:
        """Whether a server names a limit."""
        return self._limits.find(entry) is not None

    def is_open(self, entry: ServerEntry) -> bool:
        """Whether it is worth asking for a permit, if one is needed."""
        return not self.is_limited(entry) or self._closed.is_open(
            entry.server_id
        )

    async def acquire(
        self,
        server: BackendServer,
        request: str,
        max_wait_s: float,
        *,
        is_probe: bool = False,
    ) -> Permit | None:
        """Returns a permit once a request may be sent; None if it may not.

        Args:
            server: Server that the request is for.
            request: Identifies the request in logs.
            max_wait_s: Longest time to wait for a permit.
            is_probe: Whether to use only what other requests leave.
        """
        entry = server.entry
        limit = self._limits.find(entry)
        if limit is None:
            return Permit(None)
        report = self._limits.report(entry.server_id)
        assert report is not None
        asked_s = boot_time_s()
        issuer_ip = self._issuer.find_issuer(entry.server_id)
        decision = await self._permits.ask(
            issuer_ip, report, limit, max_wait_s, is_probe=is_probe
        )
        took_s = boot_time_s() - asked_s
        outcome = find_outcome(decision)
        if decision is None and not is_probe:
            decision = self._take_turn(entry.server_id, limit)
            outcome = "own_turn" if decision else outcome
        log_decision(request, issuer_ip, report, outcome, decision, took_s)
        if decision is None or not decision.is_granted:
            if not is_probe:
                self._closed.close(entry.server_id, decision, max_wait_s)
            return None
        permit = Permit(asked_s + decision.wait_s + PERMIT_VALIDITY_S)
        await asyncio.sleep(decision.wait_s)
        return permit

    async def find_start(
        self,
        server: BackendServer,
        request: str,
        since_s: float,
        max_wait_s: float,
        *,
        is_probe: bool,
    ) -> int | Permit | None:
        """Returns when the process of a server started that has answered.

        The issuer of its permits asks it, for all nodes.

        Args:
            server: The server.
            request: Identifies the request in logs.
            since_s: Boot time since when it must have answered.
            max_wait_s: Longest time to wait for an answer.
            is_probe: Whether to use only permits that other requests leave.

        Returns:
            The start; a permit to ask the server, if its issuer can't; None if
            it can't be asked now.
        """
        until_s = time.monotonic() + max_wait_s
        while True:
            limit = self._limits.find(server.entry)
            if limit is None:
                return Permit(None)
            reply = await self._permits.ask_start(
                server.entry.server_id, limit, since_s, is_probe=is_probe
            )
            if reply is None or reply.is_silent:
                return await self.acquire(
                    server, request, 0.0, is_probe=is_probe
                )
            if reply.started_ms is not None:
                return reply.started_ms
            if reply.is_granted:
                return Permit(boot_time_s() + PERMIT_VALIDITY_S)
            wait_s = max(reply.wait_s, MIN_CLOSED_S)
            if time.monotonic() + wait_s > until_s:
                return None
            await asyncio.sleep(wait_s)

    def record_start(
        self, server: BackendServer, asked_s: float, started_ms: int
    ) -> None:
        """Records what a server has answered another question of this node.

        Args:
            server: The server.
            asked_s: Boot time before the question was sent.
            started_ms: The start that it named, as a `StartReader` says.
        """
        if self.is_limited(server.entry):
            self._processes.record(server.entry.server_id, started_ms, asked_s)

    def may_send(self, server: BackendServer, permit: Permit) -> bool:
        """Whether a permit still holds; to be checked just before sending."""
        if permit.expires_s is not None:
            return boot_time_s() < permit.expires_s
        return not self.is_limited(server.entry)

    def assign_return_s(self, entries: Collection[ServerEntry]) -> float | None:
        """Returns after what time a caller refused by limits may return.

        None if no server is limited.
        """
        limits = {
            entry.server_id: limit
            for entry in entries
            if (limit := self._limits.find(entry)) is not None
        }
        if not limits:
            return None
        return self._return_times.assign_s(limits, self._count_nodes())

    def record_head(
        self, server: BackendServer, request: str, head: LimitedAnswer
    ) -> None:
        """Records whether the head of a response names a limit."""
        self._sync.record_head(server, request, head)

    def greet(self, ip: str) -> None:
        """Tells a node that has just been heard for the first time."""
        self._sync.greet(ip)

    def receive(self, message: LimitMessage, ip: str) -> None:
        """Handles a message from another node."""
        if not is_sound(message):
            _log.warning("limit_message_unsound", peer=ip)
        elif isinstance(message, LimitNews):
            self._sync.merge(message.reports, ip)
        elif isinstance(message, PermitRequest):
            self._sync.merge((message.limit,), ip)
            self._permits.answer(message, ip)
        else:
            self._permits.receive(message)

    def update(self) -> None:
        """Does what is due; to be called periodically."""
        now_s = time.monotonic()
        if now_s < self._next_update_s:
            return
        self._next_update_s = now_s + UPDATE_INTERVAL_S
        limited = self._limits.limited_ids()
        self._issuer.update(limited)
        self._processes.forget(limited)
        self._sync.update()
        metrics.LIMITED_SERVERS.set(len(limited))
        self._return_times.forget_passed()
        self._closed.forget_passed()
        for server_id in self._turn_used_s.keys() - set(limited):
            del self._turn_used_s[server_id]

    def _take_turn(self, server_id: str, limit: float) -> PermitDecision | None:
        """Uses this node's share of a limit whose issuer doesn't reply.

        The issuer may be of a build that knows no permits, and only responses
        tell whether the limit still holds.
        """
        period_s = self._count_nodes() / max(limit, 1 / MAX_INTERVAL_S)
        used_s = self._turn_used_s.get(server_id)
        if not self._turns.may_send(period_s, used_s):
            return None
        self._turn_used_s[server_id] = time.monotonic()
        return PermitDecision(is_granted=True, wait_s=0.0)
