"""Which engines a generation may run on, best first, and what it reserves."""

from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple, Protocol

from savorylift.permits.gate import BackendHint
from savorylift.rules.view import BackendServer, Model, Team
from savorylift.streams.prefixes import CacheEvent


class GenerationRequest(NamedTuple):
    """One generation as its caller asked for it.

    Attributes:
        request_id: Identifier of the request.
        team: The caller's team.
        model: Model to run.
        prompt: Text of the prompt.
        max_tokens: Bound on the output.
        seed: Seed of the generation.
        priority: Higher goes first; 0 is ordinary.
        deadline_s: `time.monotonic()` by which the answer must be whole.
    """

    request_id: str
    team: Team
    model: Model
    prompt: str
    max_tokens: int
    seed: int
    priority: int
    deadline_s: float


class Placement(Protocol):
    """Policy that orders engines and estimates memory."""

    def order(
        self,
        req: GenerationRequest,
        servers: Sequence[BackendServer],
        hints: Mapping[str, BackendHint],
    ) -> tuple[str, ...]:
        """Returns names of `servers`, best first."""

    def reserve(self, req: GenerationRequest, produced: int) -> int:
        """Returns tokens of memory to reserve once `produced` exist."""

    def note_finished(self, req: GenerationRequest, produced: int) -> None:
        """Learns the length of a completed output."""


class LearningPlacement(Placement, Protocol):
    """Placement that learns from more than completed outputs."""

    def latest_start_s(self, req: GenerationRequest) -> float:
        """Returns the `time.monotonic()` after which a start is of no use."""

    def note_dispatched(self, req: GenerationRequest, server: str) -> None:
        """Notes that an engine has been given the prompt."""

    def note_cache_events(
        self, server: str, events: Iterable[CacheEvent]
    ) -> None:
        """Notes what an engine says of its prefix cache."""

    def note_preemptions(self, server: str, count: int) -> None:
        """Notes preemptions that an engine reports since the last report."""


def prompt_tokens(prompt: str) -> int:
    """Returns an estimate of a prompt's length in tokens."""
    return len(prompt.split()) or 1
