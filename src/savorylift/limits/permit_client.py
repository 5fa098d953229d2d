"""Asks other nodes for permits."""

import asyncio
import random
from typing import Protocol

from savorylift.boot_clock import boot_time_s
from savorylift.fleet.limit_messages import (
    LimitMessage,
    LimitReport,
    PermitReply,
    PermitRequest,
)
from savorylift.limits.permit_issuer import PermitDecision

# How long to wait for a reply to each try: many round trips between nodes. A
# try that was heard, but whose reply was lost, leaves its permit unused.
ASK_TIMEOUTS_S = (0.06, 0.09)
# A reply that was read later than this is of no use: this VM stood still.
MAX_REPLY_AGE_S = 0.3
NUMBER_BITS = 48


class SendLimitMessage(Protocol):
    """Sends a message to other nodes."""

    def __call__(self, message: LimitMessage, ip: str | None) -> None:
        """Sends it to a node; to all live nodes without an address."""
        ...


class PermitClient:
    """Sends permit requests and matches the replies to them."""

    def __init__(self, send: SendLimitMessage, rng: random.Random) -> None:
        """Creates a client without requests.

        Args:
            send: Sends messages to other nodes.
            rng: Chooses the first number, so that replies to an earlier
                process of this node match no request.
        """
        self._send = send
        self._next_number = rng.getrandbits(NUMBER_BITS)
        self._replies: dict[int, asyncio.Future[PermitReply]] = {}

    async def ask(
        self,
        issuer_ip: str,
        report: LimitReport,
        max_wait_s: float,
        *,
        is_probe: bool,
    ) -> PermitDecision | None:
        """Returns the decision of another node; None if it doesn't reply."""
        message = PermitRequest(0, report, max_wait_s, is_probe)
        reply = await self._exchange(issuer_ip, message)
        if reply is None:
            return None
        return PermitDecision(reply.is_granted, reply.wait_s)

    async def ask_start(
        self,
        issuer_ip: str,
        report: LimitReport,
        since_s: float,
        *,
        is_probe: bool,
    ) -> PermitReply | None:
        """Returns which process a server is, as far as its issuer knows.

        An issuer of an earlier build may grant a permit instead. None if it
        doesn't reply.

        Args:
            issuer_ip: Address of the issuer.
            report: Limit of the server.
            since_s: Boot time since when the server must have answered.
            is_probe: Whether to use only what requests leave.
        """
        age_s = max(boot_time_s() - since_s, 0.0)
        message = PermitRequest(0, report, 0.0, is_probe, age_s)
        return await self._exchange(issuer_ip, message)

    async def _exchange(
        self, issuer_ip: str, message: PermitRequest
    ) -> PermitReply | None:
        """Returns the reply to a message, unless it is of no use."""
        self._next_number += 1
        number = self._next_number
        fut: asyncio.Future[PermitReply] = (
            asyncio.get_running_loop().create_future()
        )
        self._replies[number] = fut
        asked_s = boot_time_s()
        try:
            reply = await self._send_until_reply(
                message._replace(number=number), issuer_ip, fut
            )
        finally:
            del self._replies[number]
        if reply is None or boot_time_s() - asked_s > MAX_REPLY_AGE_S:
            return None
        if reply.is_granted and reply.wait_s > message.max_wait_s:
            return None
        return reply

    async def _send_until_reply(
        self,
        message: PermitRequest,
        issuer_ip: str,
        fut: asyncio.Future[PermitReply],
    ) -> PermitReply | None:
        for timeout_s in ASK_TIMEOUTS_S:
            self._send(message, issuer_ip)
            await asyncio.wait((fut,), timeout=timeout_s)
            if fut.done():
                return fut.result()
        return None

    def receive(self, reply: PermitReply) -> None:
        """Passes a reply on, unless it is late or a duplicate."""
        fut = self._replies.get(reply.number)
        if fut is not None and not fut.done():
            fut.set_result(reply)
