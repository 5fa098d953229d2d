"""Claims for the calls of this node, through the nodes that serve a shard."""

import threading
import time
from collections.abc import Mapping
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError
from typing import NamedTuple

import pykka
from returns.result import Failure, Result, Success

from savorylift.calls.claim_try import Ask, ClaimTry, Ended, Replay, Step
from savorylift.calls.claims import Claim, ClaimRequest
from savorylift.calls.messages import (
    ClaimAnswer,
    ClaimAsk,
    ClaimBody,
    ConcludeAnswer,
    ConcludeAsk,
    outcome_entry,
    shard_of,
    stream_of,
    void_entry,
)
from savorylift.calls.outbox import OutboxActor, Pending, Retry
from savorylift.calls.replay import read_outcome
from savorylift.calls.request import CallAnswer
from savorylift.calls.shard_set import ShardCfg, ShardSet
from savorylift.identity import NodeRef, new_id
from savorylift.log_service.log import Log, LogEntry
from savorylift.outcomes import Refusal
from savorylift.peers.link import PeerFault, PeerLink
from savorylift.peers.ticker import Ticker
from savorylift.peers.view import RosterSource

SERVER_WAIT_S = 1.0
SILENT_S = 3.0
CONCLUDE_WAIT_S = 3.0
REFRESH_S = 0.5
FLUSH_STEP_S = 0.05

ClaimResult = Result[Claim | CallAnswer, Refusal]


class DeskParts(NamedTuple):
    """What `ClaimDesk` works with."""

    me: NodeRef
    log: Log
    link: PeerLink
    roster: RosterSource
    cfg: ShardCfg = ShardCfg()


