"""Placement that knows nothing of lengths, to compare with."""

from collections.abc import Mapping, Sequence

from savorylift.permits.gate import BackendHint
from savorylift.rules.view import BackendServer
from savorylift.streams.placement import GenerationRequest, prompt_tokens

UNKNOWN_OUTPUT_TOKENS = 256


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
