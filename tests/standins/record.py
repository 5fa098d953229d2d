"""What an engine notes about itself, for tests to judge by."""

import time
from collections import Counter

from tests.standins.batch import Batch
from tests.standins.engine_settings import Ask
from tests.standins.generation import Generation


class EngineRecord:
    """Everything that happened on an engine, over all its incarnations."""

    def __init__(self) -> None:
        """Starts empty."""
        self.generations: list[Generation] = []
        self.dispatches: list[dict[str, object]] = []
        self.cancels: list[tuple[float, str]] = []
        self.orders: list[dict[str, object]] = []
        self.overruns: list[dict[str, float]] = []
        self.incarnations: list[tuple[float, str]] = []
        self.refusals: Counter[str] = Counter()
        self.resumes = 0
        self.max_running = 0
        self.max_cold_offered = 0
        self.max_kv_used = 0

    def dispatch(
        self,
        ask: Ask,
        incarnation: str,
        refusal: tuple[int, str] | None,
        batch: Batch,
    ) -> None:
        """Notes a request for a generation and how it was answered."""
        code = refusal[1] if refusal else ""
        self.refusals.update([code] if code else [])
        if batch.is_cold and code in ("", "overloaded"):
            offered = max(self.max_cold_offered, batch.unfinished + 1)
            self.max_cold_offered = offered
        self.dispatches.append(
            {
                "generation_id": ask.generation_id,
                "team": ask.team,
                "priority": ask.priority,
                "time": time.time(),
                "incarnation": incarnation,
                "cold": batch.is_cold,
                "refused": code,
            }
        )

    def overrun(self, batch: Batch) -> None:
        """Notes a request past the cold limit."""
        noted = {
            "time": time.time(),
            "cold_for_s": time.monotonic() - batch.cold_since_s,
            "unfinished": batch.unfinished,
        }
        self.overruns.append(noted)

    def note_running(self, batch: Batch) -> None:
        """Notes the concurrency and memory now."""
        self.max_running = max(self.max_running, batch.unfinished)
        self.max_kv_used = max(self.max_kv_used, batch.kv_used)

    def shown(self) -> dict[str, object]:
        """Returns the record as JSON values."""
        return {
            "dispatches": self.dispatches,
            "generations": [_shown(gen) for gen in self.generations],
            "cancels": self.cancels,
            "orders": self.orders,
            "overruns": self.overruns,
            "incarnations": self.incarnations,
            "refusals": dict(self.refusals),
            "resumes": self.resumes,
            "max_running": self.max_running,
            "max_cold_offered": self.max_cold_offered,
            "max_kv_used": self.max_kv_used,
        }


def _shown(gen: Generation) -> dict[str, object]:
    return {
        "generation_id": gen.ask.generation_id,
        "team": gen.ask.team,
        "prompt_tokens": gen.prompt_tokens,
        "emitted": gen.emitted,
        "preempted": gen.preempted,
        "finish_reason": gen.finish_reason,
    }
