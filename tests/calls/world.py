"""Several nodes, one log and one service, stepped one event at a time.

The oracle is what the service saw: runs by key and by try.
"""

import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from returns.result import Failure, Result

from savorylift.calls.claim_shard import ClaimShard
from savorylift.calls.claim_try import Ask, ClaimTry, Ended, Replay, Step, Won
from savorylift.calls.dispatch import AnswerLost, NotSent
from savorylift.calls.endings import to_refusal
from savorylift.calls.key import KeyWindow, parse_key
from savorylift.calls.messages import (
    ClaimAnswer,
    ClaimAsk,
    ClaimBody,
    outcome_entry,
    void_entry,
)
from savorylift.calls.request import CallAnswer
from savorylift.calls.shard_start import find_start
from savorylift.log_service.log import LogEntry, LogFault
from savorylift.outcomes import Ending, Refusal
from tests.calls.fakes import make_key
from tests.log_service.fakes import AppendFault, FakeLog

STREAM = "claims"
WINDOW = KeyWindow(age_ms=60_000, skew_ms=5_000)
SERVERS = 3
WAIT_MS = 4_000


Message = Callable[[], None]


@dataclass
class Try:
    """One caller's try as its node sees it.

    Attributes:
        number: Identity; also the identity of its run at the service.
        state: `asking`, `won`, `ended`, `sent` or `killed`.
    """

    number: int
    key: bytes
    fingerprint: str
    decision: ClaimTry
    state: str = "asking"
    asked: int = 0
    refusal: Refusal | None = None
    replay: int | None = None

    @property
    def claim_id(self) -> str:
        return f"c{self.number}"