class ClaimDesk:
    """Implements `ClaimBook`; a call blocks its thread until the verdict."""

    def __init__(self, parts: DeskParts) -> None:
        """Starts nothing; call `start` before the first claim."""
        self._parts = parts
        self._shards = ShardSet(parts.me, parts.log, parts.roster, parts.cfg)
        self._outbox = OutboxActor.start(self._route)
        self._silent_until_s: Mapping[NodeRef, float] = {}
        self._stopped = threading.Event()
        self._ticker = Ticker(REFRESH_S, self._refresh, "claims-roster")

    def start(self) -> None:
        """Answers other nodes and serves the shards that fall to this one."""
        self._shards.listen(self._parts.link)
        self._shards.refresh()
        self._ticker.start()

    def flush(self, timeout_s: float) -> bool:
        """Waits until all voids and outcomes are on the log."""
        until_s = time.monotonic() + timeout_s
        while time.monotonic() < until_s:
            if self._outbox.ask(Pending()) == 0:
                return True
            self._stopped.wait(FLUSH_STEP_S)
        return False

    def stop(self) -> None:
        """Stops threads and actors; call `flush` before."""
        self._stopped.set()
        self._ticker.stop(REFRESH_S * 4)
        self._outbox.stop(block=False)
        self._shards.stop()

    def claim(self, req: ClaimRequest) -> ClaimResult:
        """Waits for the claim, or returns the recorded answer of its key."""
        shard = shard_of(req.key.value, self._parts.cfg.shards)
        claim = Claim(new_id("claim"), req.key)
        servers = self._talking_first(self._shards.servers(shard))
        attempt = ClaimTry(len(servers))
        step = attempt.begin()
        while isinstance(step, Ask):
            wait_s = min(SERVER_WAIT_S, req.deadline_s - time.monotonic())
            ask = self._message(claim, shard, req, wait_s)
            step = self._ask(attempt, servers[step.server], ask, wait_s)
        return self._conclude_try(step, claim, shard)

    def void(self, claim: Claim) -> None:
        """Gives up a claim whose call was certainly not run."""
        self._send(claim, void_entry(claim.claim_id, claim.key.value))

    def record(self, claim: Claim, answer: CallAnswer | None) -> None:
        """Records the answer, or None for a call whose answer was lost."""
        entry = outcome_entry(claim.claim_id, claim.key.value, answer)
        self._send(claim, entry)

    def _talking_first(
        self, servers: tuple[NodeRef, ...]
    ) -> tuple[NodeRef, ...]:
        """Moves nodes that lately gave no answer to the end."""
        now_s = time.monotonic()
        silent = self._silent_until_s
        return tuple(
            sorted(servers, key=lambda node: silent.get(node, 0.0) > now_s)
        )

    def _note_silent(self, node: NodeRef) -> None:
        now_s = time.monotonic()
        kept = {n: t for n, t in self._silent_until_s.items() if t > now_s}
        self._silent_until_s = {**kept, node: now_s + SILENT_S}

    def _message(
        self, claim: Claim, shard: int, req: ClaimRequest, wait_s: float
    ) -> ClaimAsk:
        me = self._parts.me
        body = ClaimBody(
            req.key.value,
            req.fingerprint,
            me.vm,
            me.incarnation,
            req.request_id,
        )
        wait_ms = max(0, int(wait_s * 1000))
        return ClaimAsk(shard, claim.claim_id, body, wait_ms)

    def _ask(
        self,
        attempt: ClaimTry,
        node: NodeRef,
        ask: ClaimAsk,
        wait_s: float,
    ) -> Step:
        if wait_s <= 0:
            return attempt.on_deadline()
        if node == self._parts.me:
            return self._ask_here(attempt, ask, wait_s)
        fut = self._parts.link.ask(node, ask, ClaimAnswer, wait_s)
        try:
            result = fut.result(wait_s + FLUSH_STEP_S)
        except FutureTimeoutError:
            self._note_silent(node)
            return attempt.on_fault(may_have_arrived=True)
        if isinstance(result, Failure):
            self._note_silent(node)
            fault: PeerFault = result.failure()
            return attempt.on_fault(may_have_arrived=fault.sent)
        return self._take(attempt, result.unwrap())

    def _ask_here(
        self, attempt: ClaimTry, ask: ClaimAsk, wait_s: float
    ) -> Step:
        fut: Future[ClaimAnswer] = Future()
        self._shards.submit(ask, fut)
        try:
            answer = fut.result(wait_s)
        except FutureTimeoutError:
            return attempt.on_fault(may_have_arrived=True)
        return self._take(attempt, answer)

    def _take(self, attempt: ClaimTry, answer: ClaimAnswer) -> Step:
        ref = NodeRef(answer.vm, answer.incarnation)
        is_live = ref == self._parts.me or not answer.vm
        is_live = is_live or self._parts.roster.current().is_member(ref)
        return attempt.on_answer(answer, is_claimant_gone=not is_live)

    def _conclude_try(
        self, step: Step, claim: Claim, shard: int
    ) -> ClaimResult:
        if isinstance(step, Replay):
            stream = stream_of(shard)
            return read_outcome(self._parts.log, stream, step.outcome_offset)
        if isinstance(step, Ended):
            if step.needs_void:
                self.void(claim)
            return Failure(step.refusal)
        return Success(claim)

    def _send(self, claim: Claim, entry: LogEntry) -> None:
        shard = shard_of(claim.key.value, self._parts.cfg.shards)
        try:
            self._outbox.tell(ConcludeAsk(shard, *entry))
        except pykka.ActorDeadError:
            return  # the node is ending: the key stays `unknown`

    def _route(
        self, ask: ConcludeAsk, attempt: int
    ) -> "Future[ConcludeAnswer]":
        servers = self._shards.servers(ask.shard)
        node = servers[attempt % len(servers)]
        done: Future[ConcludeAnswer] = Future()
        if node == self._parts.me:
            self._shards.conclude(ask, done)
            return done
        asked = self._parts.link.ask(node, ask, ConcludeAnswer, CONCLUDE_WAIT_S)
        asked.add_done_callback(lambda fut: _pass_on(fut, done))
        return done

    def _refresh(self) -> None:
        self._shards.refresh()
        self._outbox.tell(Retry())


def _pass_on(
    asked: "Future[Result[ConcludeAnswer, PeerFault]]",
    done: "Future[ConcludeAnswer]",
) -> None:
    result = asked.result()
    done.set_result(result.value_or(ConcludeAnswer(is_appended=False)))
