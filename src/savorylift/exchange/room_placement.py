"""Places generations as the keeper of their engines' room directs."""

import hashlib
import time
from collections.abc import Collection
from typing import NamedTuple

import structlog

from savorylift.backends.registry import BackendServer
from savorylift.exchange import metrics
from savorylift.exchange.admission import AdmittedRequest
from savorylift.exchange.kept_engines import Barred
from savorylift.exchange.run import Run
from savorylift.exchange.server_pool import ServerPool
from savorylift.exchange.wish import Wish
from savorylift.fleet.room_messages import RoomOutcome, RoomReply, RoomRequest
from savorylift.rooms.client import RoomClient
from savorylift.rooms.engine_groups import EngineGroups, RoomId, find_rooms
from savorylift.rooms.request_check import MAX_LEASE_S

# So short that messages stay small, and that no digest gives its key away.
CALLER_DIGEST_BYTES = 4
# End of a request's digest, by which the keeper recognizes its repeats.
REPEAT_ID_CHARS = 12

_log = structlog.get_logger()


class RoomResult(NamedTuple):
    """What became of a generation at the keeper of its engines' room.

    Attributes:
        server: Engine that is reserved for it; None if it has none in time.
        return_in_s: Time until there should be room, if it was refused.
        prefill_tokens: Prompt tokens that the engine has yet to prefill, with
            those of the generation.
    """

    server: BackendServer | None
    return_in_s: float | None = None
    prefill_tokens: int = 0


class RoomPlacement:
    """Asks the keeper of a generation's engines, and follows what it says."""

    def __init__(
        self,
        pool: ServerPool,
        client: RoomClient,
        groups: EngineGroups | None = None,
    ) -> None:
        """Places generations at the engines of a pool.

        Args:
            pool: Engines to choose from.
            client: Asks the keepers.
            groups: How services' engines are divided; None to count them here.
        """
        self._pool = pool
        self._client = client
        self._groups = groups or EngineGroups(pool.kept.count)

    async def find(
        self, run: Run, wish: Wish, tried: set[str]
    ) -> RoomResult | None:
        """Returns the result; None if the node is to place it by itself.

        A generation that the keeper of one group of engines refuses asks that
        of a second one.
        """
        service = run.admitted.service
        if not self._pool.kept.is_kept(service):
            return None
        groups = self._groups.count(service.name)
        result = None
        for room in find_rooms(service.name, groups, _repeat_id(run)):
            found = await self._find_in(room, run, wish, tried)
            if found is None:
                return result
            is_refused = found.server is None and found.return_in_s is not None
            if not is_refused:
                return found
            result = _sooner(result, found)
        return result

    async def _find_in(
        self, room: RoomId, run: Run, wish: Wish, tried: set[str]
    ) -> RoomResult | None:
        """Returns what the keeper of one room says."""
        admitted, kept = run.admitted, self._pool.kept
        keeper_ip = self._client.find_keeper(room.name)
        if keeper_ip is None or kept.find_barred(admitted, tried) is None:
            return None
        begun_s = time.monotonic()

        def reserve_cold_engine() -> BackendServer | None:
            # Their places are shared by the nodes, not granted.
            return self._pool.reserve_cold_engine(admitted, wish.options, tried)

        reply, cold = await self._client.ask(
            keeper_ip,
            run.attempt_id,
            lambda: _make_request(
                room, run, wish, self._find_barred(admitted, tried), begun_s
            ),
            reserve_cold_engine,
            wish.leave_s,
        )
        if reply is not None and reply.outcome == RoomOutcome.REFUSED:
            cold = reserve_cold_engine()
        if cold is not None:
            prefill_tokens = self._pool.choice.pending_prefill_tokens(cold)
            result: RoomResult | None = RoomResult(
                cold, prefill_tokens=prefill_tokens
            )
        else:
            result = self._follow(run, wish, tried, reply)
        _log_result(run, keeper_ip, reply, result, begun_s)
        return result

    def has_keeper(self, service: str) -> bool:
        """Whether a node is chosen to keep the room of a service's engines."""
        return self._client.has_keeper(service)

    def end(self, run: Run) -> None:
        """Gives back the place of a run, if a keeper granted one."""
        self._client.end(run.attempt_id)

    def _find_barred(
        self, admitted: AdmittedRequest, tried: Collection[str]
    ) -> Barred:
        """Returns the engines that failed it, aren't for it or want a pause."""
        found = self._pool.kept.find_barred(admitted, tried)
        barred = found or Barred(frozenset(tried))
        held_ids = self._pool.holds.held_ids
        return barred._replace(excluded=barred.excluded.union(held_ids))

    def _follow(
        self, run: Run, wish: Wish, tried: set[str], reply: RoomReply | None
    ) -> RoomResult | None:
        if reply is None:
            return None
        if reply.outcome == RoomOutcome.REFUSED:
            return RoomResult(None, reply.return_in_s)
        if reply.outcome == RoomOutcome.QUEUED:
            return RoomResult(None)
        if reply.outcome != RoomOutcome.GRANTED or reply.server_id is None:
            # A later build may say what this one doesn't know.
            return None
        server = self._pool.reserve_granted_engine(
            run.admitted, wish.options, tried, reply.server_id
        )
        if server is None:
            # This node knows better: the engine leaves, or wants a pause.
            self.end(run)
            return None
        return RoomResult(server, prefill_tokens=reply.prefill_tokens)


