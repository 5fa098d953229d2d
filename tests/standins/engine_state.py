"""State of a simulated engine: incarnation, batch and injected faults."""

import asyncio
import secrets
import time
from collections.abc import Mapping

from tests.standins import control
from tests.standins.batch import Batch
from tests.standins.engine_settings import CompletionRequest, EngineSettings
from tests.standins.generation import Generation
from tests.standins.h11_server import HttpConnection
from tests.standins.record import EngineRecord
from tests.standins.reports import CacheEvents, LoadReports, Report
from tests.standins.tokens import GeneratedText

KEEP_FINISHED_S = 60.0  # how long a finished generation can be resumed


class EngineState:
    """Complete state of an engine; not thread-safe.

    Attributes:
        cfg: Current settings and faults.
        connections: Open connections.
        record: Events of all incarnations, for tests to check.
        cache_events: Changes of the prefix cache.
        batch: Unfinished generations of this incarnation.
        generations: Unfinished and recently finished generations by id.
        incarnation: Random id of this incarnation.
    """

    def __init__(self, cfg: EngineSettings) -> None:
        """Starts the first incarnation."""
        self.cfg = cfg
        self.connections: set[HttpConnection] = set()
        self.record = EngineRecord()
        self.cache_events = CacheEvents(cfg.seed)
        self._dead_until_s = 0.0
        self._start_incarnation()

    async def run(self) -> None:
        """Steps the batch every `interval_s` until the process ends."""
        next_s = time.monotonic()
        while True:
            next_s = max(next_s + self.cfg.interval_s, time.monotonic())
            await asyncio.sleep(next_s - time.monotonic())
            if not self.is_dead and not self.cfg.stall:
                self.batch.step()
            self._after_step()

    @property
    def is_dead(self) -> bool:
        """Whether the engine is down and answers only the control path."""
        return time.monotonic() < self._dead_until_s

    def stream_headers(self) -> dict[str, str]:
        """Returns the headers of an event stream."""
        cold = {"X-Cold": "true"} if self._is_reported_cold else {}
        return {"X-Incarnation": self.incarnation, **cold}

    def create_generation(self, completion: CompletionRequest) -> Generation:
        """Creates and registers a generation without queuing it."""
        salt = secrets.token_hex(4) if self.cfg.nondeterministic else ""
        bounds = (self.cfg.min_length, self.cfg.max_length)
        text = GeneratedText(
            completion.prompt, completion.seed, completion.version, bounds, salt
        )
        has_wrong_id = self.consume_fault("wrong_ids")
        reported_id = (
            "gen-of-another" if has_wrong_id else completion.generation_id
        )
        gen = Generation(completion, text, reported_id)
        self.generations[completion.generation_id] = gen
        self.record.generations.append(gen)
        return gen

    def consume_fault(self, field: str) -> bool:
        """Decrements a fault's counter; returns False if it was 0."""
        remaining: int = getattr(self.cfg, field)
        if remaining <= 0:
            return False
        setattr(self.cfg, field, remaining - 1)
        return True

    def crash_on_cold_overload(self, requester: HttpConnection) -> None:
        """Records a request above the cold limit, and crashes for `restart_s`.

        The engine does not crash within `cold_grace_s` of `turn_cold`. The
        connection `requester` stays open, so that it can get a response.
        """
        self.record.record_overrun(self.batch)
        if time.monotonic() >= self._cold_grace_until_s:
            self._crash(self.cfg.restart_s, requester)

    def change(
        self, change: Mapping[str, object], requester: HttpConnection
    ) -> None:
        """Applies control fields and one-shot faults.

        Connection faults do not apply to `requester`, so that the control
        request gets its response.

        Raises:
            msgspec.ValidationError: A field is unknown or of a wrong type.
        """
        self.cfg = cfg = control.replace_fields(self.cfg, change)
        self.batch.cfg = cfg
        for conn in self.connections - {requester}:
            conn.is_silent |= cfg.silence_open
            if cfg.drop_connections:
                conn.abort()
        if cfg.turn_cold:
            self.batch.start_cold_phase()
            self._cold_grace_until_s = time.monotonic() + cfg.cold_grace_s
        if cfg.die_s:
            self._crash(cfg.die_s if cfg.die_s > 0 else float("inf"), requester)
        if cfg.revive:
            self._dead_until_s = self.batch.cold_since_s = time.monotonic()
        cfg.silence_open = cfg.drop_connections = cfg.turn_cold = False
        cfg.die_s, cfg.revive = 0.0, False

    def report(self) -> Report:
        """Returns the current load report."""
        return {
            "incarnation": self.incarnation,
            "cold": self._is_reported_cold,
            "leaving": self.cfg.leaving,
            "running": len(self.batch.running),
            "waiting": len(self.batch.waiting),
            "kv_used": self.batch.kv_used,
            "kv_total": self.cfg.kv_tokens,
            "preemptions": self.batch.preemptions,
            "models": [[self.cfg.model, self.cfg.version]],
        }

    def snapshot(self) -> Report:
        """Returns the current state and the whole record."""
        state = {
            **self.report(),
            "cold": self.batch.is_cold,
            "dead": self.is_dead,
            "cold_limit": self.cfg.cold_limit,
            "connections": len(self.connections),
        }
        return {**state, **self.record.as_dict()}

    def delayed_report(self) -> Report:
        """Returns the load report as of `load_lag_s` ago."""
        return self._reports.newest_older_than(self.cfg.load_lag_s)

    @property
    def _is_reported_cold(self) -> bool:
        return self.batch.is_cold and not self.cfg.hides_cold

    def _after_step(self) -> None:
        now = time.monotonic()
        self._reports.add(self.report())
        changes, self.batch.cache_changes = self.batch.cache_changes, []
        self.cache_events.add(changes, self.cfg.cache_gap_share)
        self.record.update_peaks(self.batch)
        for generation_id, gen in list(self.generations.items()):
            if gen.finish_reason and now - gen.finished_s > KEEP_FINISHED_S:
                del self.generations[generation_id]

    def _crash(self, down_s: float, requester: HttpConnection) -> None:
        self._dead_until_s = time.monotonic() + down_s
        for conn in self.connections - {requester}:
            if self.cfg.hang_when_dead:
                conn.is_silent = True
            else:
                conn.abort()
        self._start_incarnation()
        self.batch.cold_since_s = self._dead_until_s

    def _start_incarnation(self) -> None:
        self.incarnation = secrets.token_hex(4)
        self.generations: dict[str, Generation] = {}
        self.batch = Batch(self.cfg)
        self.record.incarnations.append((time.time(), self.incarnation))
        self._reports = LoadReports(self.report())
        self._cold_grace_until_s = 0.0
