"""Policies that the one in use is measured against."""

# ruff: noqa: ARG002
import zlib
from collections.abc import Callable, Mapping, Sequence

from bench.policy_engine import Engine
from savorylift.permits.gate import BackendHint
from savorylift.rules.view import BackendServer
from savorylift.streams.pace import Pace
from savorylift.streams.placement import GenerationRequest, prompt_tokens


class RoundRobin:
    """Takes engines in turn; reserves no memory."""

    def __init__(self) -> None:
        """Starts with the first engine."""
        self._turn = 0

    def order(
        self,
        req: GenerationRequest,
        servers: Sequence[BackendServer],
        hints: Mapping[str, BackendHint],
    ) -> tuple[str, ...]:
        """Returns engines from the one whose turn it is."""
        names = [server.name for server in servers]
        turn = self._turn = (self._turn + 1) % len(names)
        return tuple(names[turn:] + names[:turn])

    def reserve(self, req: GenerationRequest, produced: int) -> int:
        """Returns 0."""
        return 0

    def note_finished(self, req: GenerationRequest, produced: int) -> None:
        """Learns nothing."""


class LeastOutstanding(RoundRobin):
    """Takes the engine with fewest requests, as the engine counts them."""

    def __init__(self, engines: Mapping[str, Engine]) -> None:
        """Counts the requests of `engines` without any delay."""
        super().__init__()
        self._engines = engines

    def order(
        self,
        req: GenerationRequest,
        servers: Sequence[BackendServer],
        hints: Mapping[str, BackendHint],
    ) -> tuple[str, ...]:
        """Returns engines with fewest requests first."""

        def key(server: BackendServer) -> tuple[int, int]:
            tie = zlib.crc32(f"{req.request_id}{server.name}".encode())
            return self._engines[server.name].active, tie

        return tuple(server.name for server in sorted(servers, key=key))


class AllKnowing:
    """Reserves the true length; takes the engine with most free memory."""

    def __init__(self, length_of: Callable[[str], int]) -> None:
        """Knows every length by request identifier."""
        self._length_of = length_of
        self._pace = Pace()

    def order(
        self,
        req: GenerationRequest,
        servers: Sequence[BackendServer],
        hints: Mapping[str, BackendHint],
    ) -> tuple[str, ...]:
        """Returns engines with most free memory first."""

        def key(server: BackendServer) -> tuple[bool, int, int, int]:
            hint = hints.get(server.name)
            tie = zlib.crc32(f"{req.request_id}{server.name}".encode())
            if hint is None:
                return False, 0, -server.kv_tokens, tie
            return hint.free_slots < 1, hint.waiting, -hint.free_tokens, tie

        return tuple(server.name for server in sorted(servers, key=key))

    def reserve(self, req: GenerationRequest, produced: int) -> int:
        """Returns prompt and true length."""
        if produced > 0:
            self._pace.note_progress(req.request_id, produced)
        return prompt_tokens(req.prompt) + self._length_of(req.request_id)

    def note_finished(self, req: GenerationRequest, produced: int) -> None:
        """Learns the pace."""
        self._pace.note_finished(req.request_id, req.model.name, produced)

    def latest_start_s(self, req: GenerationRequest) -> float:
        """Returns when it must start to be whole by its deadline."""
        run_s = self._length_of(req.request_id) * self._pace.interval_s(
            req.model.name
        )
        return req.deadline_s - run_s
