"""Continuous batching of generations in a memory that fills."""

import time
from collections import OrderedDict
from collections.abc import Iterator

from tests.standins.engine_settings import EngineSettings
from tests.standins.generation import Generation
from tests.standins.tokens import prefix_hash


class Batch:
    """The running and waiting generations of one incarnation."""

    def __init__(self, cfg: EngineSettings) -> None:
        """Starts empty."""
        self.cfg = cfg
        self.running: list[Generation] = []  # oldest first
        self.waiting: list[Generation] = []
        self.preemptions = 0
        self._completed = 0
        self.turn_cold()
        self.is_cold = cfg.starts_cold
        self.prefixes: OrderedDict[str, None] = OrderedDict()
        self.cache_changes: list[tuple[str, str]] = []

    @property
    def unfinished(self) -> int:
        """Generations given to the engine and not ended."""
        return len(self.running) + len(self.waiting)

    @property
    def kv_used(self) -> int:
        """Tokens held in memory."""
        return sum(gen.held for gen in self.running)

    @property
    def is_past_cold_limit(self) -> bool:
        """True if one more generation is more than it bears."""
        return self.is_cold and self.unfinished >= self.cfg.cold_limit

    def turn_cold(self) -> None:
        """Starts a cold phase."""
        self.is_cold = True
        self.cold_since_s = time.monotonic()
        self._completed_before = self._completed

    def submit(self, gen: Generation) -> None:
        """Queues a generation."""
        self.waiting.append(gen)
        self._start_waiting()

    def cancel(self, gen: Generation) -> None:
        """Ends a generation early."""
        for queue in (self.running, self.waiting):
            if gen in queue:
                queue.remove(gen)
        gen.end("cancelled")

    def step(self) -> None:
        """Produces one token for each running generation that is ready."""
        self._start_waiting()
        now = time.monotonic()
        ready = [gen for gen in self.running if gen.ready_s <= now]
        self._make_room(len(ready))
        for gen in ready:
            if gen in self.running:
                self._step_one(gen)
        self._warm_up()

    def _step_one(self, gen: Generation) -> None:
        is_whole = gen.emitted >= gen.text.length
        is_cut = gen.emitted >= gen.ask.max_tokens
        if not is_whole and not is_cut and gen.held < self.cfg.kv_tokens:
            gen.emit()
            return
        self.running.remove(gen)
        self._completed += 1
        gen.end("stop" if is_whole else "length")

    def _make_room(self, tokens: int) -> None:
        while self.kv_used + tokens > self.cfg.kv_tokens:
            if len(self.running) < 2:
                return
            self._preempt()

    def _preempt(self) -> None:
        newest_first = reversed(self.running)
        gen = min(newest_first, key=lambda gen: gen.ask.priority)
        self.running.remove(gen)
        self.waiting.insert(0, gen)
        gen.preempted += 1
        self.preemptions += 1

    def _start_waiting(self) -> None:
        for gen in self._by_urgency():
            if len(self.running) >= self.cfg.max_running:
                return
            is_alone = not self.running
            room = self.cfg.kv_tokens - self.kv_used
            if gen.held + len(self.running) >= room and not is_alone:
                return
            self.waiting.remove(gen)
            self.running.append(gen)
            gen.ready_s = time.monotonic() + self._prefill_s(gen)

    def _by_urgency(self) -> Iterator[Generation]:
        yield from sorted(self.waiting, key=lambda gen: -gen.ask.priority)

    def _prefill_s(self, gen: Generation) -> float:
        key = prefix_hash(gen.ask.model, gen.ask.prompt)
        cached = gen.prompt_tokens if key in self.prefixes else 0
        self._cache(key)
        delay_s = self.cfg.first_token_s
        delay_s += self.cfg.prefill_s * (gen.held - cached)
        return delay_s * (self.cfg.cold_factor if self.is_cold else 1.0)

    def _cache(self, key: str) -> None:
        if key not in self.prefixes:
            self.cache_changes.append(("stored", key))
        self.prefixes[key] = None
        self.prefixes.move_to_end(key)
        while len(self.prefixes) > self.cfg.cached_prefixes:
            old, _ = self.prefixes.popitem(last=False)
            self.cache_changes.append(("evicted", old))

    def _warm_up(self) -> None:
        done = self._completed - self._completed_before
        cold_for_s = time.monotonic() - self.cold_since_s
        is_through = 0 < self.cfg.cold_requests <= done
        if is_through or 0 < self.cfg.cold_s <= cold_for_s:
            self.is_cold = False
