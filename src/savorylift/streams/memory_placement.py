"""Placement by expected memory, with lengths learned per team and model."""

import zlib
from collections.abc import Iterable, Mapping, Sequence

from savorylift.permits.gate import BackendHint
from savorylift.rules.view import BackendServer, RulesSource
from savorylift.streams.lengths import Lengths
from savorylift.streams.pace import Pace
from savorylift.streams.placement import GenerationRequest, prompt_tokens
from savorylift.streams.policy_settings import PolicySettings, read_settings
from savorylift.streams.prefixes import CacheEvent, Prefixes, prefix_hash
from savorylift.streams.reserve import Headroom

BAND = 1 / 16  # share of an engine's memory within which prefixes decide
START_LEVEL = 0.35  # quantile of the length that must fit before the deadline


class MemoryPlacement:
    """Orders engines by free memory and reserves a quantile of the length.

    Any number of threads may call it; it asks no actor.
    """

    def __init__(self, rules: RulesSource) -> None:
        """Starts with nothing learned; reads its weights from `rules`."""
        self._rules = rules
        self._lengths = Lengths()
        self._pace = Pace()
        self._prefixes = Prefixes()
        self._headrooms: dict[str, Headroom] = {}

    def order(
        self,
        req: GenerationRequest,
        servers: Sequence[BackendServer],
        hints: Mapping[str, BackendHint],
    ) -> tuple[str, ...]:
        """Returns engines with room first, then by free memory in bands.

        Within a band, one that probably caches the prompt's prefix goes
        first. The tie between equals is broken by the request's identifier.
        """
        tokens = self.reserve(req, 0)
        hash_ = prefix_hash(req.model.name, req.prompt)

        def key(server: BackendServer) -> tuple[bool, int, int, bool, int]:
            hint = hints.get(server.name)
            cached = self._prefixes.is_cached(server.name, hash_)
            tie = zlib.crc32(f"{req.request_id}{server.name}".encode())
            if hint is None:
                return False, 0, -round(1 / BAND), not cached, tie
            fits = hint.free_slots >= 1 and hint.free_tokens >= tokens
            band = max(1.0, server.kv_tokens * BAND)
            free = int(hint.free_tokens / band)
            return not fits, hint.waiting, -free, not cached, tie

        return tuple(server.name for server in sorted(servers, key=key))

    def reserve(self, req: GenerationRequest, produced: int) -> int:
        """Returns prompt and a quantile of the length given `produced`."""
        cfg = self._settings()
        if produced > 0:
            self._pace.note_progress(req.request_id, produced)
        level = self._headroom(req.model.name).level(cfg)
        length = self._lengths.quantile(
            req.team.name, req.model.name, level, produced
        )
        bounded = max(produced, min(req.max_tokens, round(length)))
        return prompt_tokens(req.prompt) + bounded

    def note_finished(self, req: GenerationRequest, produced: int) -> None:
        """Learns the length and pace of a completed output."""
        model = req.model.name
        self._lengths.note(req.team.name, model, produced)
        self._pace.note_finished(req.request_id, model, produced)

    def latest_start_s(self, req: GenerationRequest) -> float:
        """Returns the `time.monotonic()` after which a start is of no use."""
        length = self._lengths.quantile(
            req.team.name, req.model.name, START_LEVEL, 0
        )
        bounded = min(req.max_tokens, length)
        return req.deadline_s - bounded * self._pace.interval_s(req.model.name)

    def note_dispatched(self, req: GenerationRequest, server: str) -> None:
        """Notes that an engine has been given the prompt."""
        hash_ = prefix_hash(req.model.name, req.prompt)
        self._prefixes.note_dispatch(server, hash_)

    def note_cache_events(
        self, server: str, events: Iterable[CacheEvent]
    ) -> None:
        """Notes what an engine says of its prefix cache."""
        self._prefixes.note_events(server, events)

    def note_preemptions(self, server: str, count: int) -> None:
        """Notes preemptions that an engine reports since the last report."""
        servers = self._rules.current().backend_servers
        if count <= 0 or server not in servers:
            return
        model = servers[server].model
        if model is not None:
            engines = sum(1 for rule in servers.values() if rule.model == model)
            headroom = self._headroom(model)
            headroom.note_preemptions(count / engines, self._settings())

    def _headroom(self, model: str) -> Headroom:
        headroom = self._headrooms.get(model)
        if headroom is None:
            headroom = self._headrooms.setdefault(model, Headroom())
        return headroom

    def _settings(self) -> PolicySettings:
        return read_settings(self._rules.current())
