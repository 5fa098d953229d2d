"""Finds engines for generations, and holds those that none has room for."""

import asyncio
import time

from savorylift.backends.registry import Known
from savorylift.exchange import counters
from savorylift.exchange.admission import Admitted
from savorylift.exchange.pool import Pool
from savorylift.exchange.run import Run
from savorylift.exchange.send import Patience
from savorylift.placement.engines import EngineOptions
from savorylift.placement.reading_rate import ReadingRate
from savorylift.placement.waiting import Claim, Waiting
from savorylift.routing.configuration import EngineTraits

DEFAULT_OBJECTIVE_S = 2.0
# Share of the objective that waiting prompts may take at an engine.
READING = 0.6
# A late answer is still worth something; callers leave after some four times
# the objective, and a refusal must leave them time to come back.
HOLD = 2.0
HOLD_SHARE = 0.4
PLAIN_ENGINE = EngineTraits(
    slots=1,
    memory_tokens=1,
    token_bytes=0.0,
    link_bytes_per_s=0.0,
    can_move=False,
    tokens_per_event=1,
)


class EngineQueue:
    """The generations of this node that look for an engine."""

    def __init__(self, pool: Pool) -> None:
        """Chooses engines from the pool."""
        self._pool = pool
        self._waiting: dict[str, Waiting] = {}
        self._reading = ReadingRate()

    async def acquire(self, run: Run, tried: set[str]) -> Known | None:
        """Returns an engine that counts the run, waiting for room."""
        adm = run.adm
        options = self._options(run)

        def choose() -> Known | None:
            run.server = self._pool.pick_engine(adm, options, tried)
            if run.server is not None:
                run.note_sent(self._pool.unread(run.server))
            return run.server

        waiting = self._waiting.setdefault(adm.service.name, Waiting())
        if not waiting:
            found = choose()
            if found is not None:
                return found
        reading_s = options.prompt / self._reading.tokens_per_s
        in_time_s = adm.req.arrived_s + _objective(adm) - reading_s
        counters.WAITING.inc()
        try:
            async with asyncio.timeout_at(_hold_until(adm)):
                return await waiting.wait(_claim(run), in_time_s, choose)
        except TimeoutError:
            return None
        finally:
            counters.WAITING.dec()

    def patience(self, run: Run, tried: set[str], *, is_last: bool) -> Patience:
        """Returns how long an engine may take until its first event."""
        adm = run.adm
        options = self._options(run)
        return Patience.of(
            adm,
            _objective(adm),
            lambda: self._pool.has_room(adm, options, tried),
            is_last=is_last,
        )

    def waiting(self, adm: Admitted) -> int:
        """Returns how many generations wait for the same engines."""
        return len(self._waiting.get(adm.service.name, ()))

    def note_first_event(self, run: Run) -> None:
        """Learns from a run's first event at an engine."""
        if run.server is not None:
            server_id = run.server.entry.server_id
            self._pool.work.note_event(server_id, run.attempt_id)
        delay_s = time.monotonic() - run.sent_s
        self._reading.learn(run.unread_at_start, delay_s)

    def offer_room(self) -> None:
        """Lets those who wait choose again."""
        for waiting in self._waiting.values():
            if waiting:
                waiting.offer()

    def _options(self, run: Run) -> EngineOptions:
        engine = run.adm.service.engine or PLAIN_ENGINE
        generation = run.adm.req.generation
        prompt = generation.prompt_tokens if generation is not None else 0
        most_unread = READING * _objective(run.adm) * self._reading.tokens_per_s
        return EngineOptions(engine, run.tokens, prompt, most_unread)


def _claim(run: Run) -> Claim:
    team = run.adm.team
    if team is None:
        return Claim(run.adm.priority, "", run.tokens)
    return Claim(run.adm.priority, team.name, run.tokens / team.weight)


def _objective(adm: Admitted) -> float:
    """Returns the time within which the first event is due."""
    return adm.route.objective_s or DEFAULT_OBJECTIVE_S


def _hold_until(adm: Admitted) -> float:
    """Returns the steady time until which a request may wait for room."""
    hold_s = HOLD * _objective(adm)
    if adm.req.time_left_s is not None:
        hold_s = min(hold_s, HOLD_SHARE * adm.req.time_left_s)
    return min(adm.req.arrived_s + hold_s, adm.deadline_s)
