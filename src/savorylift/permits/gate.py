"""Permits as the request path asks for them."""

from collections.abc import Mapping
from typing import NamedTuple, Protocol

from returns.result import Result

from savorylift.identity import NodeRef
from savorylift.outcomes import Refusal


class PermitRequest(NamedTuple):
    """Asks to start one piece of work on one of several backend servers.

    Attributes:
        permit_id: Identifier made by the asking node.
        candidates: Names of acceptable backend servers, best first.
        stream_id: Generation or call the permit is for.
        team: Team of the caller.
        weight: The team's weight.
        priority: Higher goes first; 0 is ordinary.
        tokens: Memory to reserve, in tokens; 0 for a plain service.
        deadline_s: `time.monotonic()` of the asking node after which the
            permit is of no use.
    """

    permit_id: str
    candidates: tuple[str, ...]
    stream_id: str
    team: str
    weight: int
    priority: int
    tokens: int
    deadline_s: float


class Permit(NamedTuple):
    """A granted right to run one piece of work.

    Attributes:
        permit_id: From the request.
        backend_server: The candidate it is for.
        stream_id: From the request.
        keeper: Node that granted it and takes it back.
        cold: True if the backend server counted as cold when granted.
    """

    permit_id: str
    backend_server: str
    stream_id: str
    keeper: NodeRef
    cold: bool


class PermitUse(NamedTuple):
    """How the work under a permit ended.

    Attributes:
        finished: True if the backend server is known to have stopped working
            on it (completed, or cancelled and confirmed).
        completed: True if it completed normally.
        first_token_s: Delay of the first token or answer byte; None if none.
        output_tokens: Tokens produced; 0 for a plain service.
        overloaded: True if the backend server refused for lack of capacity.
        incarnation: Backend server's incarnation seen in its answer, if any.
    """

    finished: bool
    completed: bool
    first_token_s: float | None
    output_tokens: int
    overloaded: bool
    incarnation: str | None


class BackendHint(NamedTuple):
    """What keepers last said about a backend server; may be out of date.

    Attributes:
        free_slots: Concurrent requests it could still take.
        free_tokens: Memory not reserved, in tokens.
        waiting: Requests waiting at its keepers.
        cold: True if it counts as cold.
        seen_s: `time.monotonic()` when this was learned.
    """

    free_slots: int
    free_tokens: int
    waiting: int
    cold: bool
    seen_s: float


class PermitGate(Protocol):
    """Grants permits through the keepers of each backend server.

    Calls block the asking thread up to the request's deadline.
    """

    def acquire(self, req: PermitRequest) -> Result[Permit, Refusal]:
        """Waits for a permit or returns why there will be none."""

    def hints(self) -> Mapping[str, BackendHint]:
        """Returns the newest hints by backend server name."""

    def started(
        self,
        permit: Permit,
        incarnation: str,
        first_token_s: float,
        *,
        is_cold: bool,
    ) -> None:
        """Reports the first output under a permit, as soon as it is seen.

        A negative `first_token_s` says that there is output but not how long
        it took. A keeper lets no more work than the cold limit be without
        output at a model engine, so that a late report costs capacity. A
        plain service's calls need no report.
        """

    def adjust(self, permit: Permit, tokens: int) -> None:
        """Replaces the memory reserved under a permit."""

    def release(self, permit: Permit, use: PermitUse) -> None:
        """Returns a permit to its keeper."""

    def is_held(self, permit: Permit) -> bool:
        """Returns False if another node has taken the permit over."""

    def take_over(self, permit: Permit) -> None:
        """Makes this node the holder of a permit whose stream it resumes.

        Needs no answer: the work runs already, so nothing new is granted.
        The newest node to take a permit over holds it.
        """
