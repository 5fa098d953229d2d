"""Continuous batching of generations in a memory that fills."""

import time
from collections import OrderedDict
from collections.abc import Iterator
from typing import Protocol

import msgspec

from tests.standins.control import Settings
from tests.standins.tokens import Text, prefix_hash


class EngineSettings(Settings):
    """Capacity and faults of a model engine.

    Attributes:
        model: Model that is loaded.
        version: Version of it.
        interval_s: Time between the tokens of a running generation.
        first_token_s: Least time from start to first token.
        prefill_s: Additional time for each prompt token not cached.
        kv_tokens: Tokens that the memory holds.
        max_running: Generations that run at once; others wait.
        max_waiting: Waiting generations; past it 503 `overloaded`.
        min_length: Least output length drawn.
        max_length: Largest output length drawn.
        cached_prefixes: Prompt prefixes that the cache holds.
        cold_limit: Unfinished generations it bears while cold.
        starts_cold: True starts each incarnation cold.
        cold_requests: Completed generations until it is warm; 0 for none.
        cold_s: Seconds until it is warm; 0 for none.
        cold_factor: How much longer a first token takes while cold.
        cold_grace_s: Time after `turn_cold` without falling over.
        restart_s: Time without answers after it fell over.
        load_lag_s: Age of the load report.
        cache_lag_s: Age of the newest cache event shown.
        cache_gap_share: Share of cache events never shown.
        checks_fencing: True refuses orders with an old fencing number.
        nondeterministic: True draws other tokens for each generation.
        stall: True stops all tokens.
        silence_open: One-shot: open connections go silent for good.
        drop_connections: One-shot: cuts open connections.
        turn_cold: One-shot: cold again, in the same incarnation.
        hides_cold: True reports warm while cold.
        leaving: True refuses new generations with 503 `leaving`.
        die_s: One-shot: time without answers before a new incarnation;
            below 0 until `revive`.
        revive: One-shot: ends a `die_s` below 0.
        hang_when_dead: True leaves connections open and unanswered, dead.
        wrong_ids: Number of next generations whose events carry a wrong id.
        cross_answers: Number of next generations that swap answers with
            another one.
        lose_answers: Number of next generations that run unanswered.
        seed: Seed of the random choices.
    """

    model: str = "m"
    version: str = "v1"
    interval_s: float = 0.033
    first_token_s: float = 0.05
    prefill_s: float = 0.0001
    kv_tokens: int = 8192
    max_running: int = 64
    max_waiting: int = 256
    min_length: int = 8
    max_length: int = 256
    cached_prefixes: int = 32
    cold_limit: int = 4
    starts_cold: bool = True
    cold_requests: int = 8
    cold_s: float = 0.0
    cold_factor: float = 4.0
    cold_grace_s: float = 0.0
    restart_s: float = 1.0
    load_lag_s: float = 0.5
    cache_lag_s: float = 1.0
    cache_gap_share: float = 0.1
    checks_fencing: bool = True
    nondeterministic: bool = False
    stall: bool = False
    silence_open: bool = False
    drop_connections: bool = False
    turn_cold: bool = False
    hides_cold: bool = False
    leaving: bool = False
    die_s: float = 0.0
    revive: bool = False
    hang_when_dead: bool = False
    wrong_ids: int = 0
    cross_answers: int = 0
    lose_answers: int = 0
    seed: int = 1


class Ask(msgspec.Struct, frozen=True, kw_only=True):
    """Body of a request for a generation."""

    model: str
    version: str
    prompt: str
    max_tokens: int
    generation_id: str
    seed: int = 0
    stream: bool = True
    priority: int = 0
    team: str = ""


class Listener(Protocol):
    """Receives the events of a generation."""

    def send_event(self, event: bytes) -> None:
        """Sends one event."""

    def finish(self) -> None:
        """Ends the answer."""


class Generation:
    """One generation and who listens to it."""

    def __init__(self, ask: Ask, text: Text, shown_id: str) -> None:
        """Starts without tokens."""
        self.ask = ask
        self.text = text
        self.shown_id = shown_id
        self.prompt_tokens = len(ask.prompt.split())
        self.emitted = 0
        self.ready_s = 0.0  # `time.monotonic()` of the next token at least
        self.preempted = 0
        self.finish_reason = ""
        self.finished_s = 0.0
        self.listeners: list[Listener] = []

    @property
    def held(self) -> int:
        """Tokens that it holds in memory while it runs."""
        return self.prompt_tokens + self.emitted

    def event(self, index: int) -> bytes:
        """Returns the event at `index`, of a token or of the end."""
        if index < self.emitted:
            token, reason = self.text.token(index), "null"
        else:
            token, reason = "", f'"{self.finish_reason}"'
        return (
            f'data: {{"id": "{self.shown_id}", "index": {index}, '
            f'"token": "{token}", "finish_reason": {reason}}}\n\n'
        ).encode()

    def listen(self, listener: Listener, index: int) -> None:
        """Sends the events from `index` on, now and as they come."""
        for past in range(index, self.emitted):
            listener.send_event(self.event(past))
        self.listeners.append(listener)
        if self.finish_reason:
            self._end()

    def emit(self) -> None:
        """Produces the next token."""
        self.emitted += 1
        event = self.event(self.emitted - 1)
        for listener in self.listeners:
            listener.send_event(event)

    def end(self, reason: str) -> None:
        """Ends the generation for the given reason."""
        self.finish_reason = reason
        self.finished_s = time.monotonic()
        self._end()

    def _end(self) -> None:
        for listener in self.listeners:
            listener.send_event(self.event(self.emitted))
            listener.send_event(b"data: [DONE]\n\n")
            listener.finish()
        self.listeners.clear()


class Batch:
    """The running and waiting generations of one incarnation."""

    def __init__(self, cfg: EngineSettings) -> None:
        """Starts empty."""
        self.cfg = cfg
        self.running: list[Generation] = []  # oldest first
        self.waiting: list[Generation] = []
        self.is_cold = False
        self.preemptions = 0
        self.completed = 0
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

    def _step_one(self, gen: Generation) -> None:
        is_whole = gen.emitted >= gen.text.length
        if not is_whole and gen.emitted < gen.ask.max_tokens:
            gen.emit()
            return
        self.running.remove(gen)
        self.completed += 1
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
