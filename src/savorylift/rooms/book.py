"""What the keeper of a service's room knows of the load on engines.

In a large fleet, what nodes say of their loads may be older than a short
generation lasts. So a place counts from the moment at which the keeper grants
it until its node says that it has ended. What else nodes have at engines is
taken from their messages, which also make up for lost ends of places. The time
of each step doesn't depend on the number of nodes.
"""

import collections
import time
from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

from savorylift.backends.load import Load
from savorylift.fleet.state import ServerLoad
from savorylift.placement.held_room import HeldRoom, Holder

# A node's messages count a place at the latest this long after its grant: if
# they don't by then, it has ended.
SETTLE_S = 0.5
# From this time after its grant on they may count it already: it is taken off
# what they say, so that it doesn't count twice.
MIN_SHOWN_S = 0.05
# Places that have ended are remembered, so that a late duplicate of their
# request gets none.
MAX_ENDED = 1024
# Of places that count for no team.
NOBODY = Holder("", "", 0.0)


class PlaceKey(NamedTuple):
    """Identifies a request for a place.

    Attributes:
        ip: Address of the node that asked.
        number: Number of the request among those of the node.
    """

    ip: str
    number: int


class Grant(NamedTuple):
    """A place that was granted.

    Attributes:
        server_id: Engine.
        tokens: Tokens that the generation is expected to reach.
        granted_s: Monotonic time of the grant.
        until_s: Monotonic time at which it ends, whatever is heard.
        holder: For whom it was granted.
        prefill_s: Time that the engine takes to prefill its prompt.
        prefilled_s: Monotonic time at which it has done so.
    """

    server_id: str
    tokens: int
    granted_s: float
    until_s: float
    holder: Holder
    prefill_s: float
    prefilled_s: float


class _Sum(NamedTuple):
    """Requests and tokens at an engine.

    Attributes:
        requests: Number of requests.
        tokens: Tokens that they are expected to reach.
        prefill_tokens: Prompt tokens that await prefill.
    """

    requests: int = 0
    tokens: int = 0
    prefill_tokens: int = 0

    def plus(self, other: "_Sum", sign: int = 1) -> "_Sum":
        return _Sum(*(a + sign * b for a, b in zip(self, other, strict=True)))