def _sooner(one: RoomResult | None, other: RoomResult) -> RoomResult:
    """Returns the refusal after which there should be room first."""
    if one is None or one.return_in_s is None or other.return_in_s is None:
        return other
    return one if one.return_in_s < other.return_in_s else other


def _repeat_id(run: Run) -> str:
    return run.traits.exact_id[-REPEAT_ID_CHARS:]


def _make_request(
    room: RoomId, run: Run, wish: Wish, barred: Barred, begun_s: float
) -> RoomRequest:
    admitted, options = run.admitted, wish.options
    parameters, regions = wish.parameters, admitted.regions
    now_s = time.monotonic()
    lease_s = min(max(admitted.deadline_s - now_s, 0.0), MAX_LEASE_S)
    # What callers state may be any number; no engine holds more.
    most_tokens = options.traits.memory_tokens
    return RoomRequest(
        number=0,
        attempt_id=run.attempt_id,
        service=admitted.service.name,
        priority=parameters.priority,
        team=parameters.team,
        weight=admitted.team.weight if admitted.team else 1,
        tokens=min(options.tokens, most_tokens),
        prompt_tokens=min(options.prompt_tokens, most_tokens),
        max_prefill_tokens=options.max_prefill_tokens,
        start_in_s=wish.latest_start_s - now_s,
        leave_in_s=wish.leave_s - now_s,
        age_s=now_s - begun_s,
        lease_s=lease_s,
        excluded=tuple(sorted(barred.excluded)),
        software_version=admitted.software_version,
        regions=None if regions is None else tuple(sorted(regions)),
        spare=tuple(sorted(barred.spare)),
        caller=_digest_caller(admitted),
        repeat_id=_repeat_id(run),
        group=room.group,
        groups=room.groups,
    )


def _digest_caller(admitted: AdmittedRequest) -> str:
    """Returns a digest of the caller's key, which differs between teams."""
    if admitted.team is None or admitted.req.api_key is None:
        return ""
    return hashlib.blake2b(
        admitted.req.api_key.encode(),
        digest_size=CALLER_DIGEST_BYTES,
        salt=admitted.team.name.encode()[: hashlib.blake2b.SALT_SIZE],
    ).hexdigest()


def _log_result(
    run: Run,
    keeper_ip: str,
    reply: RoomReply | None,
    result: RoomResult | None,
    begun_s: float,
) -> None:
    outcome = _outcome(reply, result)
    metrics.ROOMS.labels(outcome).inc()
    _log.info(
        "room",
        request=run.attempt_id,
        keeper=keeper_ip,
        outcome=outcome,
        server=reply and reply.server_id,
        waited_ms=round((time.monotonic() - begun_s) * 1000),
        return_in_s=result and result.return_in_s,
        waiting=reply and reply.waiting,
        knowledge_age_s=reply and reply.knowledge_age_s,
        prefill_tokens=result and result.prefill_tokens,
        tokens=run.expected_tokens,
        priority=run.admitted.priority,
    )


def _outcome(reply: RoomReply | None, result: RoomResult | None) -> str:
    if result is None:
        return "alone" if reply is None else "not_followed"
    if result.server is not None:
        is_granted = reply is not None and reply.server_id is not None
        return "granted" if is_granted else "cold"
    return "refused" if result.return_in_s is not None else "waited_in_vain"
