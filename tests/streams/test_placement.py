"""Placement by expected memory, and baselines that break its promises."""

import threading
from collections.abc import Mapping, Sequence

import freezegun
import pytest
from hypothesis import given
from hypothesis import strategies as st

from savorylift.permits.gate import BackendHint
from savorylift.rules.view import BackendServer, RulesSource, RulesView
from savorylift.streams.memory_placement import MemoryPlacement
from savorylift.streams.placement import (
    GenerationRequest,
    LearningPlacement,
    Placement,
    prompt_tokens,
)
from savorylift.streams.prefixes import prefix_hash
from tests.streams.baselines import LeastLoadedPlacement
from tests.streams.fakes import engine_rule, request

NAMES = [f"r{i}" for i in range(7)]
SERVERS = {name: engine_rule(name, "") for name in NAMES}
PROMPT = "draft the rota of the upper terraces"
HINTS = st.dictionaries(
    st.sampled_from(NAMES),
    st.builds(
        BackendHint,
        free_slots=st.integers(0, 4),
        free_tokens=st.integers(-500, 8192),
        waiting=st.integers(0, 3),
        cold=st.booleans(),
        seen_s=st.just(0.0),
    ),
)


def policy() -> LearningPlacement:
    return MemoryPlacement(RulesSource(RulesView(backend_servers=SERVERS)))


class AffinityFirst(MemoryPlacement):
    """Baseline: a cached prefix goes before memory."""

    def order(
        self,
        req: GenerationRequest,
        servers: Sequence[BackendServer],
        hints: Mapping[str, BackendHint],
    ) -> tuple[str, ...]:
        hash_ = prefix_hash(req.model.name, req.prompt)
        names = super().order(req, servers, hints)
        cached = self._prefixes.is_cached
        return tuple(sorted(names, key=lambda n: not cached(n, hash_)))


def puts_room_first(
    kind: type[MemoryPlacement], hints: Mapping[str, BackendHint]
) -> bool:
    req = request(PROMPT)
    with freezegun.freeze_time():
        placement = kind(RulesSource(RulesView(backend_servers=SERVERS)))
        for name in NAMES[:3]:
            placement.note_dispatched(req, name)
        tokens = placement.reserve(req, 0)  # `order` changes what is known
        names = placement.order(req, list(SERVERS.values()), hints)
    assert sorted(names) == NAMES
    lacks = [
        (hint := hints.get(name)) is not None
        and (hint.free_slots < 1 or hint.free_tokens < tokens)
        for name in names
    ]
    return lacks == sorted(lacks)


@given(HINTS)
def test_affinity_never_overrides_memory(
    hints: Mapping[str, BackendHint],
) -> None:
    assert puts_room_first(MemoryPlacement, hints)


def test_affinity_first_is_caught() -> None:
    full = {"r0": BackendHint(0, 0, 3, False, 0.0)}
    assert puts_room_first(MemoryPlacement, full)
    assert not puts_room_first(AffinityFirst, full)


@pytest.mark.parametrize("cached", NAMES[:3])
def test_affinity_decides_between_equals(cached: str) -> None:
    placement, req = policy(), request(PROMPT)
    placement.note_dispatched(req, cached)
    servers = [SERVERS[name] for name in NAMES[:3]]
    assert placement.order(req, servers, {})[0] == cached


@given(
    st.lists(st.integers(1, 5000), max_size=40),
    st.lists(st.integers(0, 12_000), min_size=1),
    st.integers(0, 30),
)
def test_reserve_grows_and_covers_what_exists(
    lengths: list[int], produced: list[int], preemptions: int
) -> None:
    with freezegun.freeze_time():
        placement, req = policy(), request(PROMPT)
        for length in lengths:
            placement.note_finished(req, length)
        placement.note_preemptions("r0", preemptions)
        outputs = sorted(produced)
        reserves = [placement.reserve(req, count) for count in outputs]
    assert reserves == sorted(reserves)
    least = prompt_tokens(PROMPT)
    for count, reserve in zip(outputs, reserves, strict=True):
        assert reserve >= least + count
        assert reserve <= least + max(count, req.max_tokens)


@pytest.mark.parametrize("placement", [policy(), LeastLoadedPlacement()])
def test_reserve_is_given_back_when_lengths_prove_short(
    placement: Placement,
) -> None:
    req = request(PROMPT)
    for _ in range(300):
        placement.note_finished(req, 800)
    before = placement.reserve(req, 10)
    for _ in range(3000):
        placement.note_finished(req, 20)
    is_less = placement.reserve(req, 10) < before / 2
    assert is_less is isinstance(placement, MemoryPlacement)


def test_preemptions_raise_the_reserve_of_their_model() -> None:
    placement, req = policy(), request(PROMPT)
    before = placement.reserve(req, 0)
    placement.note_preemptions("unknown", 50)
    assert placement.reserve(req, 0) == before
    placement.note_preemptions("r0", 50)
    assert placement.reserve(req, 0) > before


def test_engines_out_raise_the_reserve() -> None:
    placement, req = policy(), request(PROMPT)
    before = placement.reserve(req, 0)
    placement.order(req, [SERVERS[name] for name in NAMES[:4]], {})
    assert placement.reserve(req, 0) > before


def test_requests_that_wait_lower_the_reserve() -> None:
    placement, req = policy(), request(PROMPT)
    before = placement.reserve(req, 0)
    hints = {name: BackendHint(0, 0, 5, False, 0.0) for name in NAMES}
    for _ in range(20):
        placement.order(req, list(SERVERS.values()), hints)
    assert placement.reserve(req, 0) < before


def test_latest_start_leaves_time_at_the_pace_seen() -> None:
    with freezegun.freeze_time() as clock:
        placement = policy()
        for _ in range(200):
            req = request(PROMPT)
            placement.reserve(req, 1)
            clock.tick(100 * 0.1)
            placement.note_finished(req, 101)
        req = request(PROMPT, timeout_s=60)
        latest_s = req.deadline_s - placement.latest_start_s(req)
        assert latest_s == pytest.approx(10.0, rel=0.2)


def test_threads_share_one_policy() -> None:
    placement, req = policy(), request(PROMPT)
    failed: list[BaseException] = []

    def use() -> None:
        try:
            for count in range(300):
                placement.order(req, list(SERVERS.values()), {})
                placement.reserve(req, count)
                placement.note_dispatched(req, NAMES[count % 7])
                placement.note_finished(req, count + 1)
        except BaseException as exc:
            failed.append(exc)

    threads = [threading.Thread(target=use) for _ in range(4)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert not failed