class RoomBook:
    """Places granted at engines, and what else nodes have there.

    Attributes:
        held: What teams and their callers hold of what was granted.
        planned: Tokens that are kept free for planned moves, by engine.
    """

    def __init__(self) -> None:
        """Starts without any places."""
        self.held = HeldRoom()
        self.planned: Mapping[str, int] = {}
        self._grants: dict[PlaceKey, Grant] = {}
        # Grants by node and engine, oldest first.
        self._places: dict[str, dict[str, dict[PlaceKey, Grant]]] = {}
        self._granted: dict[str, _Sum] = {}
        # What nodes have at engines besides the grants.
        self._others: dict[str, dict[str, _Sum]] = {}
        self._other_sums: dict[str, _Sum] = {}
        # Monotonic time at which an engine has prefilled what was granted.
        self._prefilled_s: dict[str, float] = {}
        self._ended: collections.OrderedDict[PlaceKey, None] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Returns the number of places that are granted."""
        return len(self._grants)

    def find(self, key: PlaceKey) -> Grant | None:
        """Returns the place that a request has."""
        return self._grants.get(key)

    def has_ended(self, key: PlaceKey) -> bool:
        """Whether a request is known to need no place any more."""
        return key in self._ended

    def grant(
        self,
        key: PlaceKey,
        server_id: str,
        tokens: int,
        lease_s: float,
        prefill_s: float,
        holder: Holder = NOBODY,
    ) -> None:
        """Records a place; its request must not have one.

        Args:
            key: The request.
            server_id: Engine.
            tokens: Tokens that the generation is expected to reach.
            lease_s: Time after which the place is free, whatever is heard.
            prefill_s: Time that the engine takes to prefill its prompt.
            holder: For whom it is granted.
        """
        now_s = time.monotonic()
        begins_s = max(self._prefilled_s.get(server_id, 0.0), now_s)
        prefilled_s = begins_s + prefill_s
        until_s = now_s + lease_s
        grant = Grant(
            server_id, tokens, now_s, until_s, holder, prefill_s, prefilled_s
        )
        self._grants[key] = grant
        places = self._places.setdefault(key.ip, {})
        places.setdefault(server_id, {})[key] = grant
        self._add_granted(grant, 1)
        self.held.add(holder)
        self._prefilled_s[server_id] = prefilled_s

    def end(self, key: PlaceKey) -> int:
        """Ends a place, if the request has one; returns its tokens."""
        self._ended[key] = None
        while len(self._ended) > MAX_ENDED:
            self._ended.popitem(last=False)
        grant = self._grants.pop(key, None)
        if grant is None:
            return 0
        places = self._places[key.ip]
        places[grant.server_id].pop(key)
        if not places[grant.server_id]:
            del places[grant.server_id]
        if not places:
            del self._places[key.ip]
        self._add_granted(grant, -1)
        self.held.remove(grant.holder)
        self._end_prefill(grant)
        return grant.tokens

    def hear(self, ip: str, loads: Iterable[ServerLoad]) -> int:
        """Takes over what a node says that it has at engines.

        Returns:
            Tokens of the places that it no longer has.
        """
        stated = {load.server_id: load for load in loads}
        freed = 0
        for server_id, grants in list(self._places.get(ip, {}).items()):
            load = stated.get(server_id)
            freed += self._end_surplus(grants, load.requests if load else 0)
        others = {}
        for server_id, load in stated.items():
            other = self._find_other(ip, load)
            if other != _Sum():
                others[server_id] = other
        self._replace_others(ip, others)
        return freed

    def forget_nodes(self, live: Collection[str]) -> int:
        """Ends the places of nodes that aren't live; returns their tokens."""
        for ip in self._others.keys() - live:
            self._replace_others(ip, {})
        return sum(
            self.end(key) for key in list(self._grants) if key.ip not in live
        )

    def drop_expired(self) -> int:
        """Ends the places whose time is over; returns their tokens."""
        now_s = time.monotonic()
        expired = [k for k, g in self._grants.items() if g.until_s < now_s]
        for server_id, until_s in list(self._prefilled_s.items()):
            if until_s < now_s:
                del self._prefilled_s[server_id]
        return sum(self.end(key) for key in expired)

    def load(
        self, server_id: str, known: Mapping[str, Load], prefill_per_s: float
    ) -> Load:
        """Returns the load of an engine.

        Args:
            server_id: Engine.
            known: What the nodes' messages say, for the recent results.
            prefill_per_s: Prompt tokens that an engine prefills each second.
        """
        total = self._granted.get(server_id, _Sum())
        total = total.plus(self._other_sums.get(server_id, _Sum()))
        pending_s = self._prefilled_s.get(server_id, 0.0) - time.monotonic()
        prefill_tokens = total.prefill_tokens
        prefill_tokens += int(max(pending_s, 0.0) * prefill_per_s)
        results = known.get(server_id, Load())
        planned = self.planned.get(server_id, 0)
        return results._replace(
            # However many runs are to move to an engine, they count as one
            # request here, so that it doesn't pass for idle.
            requests=total.requests + (planned > 0),
            tokens=total.tokens + planned,
            prefill_tokens=prefill_tokens,
        )

    def _end_surplus(
        self, grants: Mapping[PlaceKey, Grant], requests: int
    ) -> int:
        """Ends the oldest places of which a node shows none any more."""
        oldest_s = time.monotonic() - SETTLE_S
        settled = [k for k, g in grants.items() if g.granted_s < oldest_s]
        surplus = max(len(settled) - requests, 0)
        return sum(self.end(key) for key in settled[:surplus])

    def _find_other(self, ip: str, load: ServerLoad) -> _Sum:
        """Returns what a node has at an engine besides the places granted."""
        shown_s = time.monotonic() - MIN_SHOWN_S
        places = self._places.get(ip, {}).get(load.server_id, {})
        granted = [g for g in places.values() if g.granted_s < shown_s]
        requests = load.requests - len(granted)
        if requests <= 0:
            return _Sum()
        tokens = load.tokens - sum(grant.tokens for grant in granted)
        prefill_tokens = 0 if granted else load.prefill_tokens
        return _Sum(requests, max(tokens, 0), prefill_tokens)

    def _replace_others(self, ip: str, others: dict[str, _Sum]) -> None:
        known = self._others.pop(ip, {})
        for server_id, other in known.items():
            self._add_other(server_id, other, -1)
        for server_id, other in others.items():
            self._add_other(server_id, other, 1)
        if others:
            self._others[ip] = others

    def _add_other(self, server_id: str, other: _Sum, sign: int) -> None:
        _add(self._other_sums, server_id, other, sign)

    def _end_prefill(self, grant: Grant) -> None:
        """Takes back what an engine had yet to prefill of a prompt."""
        left_s = grant.prefilled_s - time.monotonic()
        left_s = min(left_s, grant.prefill_s)
        if left_s > 0 and grant.server_id in self._prefilled_s:
            self._prefilled_s[grant.server_id] -= left_s

    def _add_granted(self, grant: Grant, sign: int) -> None:
        _add(self._granted, grant.server_id, _Sum(1, grant.tokens), sign)


def _add(sums: dict[str, _Sum], server_id: str, part: _Sum, sign: int) -> None:
    total = sums.get(server_id, _Sum()).plus(part, sign)
    if total == _Sum():
        sums.pop(server_id, None)
    else:
        sums[server_id] = total