@dataclass
class World:
    """All of it; every method is one event."""

    shard_type: type[ClaimShard] = ClaimShard
    forgives_lost_answer: bool = False
    retention_ms: int = 90_000
    log: FakeLog = field(default_factory=FakeLog)
    tries: list[Try] = field(default_factory=list)
    keys: list[bytes] = field(default_factory=list)
    net: list[Message] = field(default_factory=list)
    runs: Counter[bytes] = field(default_factory=Counter)
    ran: set[int] = field(default_factory=set)
    results: dict[bytes, str] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.shards: list[ClaimShard] = []
        self.results_out: list[tuple[int, Result[int, LogFault]] | None] = []
        for _ in range(SERVERS):
            self.shards.append(self._started())
            self.results_out.append(None)

    def new_key(self) -> None:
        text = make_key(int(time.time() * 1000), len(self.keys))
        parsed = parse_key(text)
        assert parsed is not None
        self.keys.append(parsed.value)

    def begin(self, key: int, body: int) -> None:
        if not self.keys:
            self.new_key()
        number = len(self.tries)
        picked = self.keys[-1 - key % min(3, len(self.keys))]
        attempt = Try(number, picked, f"f{body}", ClaimTry(SERVERS))
        self.tries.append(attempt)
        self._follow(attempt, attempt.decision.begin())

    def deliver(self, choice: int) -> None:
        if self.net:
            self.net.pop(choice % len(self.net))()

    def drop(self, choice: int) -> None:
        if self.net:
            self.net.pop(choice % len(self.net))

    def repeat(self, choice: int) -> None:
        if self.net:
            self.net.append(self.net[choice % len(self.net)])

    def time_out(self, choice: int) -> None:
        for attempt in self._pick("asking", choice):
            step = attempt.decision.on_fault(may_have_arrived=True)
            self._follow(attempt, step)

    def give_up(self, choice: int) -> None:
        for attempt in self._pick("asking", choice):
            self._follow(attempt, attempt.decision.on_deadline())

    def kill_claimant(self, choice: int) -> None:
        for state in ("asking", "won"):
            for attempt in self._pick(state, choice):
                attempt.state = "killed"

    def append(self, server: int, fault: int) -> None:
        index = server % SERVERS
        if self.results_out[index] is not None:
            return
        group = self.shards[index].take_group()
        if not group:
            return
        faults = (None, None, None, *AppendFault)
        picked = faults[fault % len(faults)]
        if picked is not None:
            self.log.append_faults.append(picked)
        result = self.log.append(STREAM, group)
        self.results_out[index] = (index, result)

    def learn_append(self, server: int) -> None:
        out = self.results_out[server % SERVERS]
        self.results_out[server % SERVERS] = None
        if out is not None:
            self.shards[out[0]].note_appended(out[1])

    def read(self, server: int) -> None:
        shard = self.shards[server % SERVERS]
        asked_s = time.monotonic()
        page = self.log.read(STREAM, shard.next_offset)
        if isinstance(page, Failure):
            shard.note_read_fault()
        else:
            shard.note_page(page.unwrap(), asked_s)

    def restart(self, server: int) -> None:
        index = server % SERVERS
        if not self.log.is_down:
            self.results_out[index] = None
            self.shards[index] = self._started()

    def trim(self) -> None:
        oldest_ms = time.time() * 1000 - self.retention_ms
        records = self.log.all_records(STREAM)
        kept = sum(1 for record in records if record.time_ms < oldest_ms)
        self.log.trim(STREAM, kept)

    def dispatch(self, choice: int, how: int) -> None:
        """Wakes a claimant that has won: it sends its call."""
        for attempt in self._pick("won", choice):
            self._send_call(attempt, how % 4)

    def check(self) -> None:
        """Compares what callers were told with what the service saw."""
        assert max(self.runs.values(), default=0) <= 1, "a call ran twice"
        for attempt in self.tries:
            refusal = attempt.refusal
            if refusal is not None and refusal.ending == Ending.NOT_RUN:
                assert attempt.number not in self.ran, "not_run was false"
            if attempt.replay is not None:
                record = self.log.all_records(STREAM)[attempt.replay]
                runner = record.record_id.removeprefix("outcome-c")
                assert self.results[attempt.key] == f"r{runner}"

    def heal(self) -> None:
        """Ends all faults and lets everything that waits come to its end."""
        self.log.set_down(is_down=False)
        for _ in range(6):
            self.log.deliver_late()
            for server in range(SERVERS):
                self.learn_append(server)
                self.append(server, 0)
                self.learn_append(server)
                self.read(server)
            while self.net:
                self.deliver(0)
        for attempt in self.tries:
            if attempt.state == "won":
                self._send_call(attempt, 3)

    def _follow(self, attempt: Try, step: Step) -> None:
        if attempt.state != "asking":
            return
        if isinstance(step, Ask):
            attempt.asked = step.server
            self.net.append(lambda: self._arrive(attempt, step.server))
        elif isinstance(step, Won):
            attempt.state = "won"
        elif isinstance(step, Replay):
            attempt.state, attempt.replay = "ended", step.outcome_offset
        elif isinstance(step, Ended):
            attempt.state, attempt.refusal = "ended", step.refusal
            if step.needs_void:
                self._send(void_entry(attempt.claim_id, attempt.key))

    def _arrive(self, attempt: Try, server: int) -> None:
        body = ClaimBody(attempt.key, attempt.fingerprint, "n", "i", "r")
        index = (attempt.number + server) % SERVERS
        ask = ClaimAsk(0, attempt.claim_id, body, WAIT_MS)
        self.shards[index].submit(
            ask,
            lambda answer: self.net.append(
                lambda: self._answered(attempt, server, answer)
            ),
        )

    def _answered(self, attempt: Try, server: int, answer: ClaimAnswer) -> None:
        if attempt.state == "asking" and attempt.asked == server:
            step = attempt.decision.on_answer(answer, is_claimant_gone=False)
            self._follow(attempt, step)

    def _send_call(self, attempt: Try, how: int) -> None:
        attempt.state = "sent"
        if how == 0:
            self._end_unsent(attempt)
            return
        self.runs[attempt.key] += 1
        self.ran.add(attempt.number)
        self.results[attempt.key] = f"r{attempt.number}"
        if how == 1:
            self._end_lost(attempt)
        else:
            self._conclude(attempt, b"r%d" % attempt.number)

    def _end_unsent(self, attempt: Try) -> None:
        attempt.refusal = to_refusal(NotSent(""), "s", may_have_run=False)
        self._send(void_entry(attempt.claim_id, attempt.key))

    def _end_lost(self, attempt: Try) -> None:
        attempt.refusal = to_refusal(
            AnswerLost(""), "s", may_have_run=not self.forgives_lost_answer
        )
        self._conclude(attempt, None)

    def _conclude(self, attempt: Try, body: bytes | None) -> None:
        answer = None if body is None else CallAnswer(200, (), body, "s")
        self._send(outcome_entry(attempt.claim_id, attempt.key, answer))

    def _send(self, entry: LogEntry) -> None:
        server = len(self.tries)

        def arrive() -> None:
            self.shards[server % SERVERS].conclude(entry, lambda _: None)

        self.net.append(arrive)

    def _pick(self, state: str, choice: int) -> list[Try]:
        found = [t for t in self.tries[-8:] if t.state == state]
        return [found[choice % len(found)]] if found else []

    def _started(self) -> ClaimShard:
        shard = self.shard_type(WINDOW)
        start = find_start(self.log, STREAM, WINDOW)
        shard.start_at(start.unwrap())
        return shard


def run_history(
    world: World, rng: random.Random, steps: int, tick: Callable[[float], None]
) -> None:
    """Runs random events, then heals; checks the oracle after each."""
    draw = rng.randrange
    events: list[tuple[int, Callable[[], None]]] = [
        (8, lambda: world.begin(draw(3), int(draw(8) == 0))),
        (1, world.new_key),
        (24, lambda: world.deliver(draw(99))),
        (1, lambda: world.drop(draw(99))),
        (1, lambda: world.repeat(draw(99))),
        (1, lambda: world.time_out(draw(99))),
        (1, lambda: world.give_up(draw(99))),
        (1, lambda: world.kill_claimant(draw(99))),
        (8, lambda: world.append(draw(3), draw(7))),
        (8, lambda: world.learn_append(draw(3))),
        (16, lambda: world.read(draw(3))),
        (1, lambda: world.restart(draw(3))),
        (1, world.log.deliver_late),
        (1, world.trim),
        (1, lambda: world.log.set_down(is_down=draw(4) == 0)),
        (4, lambda: world.dispatch(draw(99), draw(8))),
        (4, lambda: tick(0.3)),
        (1, lambda: tick((1.0, 2.0, 20.0, 70.0)[draw(4)])),
    ]
    weights = [weight for weight, _ in events]
    for _, event in rng.choices(events, weights, k=steps):
        event()
        world.check()
    world.heal()
    world.check()
