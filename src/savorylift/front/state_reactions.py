"""Lets other parts of a node react to the states of its peers."""

import asyncio
import operator
from collections.abc import Callable, Iterable
from typing import NamedTuple

from savorylift.fleet.state import NodeState
from savorylift.fleet.store_records import Version

# The fields whose change may let a waiting request go on, or stop one.
_news = operator.attrgetter(
    "incarnation",
    "is_ready",
    "is_leaving",
    "loads",
    "moves",
    "quarantine_news",
    "version_sightings",
    "unreached_services",
    "brittle_services",
    "leaving_servers",
    "has_version_history",
    "witnessed_processes",
)


class _Heard(NamedTuple):
    state: NodeState
    last: NodeState | None


class StateReactions:
    """Calls other parts after states that were heard."""

    def __init__(
        self,
        catch_up: Callable[[str, int, Version], None],
        on_state: Callable[[NodeState], None],
        on_news: Callable[[], None],
        is_deferred: Callable[[], bool],
    ) -> None:
        """Connects the parts.

        Args:
            catch_up: Called with the address of a node and the versions of the
                store that it knows.
            on_state: Called with each state.
            on_news: Called after states whose `_news` fields have changed.
            is_deferred: Returns whether the parts are to be called later, once
                for all that is heard meanwhile. What is read for a decision
                must not set off others while it is made.
        """
        self._catch_up = catch_up
        self._on_state = on_state
        self._on_news = on_news
        self._is_deferred = is_deferred
        self._deferred: list[_Heard] = []

    def follow(self, state: NodeState, last: NodeState | None) -> None:
        """Reacts to a state.

        Args:
            state: What a node says now.
            last: What it said before; None if it is new.
        """
        if not self._is_deferred():
            self._react((_Heard(state, last),))
            return
        if not self._deferred:
            asyncio.get_running_loop().call_soon(self._react_to_deferred)
        self._deferred.append(_Heard(state, last))

    def _react_to_deferred(self) -> None:
        heard, self._deferred = self._deferred, []
        self._react(heard)

    def _react(self, heard: Iterable[_Heard]) -> None:
        has_news = False
        for state, last in heard:
            self._catch_up(
                state.ip, state.operators_version, state.servers_version
            )
            self._on_state(state)
            has_news |= last is None or _news(state) != _news(last)
        if has_news:
            self._on_news()
