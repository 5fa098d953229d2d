"""The claim shards that this node serves, by the roster."""

import contextlib
import threading
from concurrent.futures import Future, InvalidStateError
from typing import NamedTuple

import pykka

from savorylift.calls.claim_writer import (
    Conclude,
    ShardActor,
    ShardReader,
    Submit,
)
from savorylift.calls.key import KeyWindow
from savorylift.calls.messages import (
    ClaimAnswer,
    ClaimAsk,
    ClaimState,
    ConcludeAnswer,
    ConcludeAsk,
    stream_of,
)
from savorylift.identity import NodeRef
from savorylift.log_service.log import Log, LogEntry
from savorylift.peers.link import Message, PeerLink
from savorylift.peers.view import RosterSource
from savorylift.rendezvous import rank

SERVERS_PER_SHARD = 3
MIN_GROUP_INTERVAL_S = 0.02
APPENDS_PER_S = 150.0  # of all shards, while each has one busy node

AnswerFuture = Future[ClaimAnswer]
ConcludeFuture = Future[ConcludeAnswer]


class ShardCfg(NamedTuple):
    """How claims are spread over streams.

    Attributes:
        shards: Number of claim streams; the same on every node, and changed
            only after a key window without such calls.
        window: Accepted times of idempotency keys.
    """

    shards: int = 1
    window: KeyWindow = KeyWindow()


class _Served(NamedTuple):
    actor: "pykka.ActorRef[ShardActor]"
    reader: ShardReader


class ShardSet:
    """Runs an actor and a reader for each shard that falls to this node.

    Which nodes serve a shard is a matter of load alone: any number of them
    may append to it, and the stream's order decides.
    """

    def __init__(
        self, me: NodeRef, log: Log, roster: RosterSource, cfg: ShardCfg
    ) -> None:
        """Serves nothing before the first `refresh`."""
        self._me = me
        self._log = log
        self._roster = roster
        self._cfg = cfg
        self._served: dict[int, _Served] = {}
        self._lock = threading.Lock()

    def listen(self, link: PeerLink) -> None:
        """Answers other nodes' claims and conclusions."""
        link.on_ask(ClaimAsk, self._on_claim)
        link.on_ask(ConcludeAsk, self._on_conclude)

    def servers(self, shard: int) -> tuple[NodeRef, ...]:
        """Returns the nodes that serve `shard`, the preferred one first.

        All prefer the same one, so that claims share its appends.
        """
        refs = self._staying() or {self._me.vm: self._me}
        order = rank(stream_of(shard), refs)[:SERVERS_PER_SHARD]
        return tuple(refs[vm] for vm in order)

    def refresh(self) -> None:
        """Starts and stops shards so that they fit the roster."""
        wanted = {
            shard
            for shard in range(self._cfg.shards)
            if self._me in self.servers(shard)
        }
        with self._lock:
            for shard, served in list(self._served.items()):
                if not served.actor.is_alive():
                    _stop(self._served.pop(shard))
            for shard in wanted - self._served.keys():
                self._served[shard] = self._start(shard)
            for shard in self._served.keys() - wanted:
                _stop(self._served.pop(shard))

    def stop(self) -> None:
        """Stops every shard."""
        with self._lock:
            while self._served:
                _stop(self._served.popitem()[1])

    def submit(self, ask: ClaimAsk, fut: AnswerFuture) -> None:
        """Resolves `fut` with the verdict on a claim, if there comes one."""

        def reply(answer: ClaimAnswer) -> None:
            with contextlib.suppress(InvalidStateError):  # timed out
                fut.set_result(answer)

        if not self._tell(ask.shard, Submit(ask, reply)):
            reply(ClaimAnswer(ClaimState.NOT_READY))

    def conclude(self, ask: ConcludeAsk, fut: ConcludeFuture) -> None:
        """Resolves `fut` once a void or an outcome is on the log."""

        def done(is_appended: bool) -> None:  # noqa: FBT001
            with contextlib.suppress(InvalidStateError):  # timed out
                fut.set_result(ConcludeAnswer(is_appended))

        entry = LogEntry(ask.record_id, ask.kind, ask.body)
        if not self._tell(ask.shard, Conclude(entry, done)):
            done(False)

    def _staying(self) -> dict[str, NodeRef]:
        """Returns the nodes that are not shutting down, by VM."""
        members = self._roster.current().members
        refs = {
            vm: member.info.ref
            for vm, member in members.items()
            if not member.leaving
        }
        own = members.get(self._me.vm)
        if own is None or not own.leaving:
            refs[self._me.vm] = self._me
        return refs

    def _tell(self, shard: int, message: Submit | Conclude) -> bool:
        served = self._served.get(shard)
        if served is None:
            return False
        try:
            served.actor.tell(message)
        except pykka.ActorDeadError:
            return False
        return True

    def _on_claim(
        self, _sender: NodeRef, ask: ClaimAsk, fut: "Future[Message]"
    ) -> None:
        self.submit(ask, fut)  # type: ignore[arg-type]

    def _on_conclude(
        self, _sender: NodeRef, ask: ConcludeAsk, fut: "Future[Message]"
    ) -> None:
        self.conclude(ask, fut)  # type: ignore[arg-type]

    def _start(self, shard: int) -> _Served:
        window = self._cfg.window
        interval_s = max(MIN_GROUP_INTERVAL_S, self._cfg.shards / APPENDS_PER_S)
        actor = ShardActor.start(self._log, shard, window, interval_s)
        reader = ShardReader(self._log, shard, window, actor)
        reader.start()
        return _Served(actor, reader)


def _stop(served: _Served) -> None:
    served.reader.stop()
    served.actor.stop(block=False)
