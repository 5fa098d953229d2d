"""Placement by expected memory, with lengths learned per team and model."""

import math
import zlib
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from savorylift.permits.gate import BackendHint
from savorylift.rules.view import BackendServer, RulesSource, RulesView
from savorylift.streams.lengths import Lengths
from savorylift.streams.pace import Pace
from savorylift.streams.placement import GenerationRequest, prompt_tokens
from savorylift.streams.policy_settings import PolicySettings, read_settings
from savorylift.streams.prefixes import CacheEvent, Prefixes, prefix_hash
from savorylift.streams.reserve import CALM, Crowding, Headroom

CHOICES = 3  # engines drawn for a request; nodes ask so many at most
BAND = 1 / 16  # share of an engine's memory within which prefixes decide
MIXER, MASK = 0x9E3779B1, 0xFFFFFFFF
QUEUED_SMOOTHING = 0.1
START_LEVEL = 0.35  # quantile of the length that must fit before the deadline


class MemoryPlacement:
    """Orders engines by free memory and reserves by expected lengths.

    Any number of threads may call it; it asks no actor.
    """

    def __init__(self, rules: RulesSource) -> None:
        """Starts with nothing learned; reads its weights from `rules`."""
        self._rules = rules
        self._lengths = Lengths()
        self._pace = Pace()
        self._prefixes = Prefixes()
        self._crowding: dict[str, Crowding] = {}
        self._last_known = _read(rules.current())
        self._headrooms: dict[str, Headroom] = {}

    def order(
        self,
        req: GenerationRequest,
        servers: Sequence[BackendServer],
        hints: Mapping[str, BackendHint],
    ) -> tuple[str, ...]:
        """Returns the names of `servers`, best first.

        Engines with room for the reserve go before those without. Hints
        are old, so that nodes which all took the engine that looks best
        would overload it together: of equal engines, those drawn go first.
        Among these, more free memory, counted in bands, goes first, and
        within a band one that probably caches the prompt's prefix.
        """
        tokens = self.reserve(req, 0)
        self._note_crowding(req.model.name, servers, hints)
        hash_ = prefix_hash(req.model.name, req.prompt)
        seed = zlib.crc32(req.request_id.encode())
        drawn = sorted(servers, key=lambda server: _draw(seed, server))
        ranks = {}
        for number, server in enumerate(drawn):
            ranks[server.name] = _rank(
                server,
                hints.get(server.name),
                tokens,
                is_spare=number >= CHOICES,
                is_cached=self._prefixes.is_cached(server.name, hash_),
            )
        return tuple(sorted(ranks, key=lambda name: ranks[name]))

    def reserve(self, req: GenerationRequest, produced: int) -> int:
        """Returns prompt, `produced` and a share of the expected rest."""
        if produced > 0:
            self._pace.note_progress(req.request_id, produced)
        model = req.model.name
        crowding = self._crowding.get(model, CALM)
        share = self._headroom(model).share(self._known().cfg, crowding)
        mean = self._lengths.mean(req.team.name, model, produced)
        length = produced + share * (mean - produced)
        bounded = max(produced, min(req.max_tokens, math.ceil(length)))
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
            known = self._known()
            rate = count / known.engines[model]
            self._headroom(model).note_preemptions(rate, known.cfg)

    def _note_crowding(
        self,
        model: str,
        servers: Sequence[BackendServer],
        hints: Mapping[str, BackendHint],
    ) -> None:
        engines = self._known().engines[model]
        missing = 1.0 - len(servers) / max(1, engines)
        queued = sum(
            1
            for server in servers
            if (hint := hints.get(server.name)) and hint.waiting > 0
        )
        old = self._crowding.get(model, CALM).queued
        new = queued / max(1, len(servers))
        smooth = old + QUEUED_SMOOTHING * (new - old)
        self._crowding[model] = Crowding(missing, smooth)

    def _headroom(self, model: str) -> Headroom:
        headroom = self._headrooms.get(model)
        if headroom is None:
            headroom = self._headrooms.setdefault(model, Headroom())
        return headroom

    def _known(self) -> "_Known":
        rules = self._rules.current()
        if rules is not self._last_known.rules:
            self._last_known = _read(rules)
        return self._last_known


class _Known(NamedTuple):
    """What one version of the rules says, in the form used here."""

    rules: RulesView
    cfg: PolicySettings
    engines: Mapping[str | None, int]


def _read(rules: RulesView) -> _Known:
    servers = rules.backend_servers.values()
    engines = Counter(server.model for server in servers)
    return _Known(rules, read_settings(rules), engines)


class _Rank(NamedTuple):
    """Sorts the engines that a request may go to; least first."""

    lacks_room: bool
    is_spare: bool
    waiting: int
    used_bands: int
    is_uncached: bool


def _rank(
    server: BackendServer,
    hint: BackendHint | None,
    tokens: int,
    *,
    is_spare: bool,
    is_cached: bool,
) -> _Rank:
    if hint is None:
        return _Rank(False, is_spare, 0, -round(1 / BAND), not is_cached)
    has_room = hint.free_slots >= 1 and hint.free_tokens >= tokens
    bands = int(hint.free_tokens / max(1, server.kv_tokens) / BAND)
    return _Rank(not has_room, is_spare, hint.waiting, -bands, not is_cached)


def _draw(seed: int, server: BackendServer) -> int:
    # Checksums alone differ by the same bits for every seed.
    return zlib.crc32(server.name.encode(), seed) * MIXER & MASK
