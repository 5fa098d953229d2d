"""The record that a simulated engine keeps of itself, for assertions."""

import time
from collections import Counter

from tests.standins.batch import Batch
from tests.standins.engine_settings import CompletionRequest
from tests.standins.generation import Generation


class EngineRecord:
    """Requests, generations and peak load over all incarnations.

    Attributes:
        generations: Every generation that was created.
        dispatches: Every well-formed completion request, even if refused.
        cancels: Wall-clock time and generation id of every cancellation.
        orders: Every order to the engine and whether it was accepted.
        overruns: Every request above the cold limit.
        incarnations: Wall-clock start time and id of every incarnation.
        refusals: Number of refused completion requests by error code.
        resumes: Number of streams that were resumed.
        max_running: Peak number of unfinished generations.
        max_cold_offered: Peak number of unfinished generations while cold,
            including a refused one.
        max_kv_used: Peak number of tokens in the KV cache.
    """

    def __init__(self) -> None:
        """Creates an empty record."""
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

    def record_dispatch(
        self,
        completion: CompletionRequest,
        incarnation: str,
        refusal: tuple[int, str] | None,
        batch: Batch,
    ) -> None:
        """Records a completion request and its refusal, if any."""
        code = refusal[1] if refusal else ""
        self.refusals.update([code] if code else [])
        if batch.is_cold and code in ("", "overloaded"):
            offered = max(self.max_cold_offered, batch.unfinished + 1)
            self.max_cold_offered = offered
        self.dispatches.append(
            {
                "generation_id": completion.generation_id,
                "team": completion.team,
                "priority": completion.priority,
                "time": time.time(),
                "incarnation": incarnation,
                "cold": batch.is_cold,
                "refused": code,
            }
        )

    def record_overrun(self, batch: Batch) -> None:
        """Records a request above the cold limit."""
        entry = {
            "time": time.time(),
            "cold_for_s": time.monotonic() - batch.cold_since_s,
            "unfinished": batch.unfinished,
        }
        self.overruns.append(entry)

    def update_peaks(self, batch: Batch) -> None:
        """Updates the peaks of concurrency and KV cache use."""
        self.max_running = max(self.max_running, batch.unfinished)
        self.max_kv_used = max(self.max_kv_used, batch.kv_used)

    def as_dict(self) -> dict[str, object]:
        """Returns the record as a JSON object."""
        return {
            "dispatches": self.dispatches,
            "generations": [
                _generation_as_dict(gen) for gen in self.generations
            ],
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


def _generation_as_dict(gen: Generation) -> dict[str, object]:
    return {
        "generation_id": gen.request.generation_id,
        "team": gen.request.team,
        "prompt_tokens": gen.prompt_tokens,
        "emitted": gen.emitted,
        "preempted": gen.preemptions,
        "finish_reason": gen.finish_reason,
    }
