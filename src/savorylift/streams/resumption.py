"""Goes on with a generation that was relayed before, by its ticket."""

import time

from returns.result import Failure, Result

from savorylift.identity import NodeRef
from savorylift.outcomes import Ending, Refusal
from savorylift.permits.gate import Permit
from savorylift.streams.attempt import Attempt, Follower, remnant
from savorylift.streams.delivery import Delivery
from savorylift.streams.parts import GenerationParts
from savorylift.streams.settle import LOST, settle
from savorylift.streams.sink import Sink
from savorylift.streams.ticket import Ticket, expiry_ms, sign_ticket


class Resumption:
    """Goes on with a generation that another connection relayed before."""

    def __init__(
        self,
        parts: GenerationParts,
        ticket: Ticket,
        sink: Sink,
        from_index: int,
        deadline_s: float,
    ) -> None:
        """Prepares to deliver from `from_index` on; `run` does it."""
        self._parts = parts
        self._ticket = ticket
        self._sink = sink
        self._delivery = Delivery(base=from_index)
        self._follower = Follower(parts, sink, self._delivery, deadline_s)

    def run(self) -> Result[None, Refusal]:
        """Blocks until the answer is whole, or returns why it will not be."""
        ticket = self._ticket
        permit = ticket_permit(ticket)
        self._parts.gate.take_over(permit)
        self._parts.cleaner.forget(ticket.generation_id)
        attempt = Attempt(
            permit,
            ticket.backend_address,
            ticket.generation_id,
            time.monotonic(),
            is_resumed=True,
        )
        self._delivery.attach(ticket.generation_id)
        stream = self._follower.reopen(attempt)
        if stream is None:
            self._parts.cleaner.end(remnant(attempt, 0))
            reason, message = LOST
            return Failure(Refusal(Ending.FAILED, reason, message))
        renewed = ticket._replace(expires_ms=expiry_ms())
        self._sink.announce(sign_ticket(renewed, self._parts.ticket_keys))
        ended = self._follower.follow(attempt, stream, _FixedReserve())
        return settle(self._parts, attempt, ended, self._delivery, self._sink)


class _FixedReserve:
    """Keeps the memory that the first node reserved."""

    def corrected(self, produced: int) -> int | None:  # noqa: ARG002
        """Returns None."""
        return None


def ticket_permit(ticket: Ticket) -> Permit:
    """Returns the permit that a ticket names."""
    return Permit(
        ticket.permit_id,
        ticket.backend_server,
        ticket.generation_id,
        NodeRef(ticket.keeper_vm, ticket.keeper_incarnation),
        ticket.is_cold,
    )
