"""The incarnations of a model engine, their batch and their faults."""

import asyncio
import secrets
import time
from collections.abc import Mapping

from tests.standins import control
from tests.standins.batch import Batch
from tests.standins.engine_settings import Ask, EngineSettings
from tests.standins.generation import Generation
from tests.standins.h11_server import Exchange
from tests.standins.record import EngineRecord
from tests.standins.reports import CacheEvents, LoadReports, Report
from tests.standins.tokens import Text

KEEP_FINISHED_S = 60.0


class EngineState:
    """Everything an engine holds; used on one event loop.

    Attributes:
        cfg: Settings and faults now.
        exchanges: Open connections.
        record: What happened over all incarnations.
        batch: Generations of this incarnation that aren't finished.
        generations: Those and the recently finished, by id.
        incarnation: Name of this incarnation.
    """

    def __init__(self, cfg: EngineSettings) -> None:
        """Starts a first incarnation."""
        self.cfg = cfg
        self.exchanges: set[Exchange] = set()
        self.record = EngineRecord()
        self.cache_events = CacheEvents(cfg.seed)
        self._dead_until_s = 0.0
        self._begin()

    async def run(self) -> None:
        """Produces tokens until the process ends."""
        next_s = time.monotonic()
        while True:
            next_s = max(next_s + self.cfg.interval_s, time.monotonic())
            await asyncio.sleep(next_s - time.monotonic())
            if not self.is_dead and not self.cfg.stall:
                self.batch.step()
            self._after_step()

    @property
    def is_dead(self) -> bool:
        """True while nothing but the control path is answered."""
        return time.monotonic() < self._dead_until_s

    def headers(self) -> dict[str, str]:
        """Returns the headers of an answer with events."""
        cold = {"X-Cold": "true"} if self._is_shown_cold else {}
        return {"X-Incarnation": self.incarnation, **cold}

    def start(self, ask: Ask) -> Generation:
        """Returns a new generation that is known but not queued yet."""
        salt = secrets.token_hex(4) if self.cfg.nondeterministic else ""
        bounds = (self.cfg.min_length, self.cfg.max_length)
        text = Text(ask.prompt, ask.seed, ask.version, bounds, salt)
        is_wrong = self.takes("wrong_ids")
        shown_id = "gen-of-another" if is_wrong else ask.generation_id
        gen = Generation(ask, text, shown_id)
        self.generations[ask.generation_id] = gen
        self.record.generations.append(gen)
        return gen

    def takes(self, field: str) -> bool:
        """Uses up one of a fault's counted occurrences, if one is left."""
        left: int = getattr(self.cfg, field)
        if left <= 0:
            return False
        setattr(self.cfg, field, left - 1)
        return True

    def fall_over(self, asking: Exchange) -> None:
        """Restarts after a request past the cold limit."""
        self.record.overrun(self.batch)
        if time.monotonic() >= self._grace_until_s:
            self._die(self.cfg.restart_s, asking)

    def change(self, change: Mapping[str, object], asking: Exchange) -> None:
        """Applies control fields; `asking` is spared by connection faults.

        Raises:
            msgspec.ValidationError: A field is unknown or of a wrong type.
        """
        self.cfg = cfg = control.changed(self.cfg, change)
        self.batch.cfg = cfg
        for exchange in self.exchanges - {asking}:
            exchange.is_silent |= cfg.silence_open
            if cfg.drop_connections:
                exchange.abort()
        if cfg.turn_cold:
            self.batch.turn_cold()
            self._grace_until_s = time.monotonic() + cfg.cold_grace_s
        if cfg.die_s:
            self._die(cfg.die_s if cfg.die_s > 0 else float("inf"), asking)
        if cfg.revive:
            self._dead_until_s = self.batch.cold_since_s = time.monotonic()
        cfg.silence_open = cfg.drop_connections = cfg.turn_cold = False
        cfg.die_s, cfg.revive = 0.0, False

    def report(self) -> Report:
        """Returns the load report of this moment."""
        return {
            "incarnation": self.incarnation,
            "cold": self._is_shown_cold,
            "leaving": self.cfg.leaving,
            "running": len(self.batch.running),
            "waiting": len(self.batch.waiting),
            "kv_used": self.batch.kv_used,
            "kv_total": self.cfg.kv_tokens,
            "preemptions": self.batch.preemptions,
            "models": [[self.cfg.model, self.cfg.version]],
        }

    def seen(self) -> Report:
        """Returns the state and the whole record."""
        state = {
            **self.report(),
            "cold": self.batch.is_cold,
            "dead": self.is_dead,
            "cold_limit": self.cfg.cold_limit,
            "connections": len(self.exchanges),
        }
        return {**state, **self.record.shown()}

    def lagging_report(self) -> Report:
        """Returns the load report as callers get it."""
        return self._reports.shown(self.cfg.load_lag_s)

    @property
    def _is_shown_cold(self) -> bool:
        return self.batch.is_cold and not self.cfg.hides_cold

    def _after_step(self) -> None:
        now = time.monotonic()
        self._reports.add(self.report())
        changes, self.batch.cache_changes = self.batch.cache_changes, []
        self.cache_events.add(changes, self.cfg.cache_gap_share)
        self.record.note_running(self.batch)
        for generation_id, gen in list(self.generations.items()):
            if gen.finish_reason and now - gen.finished_s > KEEP_FINISHED_S:
                del self.generations[generation_id]

    def _die(self, down_s: float, spared: Exchange) -> None:
        self._dead_until_s = time.monotonic() + down_s
        for exchange in self.exchanges - {spared}:
            if self.cfg.hang_when_dead:
                exchange.is_silent = True
            else:
                exchange.abort()
        self._begin()
        self.batch.cold_since_s = self._dead_until_s

    def _begin(self) -> None:
        self.incarnation = secrets.token_hex(4)
        self.generations: dict[str, Generation] = {}
        self.batch = Batch(self.cfg)
        self.record.incarnations.append((time.time(), self.incarnation))
        self._reports = LoadReports(self.report())
        self._grace_until_s = 0.0
