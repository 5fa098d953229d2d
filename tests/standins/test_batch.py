"""Tests of continuous batching, with a frozen clock."""

import freezegun
import pytest

from tests.standins.batch import Batch
from tests.standins.engine_settings import CompletionRequest, EngineSettings
from tests.standins.generation import Generation
from tests.standins.tokens import GeneratedText


def submit(
    batch: Batch, name: str, length: int, priority: int = 0, words: int = 2
) -> Generation:
    prompt = " ".join([f"len={length}", *["w"] * (words - 1)])
    request = CompletionRequest(
        model="m",
        version="v1",
        prompt=prompt,
        max_tokens=50,
        generation_id=name,
        priority=priority,
    )
    gen = Generation(request, GeneratedText(prompt, 0, "v1", (1, 9)), name)
    batch.submit(gen)
    return gen


def run_until_idle(batch: Batch) -> None:
    with freezegun.freeze_time() as clock:
        for _ in range(1000):
            if not batch.unfinished:
                return
            clock.tick(1.0)
            batch.step()
    pytest.fail("generations did not finish within 1000 steps")


@pytest.mark.parametrize(
    ("kv_tokens", "priorities", "preempted"),
    [
        (100, (0, 0), (0, 0)),
        (20, (0, 0), (0, 1)),  # newest first
        (20, (0, 1), (1, 0)),  # lowest priority first
    ],
)
def test_preempts_newest_generation_of_lowest_priority(
    kv_tokens: int, priorities: tuple[int, int], preempted: tuple[int, int]
) -> None:
    batch = Batch(EngineSettings(kv_tokens=kv_tokens, starts_cold=False))
    gens = [
        submit(batch, f"g{n}", 10, priority)
        for n, priority in enumerate(priorities)
    ]
    run_until_idle(batch)
    assert tuple(gen.preemptions for gen in gens) == preempted
    assert [(gen.emitted, gen.finish_reason) for gen in gens] == [
        (10, "stop"),
        (10, "stop"),
    ]


def test_output_length_is_bounded_by_kv_cache_and_settings() -> None:
    batch = Batch(EngineSettings(kv_tokens=30))
    cut = submit(batch, "cut", 60, words=2)
    run_until_idle(batch)
    assert (cut.kv_used, cut.finish_reason) == (30, "length")
    lengths = [
        GeneratedText(f"p{n}", 1, "v1", (5, 9)).length for n in range(100)
    ]
    assert set(lengths) == {5, 6, 7, 8, 9}


def test_cold_phase_ends_with_completed_work() -> None:
    batch = Batch(EngineSettings(cold_limit=1, cold_requests=2))
    for _ in range(2):
        assert batch.is_cold
        submit(batch, "g", 1)
        assert batch.is_at_cold_limit
        run_until_idle(batch)
    assert not batch.is_cold
