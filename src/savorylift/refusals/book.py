"""The refusal account as the request path writes to it."""

from typing import NamedTuple, Protocol

from savorylift.outcomes import Refusal


class RefusedRequest(NamedTuple):
    """One refused request.

    Attributes:
        request_id: Identifier of the request.
        team: Team named by the caller, or an empty string.
        time_ms: Wall-clock time of the decision.
        refusal: What the caller is told.
        rules_offset: Offset of the rules view that was judged against.
        backend_server: Backend server concerned, or an empty string.
    """

    request_id: str
    team: str
    time_ms: int
    refusal: Refusal
    rules_offset: int
    backend_server: str


class RefusalBook(Protocol):
    """Keeps every refusal until it is on the platform's log."""

    def write(self, refused: RefusedRequest) -> None:
        """Keeps one refusal; returns once two peers hold it or soon after."""
