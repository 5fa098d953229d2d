"""What a request needs to know of backend servers, nodes and limits."""

import random
import time
from collections.abc import Callable, Collection, Iterator, Mapping

from savorylift.backends.cold_start import ColdStart
from savorylift.backends.registry import Known
from savorylift.backends.work import Load, Work, add_up
from savorylift.exchange.admission import Admitted
from savorylift.exchange.budget import RetryBudget
from savorylift.exchange.move_queue import MoveQueue
from savorylift.fleet.knowledge import Knowledge
from savorylift.fleet.membership import Membership
from savorylift.placement.candidates import usable
from savorylift.placement.engines import (
    EngineOptions,
    choose_engine,
    choose_refuge,
)
from savorylift.placement.plain import choose_plain
from savorylift.routing.configuration import Service


class Pool:
    """Chooses backend servers and counts what is sent to them."""

    def __init__(
        self,
        knowledge: Knowledge,
        membership: Membership,
        budget: RetryBudget,
        rng: random.Random,
        announce: Callable[[], None],
        interval_s: Callable[[], float],
        region_of: Mapping[str, str],
    ) -> None:
        """Reads `knowledge` and `membership` at each choice.

        Args:
            knowledge: What the store says.
            membership: The other nodes.
            budget: This node's share of repeats.
            rng: Breaks ties.
            announce: Tells the other nodes of a change soon.
            interval_s: Interval of the nodes' messages.
            region_of: Region of each failure domain.
        """
        self._knowledge = knowledge
        self._membership = membership
        self._budget = budget
        self._rng = rng
        self._cold_start = ColdStart()
        self._announce = announce
        self._region_of = region_of
        self.work = Work()
        self.move_queue = MoveQueue(
            lambda: membership.moves(time.monotonic()), announce, interval_s
        )

    def pick_plain(self, adm: Admitted, tried: Collection[str]) -> Known | None:
        """Returns a server for a plain call and counts the call there."""
        loads = self._loads()
        candidates = self._sendable(adm, tried, loads)
        found = choose_plain(candidates, loads, time.monotonic(), self._rng)
        if found is not None:
            self._begin(found, adm, 0, 0)
        return found

    def pick_engine(
        self, adm: Admitted, options: EngineOptions, tried: Collection[str]
    ) -> Known | None:
        """Returns an engine with room and counts the generation there."""
        found = self.find_engine(adm, options, tried)
        if found is not None:
            generation = adm.req.generation
            unread = generation.prompt_tokens if generation else 0
            self._begin(found, adm, options.tokens, unread)
        return found

    def find_engine(
        self, adm: Admitted, options: EngineOptions, taken: Collection[str]
    ) -> Known | None:
        """Returns an engine with room; nothing is counted there yet."""
        loads = self._loads()
        candidates = self._sendable(adm, taken, loads)
        return choose_engine(candidates, loads, options, self._rng)

    def has_room(
        self, adm: Admitted, options: EngineOptions, tried: Collection[str]
    ) -> bool:
        """Whether an engine that was not tried has room."""
        return self.find_engine(adm, options, tried) is not None

    def unread(self, server: Known) -> int:
        """Returns the prompt tokens that an engine has not read yet."""
        return self._loads().get(server.entry.server_id, Load()).unread

    def has_server(self, adm: Admitted, tried: Collection[str]) -> bool:
        """Whether there is a server that was not tried."""
        return any(True for _ in self._sendable(adm, tried, self._loads()))

    def pick_refuge(
        self, adm: Admitted, options: EngineOptions, tried: Collection[str]
    ) -> Known | None:
        """Returns the engine with most room, even if it may be too little."""
        loads = self._loads()
        candidates = self._sendable(adm, tried, loads)
        return choose_refuge(candidates, loads, options, self._rng)

    def is_usable(self, server: Known) -> bool:
        """Whether a server may still get what was chosen for it."""
        entry = server.entry
        known = self._knowledge.registry.known.get(entry.server_id)
        return (
            known is not None
            and known.entry.address == entry.address
            and not known.entry.is_leaving
            and self._knowledge.evacuated.isdisjoint(
                (entry.failure_domain, entry.server_id)
            )
        )

    def is_staying(self, server: Known) -> bool:
        """Whether a server with work is neither leaving nor gone."""
        known = self._knowledge.registry.known.get(server.entry.server_id)
        return known is not None and not known.entry.is_leaving

    def count_request(self, service: str) -> None:
        """Counts a caller's request for the retry budget."""
        self._budget.count_request(service)

    def take_repeat(self, service: str) -> bool:
        """Takes one repeat from this node's share, if there is one."""
        nodes = self._membership.count_sharing(time.monotonic())
        if not self._budget.may_repeat(service, nodes):
            return False
        self._budget.count_repeat(service)
        return True

    def _loads(self) -> Mapping[str, Load]:
        others = self._membership.loads(time.monotonic())
        return add_up([*self.work.loads(), *others])

    def _sendable(
        self,
        adm: Admitted,
        tried: Collection[str],
        loads: Mapping[str, Load],
    ) -> Iterator[Known]:
        now_s = time.monotonic()
        nodes = self._membership.count_sharing(now_s)
        service, regions = adm.service, adm.regions
        candidates = usable(
            self._knowledge.registry.known,
            service.name,
            self._knowledge.evacuated,
            tried,
            lambda domain: (
                regions is None or self._region_of.get(domain) in regions
            ),
        )
        for server in candidates:
            load = loads.get(server.entry.server_id, Load())
            if server.is_cold(now_s):
                is_free = self._may_take_cold(server, service, nodes, now_s)
            else:
                is_free = server.entry.bears(load.requests)
            if is_free:
                yield server

    def _may_take_cold(
        self, server: Known, service: Service, nodes: int, now_s: float
    ) -> bool:
        """Whether one more request is within this node's share."""
        server_id, most = server.entry.server_id, server.entry.most_cold
        if most is None:
            return self._cold_start.may_send(
                server_id, service.cold_requests_per_s, nodes
            )
        share = self._membership.own_share(server_id, most, now_s)
        return self.work.open_requests(server_id) < share

    def _begin(
        self, server: Known, adm: Admitted, tokens: int, unread: int
    ) -> None:
        server_id = server.entry.server_id
        self.work.begin(server_id, adm.req.attempt_id, tokens, unread)
        if unread:
            self._announce()
        if server.is_cold(time.monotonic()):
            self._cold_start.count(server_id)
