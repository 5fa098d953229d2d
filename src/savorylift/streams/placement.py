"""Which engines a generation may run on, best first, and what it reserves."""

from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple, Protocol

from savorylift.permits.gate import BackendHint
from savorylift.rules.view import BackendServer, Model, Team
from savorylift.streams.prefixes import CacheEvent

UNKNOWN_OUTPUT_TOKENS = 256


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


class LeastLoadedPlacement:
    """Orders engines by free places; reserves a fixed output length."""

    def order(
        self,
        req: GenerationRequest,
        servers: Sequence[BackendServer],
        hints: Mapping[str, BackendHint],
    ) -> tuple[str, ...]:
        """Returns engines with the most free places first."""

        def free(server: BackendServer) -> tuple[int, str]:
            hint = hints.get(server.name)
            places = server.cold_limit if hint is None else hint.free_slots
            return -places, f"{req.request_id}{server.name}"

        return tuple(server.name for server in sorted(servers, key=free))

    def reserve(self, req: GenerationRequest, produced: int) -> int:
        """Returns prompt and output so far plus a fixed remainder."""
        expected = max(produced, min(req.max_tokens, UNKNOWN_OUTPUT_TOKENS))
        return prompt_tokens(req.prompt) + expected

    def note_finished(self, req: GenerationRequest, produced: int) -> None:
        """Learns nothing."""


def prompt_tokens(prompt: str) -> int:
    """Returns an estimate of a prompt's length in tokens."""
    return len(prompt.split()) or 1
