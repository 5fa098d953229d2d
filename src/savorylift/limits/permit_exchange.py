"""Questions to the issuers of permits, and answers to nodes that ask this."""

import random

from savorylift.backends.named_limits import NamedLimits
from savorylift.boot_clock import boot_time_s
from savorylift.fleet.state import (
    LimitNews,
    LimitReport,
    PermitReply,
    PermitRequest,
)
from savorylift.limits.permit_client import PermitClient, SendLimitMessage
from savorylift.limits.permit_issuer import PermitDecision, PermitIssuer
from savorylift.limits.process_lookup import ProcessLookup


class PermitExchange:
    """Reaches the issuer of a server's permits: another node, or this one."""

    def __init__(
        self,
        issuer: PermitIssuer,
        processes: ProcessLookup,
        limits: NamedLimits,
        send: SendLimitMessage,
        rng: random.Random,
    ) -> None:
        """Creates it without questions.

        Args:
            issuer: Decides on permits for the servers of this node.
            processes: Asks the servers whose permits this node issues when they
                started.
            limits: The limits that servers name.
            send: Sends messages to other nodes.
            rng: Chooses the first number of permit requests.
        """
        self._issuer = issuer
        self._processes = processes
        self._limits = limits
        self._send = send
        self._client = PermitClient(send, rng)

    async def ask(
        self,
        issuer_ip: str,
        report: LimitReport,
        limit: float,
        max_wait_s: float,
        *,
        is_probe: bool,
    ) -> PermitDecision | None:
        """Returns the issuer's decision; None if it doesn't reply.

        Args:
            issuer_ip: Address of the issuer.
            report: Limit of the server, for another node.
            limit: The same in requests a second.
            max_wait_s: Longest time to wait for a permit.
            is_probe: Whether to use only what other requests leave.
        """
        if self._issuer.is_own_ip(issuer_ip):
            return self._issuer.decide(
                report.server_id, limit, max_wait_s, is_probe=is_probe
            )
        return await self._client.ask(
            issuer_ip, report, max_wait_s, is_probe=is_probe
        )

    async def ask_start(
        self,
        server_id: str,
        limit: float,
        since_s: float,
        *,
        is_probe: bool,
    ) -> PermitReply | None:
        """Returns what the issuer knows of a start; None without a reply.

        Args:
            server_id: The server.
            limit: Its limit in requests a second.
            since_s: Boot time since when it must have answered.
            is_probe: Whether to use only what other requests leave.
        """
        issuer_ip = self._issuer.find_issuer(server_id)
        if self._issuer.is_own_ip(issuer_ip):
            return self._find_start(
                server_id, limit, since_s, is_probe=is_probe
            )
        report = self._limits.report(server_id)
        assert report is not None
        return await self._client.ask_start(
            issuer_ip, report, since_s, is_probe=is_probe
        )

    def receive(self, reply: PermitReply) -> None:
        """Takes the reply of another node."""
        self._client.receive(reply)

    def answer(self, message: PermitRequest, ip: str) -> None:
        """Answers another node, whose limit is merged already."""
        server_id = message.limit.server_id
        known = self._limits.report(server_id)
        limit = None if known is None else known.requests_per_s
        if limit is None:
            # The limit has ended: the other node will hear of it.
            assert known is not None
            self._send(LimitNews((known,)), ip)
            limit = message.limit.requests_per_s or 0.0
        if message.start_age_s is None:
            reply = self._decide(message, limit)
        else:
            since_s = boot_time_s() - message.start_age_s
            reply = self._find_start(
                server_id, limit, since_s, is_probe=message.is_probe
            )
        self._send(reply._replace(number=message.number), ip)

    def _decide(self, message: PermitRequest, limit: float) -> PermitReply:
        decision = self._issuer.decide(
            message.limit.server_id,
            limit,
            message.max_wait_s,
            is_probe=message.is_probe,
        )
        return PermitReply(0, decision.is_granted, decision.wait_s)

    def _find_start(
        self, server_id: str, limit: float, since_s: float, *, is_probe: bool
    ) -> PermitReply:
        answer = self._processes.find(
            server_id, limit, since_s, is_probe=is_probe
        )
        return PermitReply(
            0,
            is_granted=False,
            wait_s=answer.wait_s,
            started_ms=answer.started_ms,
            is_silent=answer.is_silent,
        )
