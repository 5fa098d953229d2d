"""Which keeper a request asks next."""

import time
from collections.abc import Callable, Mapping
from typing import NamedTuple

from savorylift.identity import NodeRef
from savorylift.permits.gate import BackendHint, PermitRequest
from savorylift.permits.messages import ServerState
from savorylift.rendezvous import rank

HINT_LIFE_S = 1.0
MAX_FAILURES = 6


class Target(NamedTuple):
    """A keeper asked for one backend server."""

    server: str
    keeper: NodeRef


class Step(NamedTuple):
    """A question to one keeper.

    Attributes:
        target: Whom to ask, and about which backend server.
        may_queue: False to be denied at once when there is no room.
    """

    target: Target
    may_queue: bool


class Route:
    """Order in which a request asks keepers.

    It asks one keeper of each candidate, best first, without queueing; then
    it queues where the wait is expected to be shortest.

    Attributes:
        asked: Every target asked so far.
    """

    def __init__(
        self,
        ref: NodeRef,
        req: PermitRequest,
        keepers_of: Callable[[str], list[NodeRef]],
        hints: Mapping[str, BackendHint],
        max_tries: int,
    ) -> None:
        """Plans the first requests from `hints`."""
        self.asked: set[Target] = set()
        self._ref = ref
        self._req = req
        self._keepers_of = keepers_of
        self._hints = hints
        self._to_try = self._by_room()[:max_tries]
        self._waits: dict[Target, float] = {}
        self._failures: dict[Target, int] = {}
        self._current: Target | None = None
        self._repeat = False
        self._probes = 0

    def next_step(self) -> Step | None:
        """Returns the next step; None when too many requests have failed."""
        if sum(self._failures.values()) >= MAX_FAILURES:
            return None
        if self._repeat and self._current is not None and self._is_kept():
            self._repeat = False
            return Step(self._current, may_queue=True)
        may_queue = not self._to_try
        if may_queue:
            self._current = self._shortest_wait()
        else:
            self._current = self._choose(self._to_try.pop(0))
        if self._current is None:
            return None
        self.asked.add(self._current)
        return Step(self._current, may_queue)

    def denied(self, target: Target, state: ServerState | None) -> bool:
        """Notes a denial; returns True if it ends the newest request."""
        if state is not None:
            self._waits[target] = _relative_wait(state)
        else:
            self._failures[target] = self._failures.get(target, 0) + 1
        return target.server == (self._current and self._current.server)

    def queued(self, target: Target, state: ServerState) -> None:
        """Notes the keeper in whose queue the request waits."""
        self._current = target
        self.asked.add(target)
        self._waits[target] = _relative_wait(state)
        self._failures.clear()

    def time_out(self) -> None:
        """Notes that the newest request got no answer in time."""
        if self._current is not None:
            count = self._failures.get(self._current, 0)
            self._failures[self._current] = count + 1
            self._waits.pop(self._current, None)

    def repeat(self) -> None:
        """Asks the same target again next."""
        self._repeat = True

    def probe(self) -> Target | None:
        """Returns a keeper of another candidate to ask without queueing."""
        current = self._current.server if self._current else ""
        others = [name for name in self._req.candidates if name != current]
        if not others:
            return None
        self._probes += 1
        target = self._choose(others[self._probes % len(others)])
        if target is not None:
            self.asked.add(target)
        return target

    def _is_kept(self) -> bool:
        current = self._current
        assert current is not None, "nothing was asked"
        return current.keeper in self._keepers_of(current.server)

    def _by_room(self) -> list[str]:
        return sorted(self._req.candidates, key=self._looks_full)

    def _looks_full(self, server: str) -> bool:
        hint = self._hints.get(server)
        if hint is None or time.monotonic() - hint.seen_s > HINT_LIFE_S:
            return False
        return hint.free_slots < 1

    def _choose(self, server: str) -> Target | None:
        keepers = {ref.vm: ref for ref in self._keepers_of(server)}
        if not keepers:
            return None
        order = rank(self._req.permit_id, keepers)
        if self._ref.vm in keepers:
            order = [self._ref.vm, *order]
        targets = [Target(server, keepers[vm]) for vm in order]
        return min(targets, key=lambda target: self._failures.get(target, 0))

    def _shortest_wait(self) -> Target | None:
        waits = self._waits
        if waits and (best := min(waits, key=lambda t: waits[t])):
            if best.keeper in self._keepers_of(best.server):
                return best
            del waits[best]
        targets = [self._choose(server) for server in self._req.candidates]
        known = [target for target in targets if target is not None]
        failures = self._failures
        return min(known, key=lambda t: failures.get(t, 0), default=None)


def _relative_wait(state: ServerState) -> float:
    if state.wait_s > 0:
        return state.wait_s
    return (state.waiting + 1) / max(1, state.window)
