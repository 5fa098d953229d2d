"""Assigns engines to generations and queues those that no engine can take."""

import functools
import random
import time
from collections.abc import Callable

from savorylift.backends.registry import BackendServer
from savorylift.exchange.admission import AdmittedRequest
from savorylift.exchange.engine_waits import EngineWaits
from savorylift.exchange.failover import FailoverPolicy
from savorylift.exchange.room_placement import RoomPlacement, RoomResult
from savorylift.exchange.run import Run
from savorylift.exchange.server_pool import ServerPool
from savorylift.exchange.wish import (
    Wish,
    first_event_objective_s,
    make_engine_options,
    make_wish,
)
from savorylift.placement.engines import EngineOptions
from savorylift.placement.memory_release_rate import MemoryReleaseRate
from savorylift.placement.prefill_rate import PrefillRate
from savorylift.placement.turn_away import NoRoomInTimeError, Room
from savorylift.placement.unmet_needs import Need
from savorylift.placement.wait_queue import (
    UNKNOWN_ROOM,
    WaitQueue,
)
from savorylift.routing.configuration import EngineTraits, Service


class EngineQueue:
    """Queues this node's generations for each service."""

    def __init__(
        self,
        pool: ServerPool,
        rooms: RoomPlacement | None = None,
        rng: random.Random | None = None,
    ) -> None:
        """Creates an empty queue.

        Args:
            pool: Engines to choose from.
            rooms: Asks the keepers of engines' room; None without keepers.
            rng: Spreads the times at which refused generations return.
        """
        self._rooms = rooms
        self._rng = rng or random.Random()
        self._pool = pool
        self._queues: dict[str, WaitQueue] = {}
        self._traits: dict[str, EngineTraits | None] = {}
        self._release_rates: dict[str, MemoryReleaseRate] = {}
        self._waits = EngineWaits(pool)
        self._prefill_rate = PrefillRate()

    async def acquire(self, run: Run, tried: set[str]) -> BackendServer | None:
        """Reserves an engine for a run, waiting in the queue if none has room.

        Args:
            run: The run. `run.server` is set to the engine.
            tried: IDs of engines that have already failed this request.

        Returns:
            The reserved engine, whose load then includes the run; None if no
            engine had room in time, or the limits of all are used up. A stream
            that its caller brings here does not wait while another node has
            room for it.
        """
        server = await self._acquire(run, tried)
        if server is None:
            self._pool.blocks.record_unserved(run.admitted)
        return server

    async def _acquire(self, run: Run, tried: set[str]) -> BackendServer | None:
        admitted = run.admitted
        run.return_in_s = None
        options = make_engine_options(run, self.prefill_per_s)
        run.server = self._pool.reserve_known_engine(admitted, options, tried)
        if run.server is not None:
            run.mark_assigned(0)
            return run.server
        wish = make_wish(run, options, self.prefill_per_s)
        can_wait = time.monotonic() < wish.leave_s
        if self._rooms and can_wait and self._may_wait(run, tried):
            result = await self._ask_keeper(self._rooms, run, wish, tried)
            if result is not None:
                return _take_result(run, result)
        reserve = functools.partial(
            self._reserve, run, admitted, options, tried
        )
        queue = self._find_queue(admitted.service)
        if not queue:
            found = reserve()
            if found is not None:
                return found
        if not self._may_wait(run, tried):
            return None
        find_need = functools.partial(self._find_need, admitted, options, tried)
        return await self._wait_in(queue, run, wish, reserve, find_need)

    def _reserve(
        self,
        run: Run,
        admitted: AdmittedRequest,
        options: EngineOptions,
        tried: set[str],
    ) -> BackendServer | None:
        """Reserves an engine that has room now, if one has."""
        run.server = self._pool.reserve_engine(admitted, options, tried)
        if run.server is not None:
            run.mark_assigned(
                self._pool.choice.pending_prefill_tokens(run.server)
            )
        return run.server

    def _find_need(
        self, admitted: AdmittedRequest, options: EngineOptions, tried: set[str]
    ) -> Need | None:
        """Returns what a request needs; None if its ID decides on engines."""
        if self._pool.choice.is_bound_by_rule(admitted, tried):
            return None
        kind = (
            admitted.service,
            admitted.regions,
            admitted.software_version,
            frozenset(tried),
        )
        return Need(
            kind,
            options.tokens,
            options.prompt_tokens,
            options.max_prefill_tokens,
        )

    async def _wait_in(
        self,
        queue: WaitQueue,
        run: Run,
        wish: Wish,
        reserve: Callable[[], BackendServer | None],
        find_need: Callable[[], Need | None],
    ) -> BackendServer | None:
        """Waits in this node's queue until an engine has room, if in time."""
        try:
            async with self._waits.hold(run, wish):
                return await queue.wait(
                    wish.parameters,
                    wish.latest_start_s,
                    reserve,
                    wish.leave_s,
                    find_need,
                )
        except TimeoutError:
            return None
        except NoRoomInTimeError as exc:
            run.return_in_s = exc.return_in_s
            return None

    async def _ask_keeper(
        self, rooms: RoomPlacement, run: Run, wish: Wish, tried: set[str]
    ) -> RoomResult | None:
        """Returns what the keeper of the engines' room says, if any."""
        try:
            async with self._waits.hold(run, wish):
                return await rooms.find(run, wish, tried)
        except TimeoutError:
            return RoomResult(None)

    def _may_wait(self, run: Run, tried: set[str]) -> bool:
        """Whether engines that have no room now may have some soon."""
        admitted, pool = run.admitted, self._pool
        if pool.waits.is_closed_by_limits(admitted, tried):
            return False
        if pool.waits.shortest_hold_s(admitted, tried) is not None:
            return False
        if run.has_begun and not pool.choice.has_server(admitted, tried):
            return False
        if pool.are_all_leaving(admitted):
            return False
        return not (
            _is_taken_up(run)
            and pool.choice.has_place_elsewhere(admitted, tried)
        )

    @property
    def prefill_per_s(self) -> float:
        """Prompt tokens that an engine prefills each second."""
        return self._prefill_rate.tokens_per_s

    def give_back(self, run: Run) -> None:
        """Gives back the place of a run, if a keeper granted one."""
        if self._rooms is not None:
            self._rooms.end(run)

    def failover_policy(
        self, run: Run, tried: set[str], *, is_last: bool
    ) -> FailoverPolicy:
        """Returns how long to wait for an engine before trying another."""
        options = make_engine_options(run, self.prefill_per_s)

        def has_alternative() -> bool:
            # Once the stream has begun, fewer engines may continue it.
            return self._pool.retries.may_retry(
                run.admitted.service.name
            ) and self._pool.choice.has_engine_with_room(
                run.admitted, options, tried
            )

        return FailoverPolicy.for_request(
            run.admitted,
            first_event_objective_s(run.admitted),
            has_alternative,
            is_last=is_last,
        )

    def find_begun(self, is_gone: Callable[[Run], bool]) -> list[Run]:
        """Returns the waiting runs that have begun and fulfil a condition."""
        return self._waits.find_begun(is_gone)

    @property
    def has_waiting(self) -> bool:
        """Whether generations wait for an engine."""
        return any(self._queues.values())

    def estimate_return_s(self, run: Run) -> float:
        """Returns after what time there should be room for a refused run."""
        service = run.admitted.service.name
        waiting = len(self._queues.get(service, ()))
        rate = self._release_rate(service)
        return rate.wait_s(run.expected_tokens * (1 + waiting))

    def record_release(self, run: Run) -> None:
        """Records that an engine has its memory back from a run."""
        rate = self._release_rate(run.admitted.service.name)
        rate.record_release(run.expected_tokens)

    def record_first_event(self, run: Run) -> None:
        """Ends the prefill of a run and updates the estimated prefill rate."""
        if run.server is not None:
            server_id = run.server.entry.server_id
            self._pool.load_tracker.mark_prefilled(server_id, run.attempt_id)
        delay_s = time.monotonic() - run.assigned_s
        self._prefill_rate.update(run.prefill_tokens_at_start, delay_s)

    def dispatch_waiting(self) -> None:
        """Lets queued generations try again to get an engine.

        Those whose engines all leave wait no longer.
        """
        for queue in self._queues.values():
            if queue:
                queue.dispatch_soon()
        self._waits.end_soon()

    def _find_queue(self, service: Service) -> WaitQueue:
        name = service.name
        self._traits[name] = service.engine
        if name not in self._queues:
            self._queues[name] = WaitQueue(
                lambda: self._find_room(name),
                lambda: self._is_fleet_large(name),
                self._rng,
            )
        return self._queues[name]

    def _is_fleet_large(self, service: str) -> bool:
        return self._rooms is not None and self._rooms.has_keeper(service)

    def _find_room(self, service: str) -> Room:
        traits = self._traits[service]
        if traits is None:
            return UNKNOWN_ROOM
        free_tokens = self._pool.choice.count_free_tokens(service, traits)
        return Room(free_tokens, self._release_rate(service).tokens_per_s)

    def _release_rate(self, service: str) -> MemoryReleaseRate:
        return self._release_rates.setdefault(service, MemoryReleaseRate())


def _is_taken_up(run: Run) -> bool:
    """Whether the caller resumes a stream, and gets its rest from here."""
    return run.admitted.req.resume_after is not None and run.last_event is None


def _take_result(run: Run, result: RoomResult) -> BackendServer | None:
    """Applies what a keeper says of a run; returns the engine granted."""
    run.server = result.server
    run.return_in_s = result.return_in_s
    if run.server is not None:
        run.mark_assigned(result.prefill_tokens)
    return run.server
