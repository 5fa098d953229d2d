"""State of one plain call while this node serves it."""

import asyncio

from savorylift.exchange.admission import AdmittedRequest
from savorylift.exchange.request_traits import find_traits
from savorylift.exchange.results import Refused
from savorylift.exchange.time_limit import end_now


class OpenCall:
    """State of one plain call at this node.

    Attributes:
        admitted: The admitted request.
        traits: What it can be recognized by if it crashes its server.
        is_at_server: Whether it is being sent to a server or was sent.
        has_run: Whether an earlier server may have run it.
        time_limit: Ends the serving of the call; None before it begins.
        refusal: Why the call was stopped, if it was.
    """

    def __init__(self, admitted: AdmittedRequest) -> None:
        """Creates a call that was not sent yet."""
        self.admitted = admitted
        self.traits = find_traits(admitted)
        self.is_at_server = False
        self.has_run = False
        self.time_limit: asyncio.Timeout | None = None
        self.refusal: Refused | None = None

    def end_quarantined(self, refusal: Refused) -> Refused:
        """Returns the final response, given the refusal of a call."""
        if not self.is_at_server and not self.has_run:
            return refusal
        message = "Requests like this one crash servers; it may have run."
        return Refused(502, refusal.reason, message)

    def stop(self, refusal: Refused | None) -> None:
        """Ends the serving of the call now, if there is a refusal."""
        if refusal is not None and end_now(self.time_limit):
            self.refusal = self.end_quarantined(refusal)
