"""Continuous batching of generations with a bounded KV cache."""

import time
from collections import OrderedDict
from collections.abc import Iterator

from tests.standins.engine_settings import EngineSettings
from tests.standins.generation import Generation
from tests.standins.tokens import prefix_hash


class Batch:
    """The running and waiting generations of one engine incarnation.

    Attributes:
        cfg: Current settings of the engine.
        running: Generations in the batch, oldest first.
        waiting: Generations queued for a place in the batch.
        preemptions: Number of preemptions so far.
        is_cold: Whether the engine is in a cold phase.
        cold_since_s: Monotonic time at which the last cold phase started.
        prefixes: Keys of the cached prompt prefixes, least recently used
            first.
        cache_changes: Changes of the prefix cache since the last step, each
            as kind and prefix hash.
    """

    def __init__(self, cfg: EngineSettings) -> None:
        """Creates an empty batch."""
        self.cfg = cfg
        self.running: list[Generation] = []
        self.waiting: list[Generation] = []
        self.preemptions = 0
        self._completed = 0
        self.start_cold_phase()
        self.is_cold = cfg.starts_cold
        self.prefixes: OrderedDict[str, None] = OrderedDict()
        self.cache_changes: list[tuple[str, str]] = []

    @property
    def unfinished(self) -> int:
        """Number of generations that are running or waiting."""
        return len(self.running) + len(self.waiting)

    @property
    def kv_used(self) -> int:
        """Tokens in the KV cache."""
        return sum(gen.kv_used for gen in self.running)

    @property
    def is_at_cold_limit(self) -> bool:
        """Whether one more generation would exceed the cold limit."""
        return self.is_cold and self.unfinished >= self.cfg.cold_limit

    def start_cold_phase(self) -> None:
        """Starts a cold phase, which `cold_requests` or `cold_s` ends."""
        self.is_cold = True
        self.cold_since_s = time.monotonic()
        self._completed_before_cold = self._completed

    def submit(self, gen: Generation) -> None:
        """Queues a generation and starts it if there is room."""
        self.waiting.append(gen)
        self._admit_waiting()

    def cancel(self, gen: Generation) -> None:
        """Ends a generation early and frees its KV cache."""
        for queue in (self.running, self.waiting):
            if gen in queue:
                queue.remove(gen)
        gen.end("cancelled")

    def step(self) -> None:
        """Admits generations, and advances those past their prefill."""
        self._admit_waiting()
        now = time.monotonic()
        ready = [gen for gen in self.running if gen.prefill_end_s <= now]
        self._free_kv_tokens(len(ready))
        for gen in ready:
            if gen in self.running:
                self._advance(gen)
        self._end_cold_phase_if_due()

    def _advance(self, gen: Generation) -> None:
        is_complete = gen.emitted >= gen.text.length
        is_at_max_tokens = gen.emitted >= gen.request.max_tokens
        if (
            not is_complete
            and not is_at_max_tokens
            and gen.kv_used < self.cfg.kv_tokens
        ):
            gen.emit()
            return
        self.running.remove(gen)
        self._completed += 1
        gen.end("stop" if is_complete else "length")

    def _free_kv_tokens(self, tokens: int) -> None:
        while self.kv_used + tokens > self.cfg.kv_tokens:
            if len(self.running) < 2:
                return
            self._preempt()

    def _preempt(self) -> None:
        newest_first = reversed(self.running)
        gen = min(newest_first, key=lambda gen: gen.request.priority)
        self.running.remove(gen)
        self.waiting.insert(0, gen)
        gen.preemptions += 1
        self.preemptions += 1

    def _admit_waiting(self) -> None:
        for gen in self._waiting_by_priority():
            if len(self.running) >= self.cfg.max_running:
                return
            is_alone = not self.running
            free_tokens = self.cfg.kv_tokens - self.kv_used
            if gen.kv_used + len(self.running) >= free_tokens and not is_alone:
                return
            self.waiting.remove(gen)
            self.running.append(gen)
            gen.prefill_end_s = time.monotonic() + self._prefill_s(gen)

    def _waiting_by_priority(self) -> Iterator[Generation]:
        yield from sorted(self.waiting, key=lambda gen: -gen.request.priority)

    def _prefill_s(self, gen: Generation) -> float:
        key = prefix_hash(gen.request.model, gen.request.prompt)
        cached = gen.prompt_tokens if key in self.prefixes else 0
        self._cache_prefix(key)
        delay_s = self.cfg.first_token_s
        delay_s += self.cfg.prefill_s * (gen.kv_used - cached)
        return delay_s * (self.cfg.cold_factor if self.is_cold else 1.0)

    def _cache_prefix(self, key: str) -> None:
        if key not in self.prefixes:
            self.cache_changes.append(("stored", key))
        self.prefixes[key] = None
        self.prefixes.move_to_end(key)
        while len(self.prefixes) > self.cfg.cached_prefixes:
            old, _ = self.prefixes.popitem(last=False)
            self.cache_changes.append(("evicted", old))

    def _end_cold_phase_if_due(self) -> None:
        completed = self._completed - self._completed_before_cold
        cold_for_s = time.monotonic() - self.cold_since_s
        has_completed_enough = 0 < self.cfg.cold_requests <= completed
        if has_completed_enough or 0 < self.cfg.cold_s <= cold_for_s:
            self.is_cold = False
