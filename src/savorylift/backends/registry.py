"""The backend servers that are known, by what they wrote last."""

import math
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from savorylift.backends.server import ServerEntry

# Servers that the store lost while it was away write again within this time.
RETURN_S = 2.2
# Late entries of a removed server arrive within seconds.
REMEMBERED_S = 60.0


class Known(NamedTuple):
    """A backend server and what follows from its entry.

    Attributes:
        entry: What it last wrote.
        cold_until_s: Steady time until which it is taken as cold.
        gone_at_s: Steady time at which it is dropped unless it writes again.
    """

    entry: ServerEntry
    cold_until_s: float
    gone_at_s: float | None = None

    def is_cold(self, now_s: float) -> bool:
        """Whether it must be spared."""
        return now_s < self.cold_until_s


class Registry:
    """Backend servers by identifier; every change is judged by its age."""

    def __init__(self) -> None:
        """Starts empty."""
        self._known: dict[str, Known] = {}
        self._last: dict[str, tuple[ServerEntry, float]] = {}
        self._fixed: dict[str, ServerEntry] = {}
        self._lapse_until_s = 0.0

    @property
    def known(self) -> Mapping[str, Known]:
        """Every server that may be used or is leaving."""
        return self._known

    def expect_lapses(self, returned_s: float) -> None:
        """Keeps servers whose entries vanish just after the store's return.

        Args:
            returned_s: Steady time at which the store answered again.
        """
        self._lapse_until_s = returned_s + RETURN_S

    def put(self, entry: ServerEntry, now_s: float) -> bool:
        """Takes over an entry; says whether it changes what is believed."""
        last = self._last.get(entry.server_id)
        if last is not None and entry.is_older_than(last[0]):
            return False
        self._last[entry.server_id] = entry, now_s
        known = self._known.get(entry.server_id)
        cold_until_s = now_s + entry.cold_s if entry.cold_s > 0 else 0.0
        self._known[entry.server_id] = Known(entry, cold_until_s)
        return known is None or entry.says_more_than(known.entry)

    def remove(self, server_id: str, now_s: float) -> bool:
        """Drops a server whose entry is gone; says whether it was known."""
        known = self._known.get(server_id)
        if known is None:
            return False
        if now_s < self._lapse_until_s and not known.entry.is_leaving:
            if known.gone_at_s is None:
                self._known[server_id] = known._replace(
                    gone_at_s=self._lapse_until_s
                )
            return False
        del self._known[server_id]
        return True

    def set_fixed(self, entries: Iterable[ServerEntry]) -> None:
        """Takes over the servers that the configuration itself names.

        An entry that a server wrote under the same name goes before. Until
        a server says that it is warm, it is taken as cold.
        """
        fixed = {entry.server_id: entry for entry in entries}
        for server_id in self._fixed.keys() - fixed.keys():
            if server_id not in self._last:
                self._known.pop(server_id, None)
        for server_id, entry in fixed.items():
            is_same = self._fixed.get(server_id) == entry
            if server_id not in self._last and not is_same:
                self._known[server_id] = Known(entry, math.inf)
        self._fixed = fixed

    @property
    def fixed(self) -> list[ServerEntry]:
        """Servers that the configuration names and that write no entries."""
        return [
            e for e in self._fixed.values() if e.server_id not in self._last
        ]

    def note_report(
        self, server_id: str, *, is_cold: bool, is_leaving: bool
    ) -> bool:
        """Takes what a fixed server says of itself; says if that is news."""
        known = self._known.get(server_id)
        if known is None or server_id in self._last:
            return False
        updated = Known(
            known.entry._replace(is_leaving=is_leaving),
            math.inf if is_cold else 0.0,
        )
        self._known[server_id] = updated
        return updated != known

    def mark_leaving(self, server_id: str) -> bool:
        """Notes what a server itself says; says whether this is news."""
        known = self._known.get(server_id)
        if known is None or known.entry.is_leaving:
            return False
        entry = known.entry._replace(is_leaving=True)
        self._known[server_id] = known._replace(entry=entry)
        return True

    def keep_only(self, server_ids: Iterable[str], now_s: float) -> bool:
        """Removes every other server; says whether one was dropped."""
        kept = set(server_ids)
        kept |= self._fixed.keys() - self._last.keys()
        absent = [name for name in self._known if name not in kept]
        dropped = [self.remove(name, now_s) for name in absent]
        return any(dropped)

    def drop_lapsed(self, now_s: float) -> list[str]:
        """Drops servers that did not write again in time."""
        lapsed = [
            server_id
            for server_id, known in self._known.items()
            if known.gone_at_s is not None and now_s >= known.gone_at_s
        ]
        for server_id in lapsed:
            del self._known[server_id]
        self._forget_removed(now_s - REMEMBERED_S)
        return lapsed

    def _forget_removed(self, before_s: float) -> None:
        old = [
            server_id
            for server_id, (_, put_s) in self._last.items()
            if put_s < before_s and server_id not in self._known
        ]
        for server_id in old:
            del self._last[server_id]
