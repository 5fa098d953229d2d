"""Requests for permits under way, and the messages that carry them."""

import time

from savorylift.identity import NodeRef
from savorylift.permits.co_keepers import Sender
from savorylift.permits.gate import PermitRequest
from savorylift.permits.holdings import Holdings
from savorylift.permits.messages import PermitAsk, PermitGiveUp
from savorylift.permits.route import Route, Target


class WaitingRequest:
    """A request without an answer yet.

    Attributes:
        req: The request.
        route: Keepers asked and still to ask.
        created_s: `time.monotonic()` at which it was made.
        asked_s: `time.monotonic()` of the last question or confirmation.
        is_confirmed: True if a keeper has said that it is in its queue.
    """

    def __init__(self, req: PermitRequest, route: Route) -> None:
        """Starts without having asked."""
        self.req = req
        self.route = route
        self.created_s = time.monotonic()
        self.asked_s = self.created_s
        self.is_confirmed = False

    def note_asked(self, *, is_confirmed: bool) -> None:
        """Notes a question, or a keeper's confirmation of one."""
        self.asked_s = time.monotonic()
        self.is_confirmed = is_confirmed


class RequestSender:
    """Sends requests to keepers and withdraws them."""

    def __init__(
        self, ref: NodeRef, holdings: Holdings, sender: Sender
    ) -> None:
        """Takes the holder's parts."""
        self._ref = ref
        self._holdings = holdings
        self._sender = sender

    def send(
        self, waiting: WaitingRequest, target: Target, *, may_queue: bool
    ) -> None:
        """RequestSender one keeper."""
        req = waiting.req
        msg = PermitAsk(
            req.permit_id,
            target.server,
            req.stream_id,
            req.team,
            req.weight,
            req.priority,
            req.tokens,
            req.deadline_s - time.monotonic(),
            may_queue,
            self._ref,
        )
        self._sender.send(target.keeper, msg)

    def withdraw(
        self, waiting: WaitingRequest, granter: NodeRef | None = None
    ) -> None:
        """Gives a request up at every keeper asked, but `granter`."""
        for target in waiting.route.asked:
            if target.keeper != granter:
                self.give_up(waiting.req.permit_id, target)

    def give_up(self, permit_id: str, target: Target) -> None:
        """Gives up every permit of this identifier that isn't held."""
        kept_lot = -1
        holding = self._holdings.get(permit_id)
        if holding and holding.held.lot.backend_server == target.server:
            kept_lot = holding.held.lot.number
        msg = PermitGiveUp(permit_id, target.server, kept_lot)
        self._sender.send(target.keeper, msg)
