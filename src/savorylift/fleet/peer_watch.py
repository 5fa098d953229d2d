"""Watches other nodes, and lets some of them watch this one."""

import time
from collections.abc import Callable
from typing import NamedTuple

from savorylift.fleet.codec import Message
from savorylift.fleet.membership import Membership
from savorylift.fleet.peer import LIVENESS_TIMEOUT_INTERVALS
from savorylift.fleet.pulse_messages import Pulse, SilenceNews
from savorylift.fleet.silence_watch import SilenceWatch
from savorylift.fleet.state import NodeState
from savorylift.fleet.watchers import Watchers

# Watchers are chosen anew after this time.
CHOICE_INTERVAL_S = 1.0
# A node is asked for its state after this many intervals without a message:
# some may have been lost, and one interval later it would count as silent.
DOUBT_INTERVALS = LIVENESS_TIMEOUT_INTERVALS - 1
# Longest time until the next look for such nodes.
MAX_DOUBT_PAUSE_S = 1.0


class _ChoiceBasis(NamedTuple):
    """What the choice of the watchers rests on.

    Attributes:
        changes: `Membership.count_changes` at that time.
        failure_domain: Failure domain of this node.
        is_large: Whether the fleet needs watchers.
    """

    changes: int
    failure_domain: str
    is_large: bool


class PeerWatch:
    """Sends pulses, reports who sends none, and asks who is in doubt."""

    def __init__(
        self,
        ip: str,
        members: Membership,
        send: Callable[[tuple[str, ...], Message], None],
        can_pulse: Callable[[NodeState], bool],
        ask: Callable[[str, int], None],
        max_direct_nodes: int,
    ) -> None:
        """Sends nothing until `update` is called.

        Args:
            ip: This node's own address.
            members: The other nodes.
            send: Sends a message to the nodes with some addresses.
            can_pulse: Returns whether a node exchanges pulses with this one.
            ask: Asks for the state of the node with an address and
                incarnation.
            max_direct_nodes: Live nodes that hear each other often enough
                without pulses.
        """
        self._members = members
        self._send = send
        self._can_pulse = can_pulse
        self._ask = ask
        self._max_direct_nodes = max_direct_nodes
        self._silence = SilenceWatch(ip, members)
        self._watchers = Watchers(ip)
        self._next_choice_s = 0.0
        # What the choice of the watchers rests on; None before the first.
        self._choice_basis: _ChoiceBasis | None = None
        self._next_doubt_s = 0.0

    def update(self, failure_domain: str, next_pulse: Pulse) -> None:
        """Does what is due; to be called periodically.

        Args:
            failure_domain: Failure domain of this node.
            next_pulse: The pulse to send.
        """
        now_s = time.monotonic()
        is_large = self._members.count_live_nodes(now_s) > (
            self._max_direct_nodes
        )
        if now_s >= self._next_choice_s:
            self._next_choice_s = now_s + CHOICE_INTERVAL_S
            self._choose_watchers(failure_domain, now_s, is_large=is_large)
        pulses = self._watchers.next_pulses()
        self._send(pulses.going_on, next_pulse)
        self._send(pulses.ending, next_pulse._replace(goes_on=False))
        self._report(now_s)
        if is_large:
            self._ask_doubtful(now_s)

    def hear_pulse(self, pulse: Pulse, ip: str) -> None:
        """Records a pulse; watches its sender for as long as it says."""
        if self._members.hear_pulse(ip, pulse, time.monotonic()):
            self._silence.watch(ip, goes_on=pulse.goes_on)

    def hear_news(self, news: SilenceNews, ip: str) -> None:
        """Takes into account which nodes a watcher misses."""
        self._silence.hear(news.reports, ip, time.monotonic())

    def _choose_watchers(
        self, failure_domain: str, now_s: float, *, is_large: bool
    ) -> None:
        """Chooses the watchers if the nodes have changed."""
        basis = _ChoiceBasis(
            self._members.count_changes(now_s), failure_domain, is_large
        )
        if basis == self._choice_basis:
            return
        self._choice_basis = basis
        candidates = [
            peer.state
            for peer in self._members.live_peers(now_s)
            if is_large
            and self._can_pulse(peer.state)
            and not peer.state.is_leaving
        ]
        self._watchers.choose(candidates, failure_domain)

    def _report(self, now_s: float) -> None:
        reports = self._silence.find_silent(now_s)
        if not reports:
            return
        ips = tuple(
            peer.state.ip
            for peer in self._members.live_peers(now_s)
            if self._can_pulse(peer.state)
        )
        self._send(ips, SilenceNews(reports))

    def _ask_doubtful(self, now_s: float) -> None:
        """Asks nodes that were not heard for long for their states.

        Looks through all nodes only once one of them can be in doubt.
        """
        if now_s < self._next_doubt_s:
            return
        pause_s = MAX_DOUBT_PAUSE_S
        for peer in self._members.live_peers(now_s):
            doubt_s = DOUBT_INTERVALS * peer.state.interval_s
            left_s = doubt_s - self._members.silent_s(peer, now_s)
            # A node that is heard from now on may send as often as this one,
            # and so be in doubt after the same time.
            pause_s = min(pause_s, left_s, doubt_s)
            if left_s < 0 and self._can_pulse(peer.state):
                self._ask(peer.state.ip, peer.state.incarnation)
        self._next_doubt_s = now_s + pause_s
