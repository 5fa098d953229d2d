"""Which software versions the servers of each service have had lately."""

import math
from collections.abc import Iterable
from typing import NamedTuple

from savorylift.backends.server import ServerEntry
from savorylift.fleet.state import UNKNOWN_VERSION, VersionSighting

# Callers may resume a stream for this long after its first event.
RETENTION_S = 60.0
# The restart of a server counts for as long as its service has servers, since
# routes choose how long their streams last, and for this long without any.
RESTART_RETENTION_S = 3600.0
# Most versions without a server that are kept and told to other nodes.
MAX_SIGHTINGS = 64
# Servers that name no version are all of one.
UNNAMED_VERSION = ""
# What nodes tell each other of a restart changes its time by theirs: it counts
# as a later one only if it is later by more.
RESTART_SLACK_S = 2.0


class ServerStart(NamedTuple):
    """The newest process of a server.

    Attributes:
        server_id: Identifier of the server.
        started_ms: Unix time in milliseconds at which the process started.
    """

    server_id: str
    started_ms: int


class _Version(NamedTuple):
    service: str
    software_version: str


class _Process(NamedTuple):
    service: str
    started_ms: int
    seen_s: float


class VersionHistory:
    """Versions that serve, and those that did until lately.

    Attributes:
        is_complete: Whether it is known which versions served before this node
            started.
    """

    def __init__(self) -> None:
        """Starts without any version."""
        self.is_complete = False
        self._serving: frozenset[_Version] = frozenset()
        # Monotonic time at which each version without a server last had one.
        self._gone_s: dict[_Version, float] = {}
        # Newest process of each server, by the server's ID, and when one of a
        # service was last replaced by another.
        self._processes: dict[str, _Process] = {}
        # The entries that were observed last, and when. Their processes were
        # seen then, too. None if what is known was changed otherwise.
        self._observed: tuple[ServerEntry, ...] | None = None
        self._observed_s = 0.0
        # When the first of the other processes is forgotten; 0 if not known.
        self._next_end_s = 0.0
        self._restarted_s: dict[str, float] = {}

    def observe(self, entries: Iterable[ServerEntry], now_s: float) -> None:
        """Records the versions of the servers that are known now.

        While these stay the same, only the time is noted: it is called with
        each beat, and there may be hundreds of servers.
        """
        entries = tuple(entries)
        if entries != self._observed:
            self.note_starts(entries, now_s)
            serving = frozenset(
                _Version(entry.service, entry.software_version)
                for entry in entries
            )
            for version in self._serving - serving:
                self._gone_s[version] = now_s
            self._serving = serving
            self._observed = entries
        self._observed_s = now_s
        self._forget_processes(now_s)
        self._gone_s = {
            version: seen_s
            for version, seen_s in self._gone_s.items()
            if now_s - seen_s < RETENTION_S and version not in self._serving
        }
        self._forget_restarts(now_s)

    def note_starts(self, entries: Iterable[ServerEntry], now_s: float) -> None:
        """Records which processes serve, and which servers started again."""
        self._end_observation()
        for entry in entries:
            known = self._processes.get(entry.server_id)
            if known is not None and known.started_ms != entry.started_ms:
                self._restarted_s[entry.service] = now_s
            self._processes[entry.server_id] = _Process(
                entry.service, entry.started_ms, now_s
            )

    def note_unread_process(self, service: str, now_s: float) -> None:
        """Records that a process answered whose entry isn't read.

        It counts as a restart at once: its entry may never be written.
        """
        self._restarted_s[service] = now_s

    def _end_observation(self) -> None:
        """Notes when the processes were seen that were observed last."""
        for entry in self._observed or ():
            known = self._processes[entry.server_id]
            self._processes[entry.server_id] = known._replace(
                seen_s=self._observed_s
            )
        self._observed = None
        self._next_end_s = 0.0

    def _forget_processes(self, now_s: float) -> None:
        """Forgets those that were seen too long ago; looks only if any is."""
        if now_s < self._next_end_s:
            return
        observed = {entry.server_id for entry in self._observed or ()}
        self._processes = {
            server_id: process
            for server_id, process in self._processes.items()
            if server_id in observed or now_s - process.seen_s < RETENTION_S
        }
        self._next_end_s = min(
            (
                process.seen_s + RETENTION_S
                for server_id, process in self._processes.items()
                if server_id not in observed
            ),
            default=math.inf,
        )

    def has_restarted(self, service: str, since_s: float) -> bool:
        """Whether a server has started again under its ID since a moment.

        Between the two processes there may have been another one, whose entry
        was never read.
        """
        return self._restarted_s.get(service, -math.inf) >= since_s

    def sightings(self, now_s: float) -> tuple[VersionSighting, ...]:
        """Returns the versions that have no server any more.

        A version that nobody knows stands for a server that has started again.
        """
        seen_s = self._gone_s | {
            _Version(service, UNKNOWN_VERSION): self._restarted_s[service]
            for service in self.restarted_services(now_s)
        }
        newest = sorted(seen_s.items(), key=lambda item: -item[1])
        return tuple(
            VersionSighting(*version, now_s - seen_s)
            for version, seen_s in newest[:MAX_SIGHTINGS]
        )

    def merge(self, sightings: Iterable[VersionSighting], now_s: float) -> None:
        """Adds what another node has seen."""
        for service, software_version, age_s in sightings:
            version = _Version(service, software_version)
            if version in self._serving or not 0 <= age_s < RETENTION_S:
                continue
            if software_version == UNKNOWN_VERSION:
                self._merge_restart(service, now_s - age_s)
                continue
            if len(self._gone_s) >= MAX_SIGHTINGS:
                return
            seen_s = max(self._gone_s.get(version, 0.0), now_s - age_s)
            self._gone_s[version] = seen_s

    def _merge_restart(self, service: str, restarted_s: float) -> None:
        known_s = self._restarted_s.get(service)
        if known_s is None and len(self._restarted_s) >= MAX_SIGHTINGS:
            return
        if known_s is None or restarted_s > known_s + RESTART_SLACK_S:
            self._restarted_s[service] = restarted_s

    def _forget_restarts(self, now_s: float) -> None:
        """Forgets restarts of services that are gone."""
        if not self._restarted_s:
            return
        present = {process.service for process in self._processes.values()}
        self._restarted_s = {
            service: restarted_s
            for service, restarted_s in self._restarted_s.items()
            if service in present or now_s - restarted_s < RESTART_RETENTION_S
        }

    def restore(
        self,
        service: str,
        versions: Iterable[str],
        starts: Iterable[ServerStart],
        now_s: float,
    ) -> None:
        """Adds what other nodes knew at some time, as far as it is new here.

        How long ago a version served, or a server started again, isn't known:
        it counts as if it was just now.
        """
        self._end_observation()
        for software_version in versions:
            version = _Version(service, software_version)
            if software_version == UNKNOWN_VERSION:
                if service not in self.restarted_services(now_s):
                    self._restarted_s[service] = now_s
            elif version not in self._serving:
                self._gone_s.setdefault(version, now_s)
        for server_id, started_ms in starts:
            known = self._processes.setdefault(
                server_id, _Process(service, started_ms, now_s)
            )
            if known.started_ms != started_ms:
                self._restarted_s[service] = now_s

    def starts(self) -> dict[str, tuple[ServerStart, ...]]:
        """Returns the newest processes of the servers, by service."""
        found: dict[str, list[ServerStart]] = {}
        for server_id, process in sorted(self._processes.items()):
            start = ServerStart(server_id, process.started_ms)
            found.setdefault(process.service, []).append(start)
        return {service: tuple(starts) for service, starts in found.items()}

    def restarted_services(self, now_s: float) -> frozenset[str]:
        """Returns the services of which a server has started again lately.

        Those are left out whose servers name no versions.
        """
        return frozenset(
            service
            for service, restarted_s in self._restarted_s.items()
            if now_s - restarted_s < RETENTION_S
            and self.only_version(service) != UNNAMED_VERSION
        )

    def known_versions(self) -> dict[str, frozenset[str]]:
        """Returns the versions that streams may have begun at, by service."""
        known: dict[str, set[str]] = {}
        for service, software_version in (*self._serving, *self._gone_s):
            known.setdefault(service, set()).add(software_version)
        return {service: frozenset(found) for service, found in known.items()}

    def mixed_services(self) -> frozenset[str]:
        """Returns the services whose streams began at several versions."""
        return frozenset(
            service
            for service, versions in self.known_versions().items()
            if len(versions) > 1
        )

    def uncertain_services(self, now_s: float) -> frozenset[str]:
        """Returns the services whose streams may have begun at any version.

        Streams of unknown origin don't go on there.
        """
        return self.mixed_services() | self.restarted_services(now_s)

    def sole_version(self, service: str) -> str | None:
        """Returns the version that all streams of a service began at.

        None if that isn't known, or if there may be several.
        """
        version = self.only_version(service)
        if version == UNNAMED_VERSION or self.is_complete:
            return version
        return None

    def has_versions(self, service: str) -> bool:
        """Whether servers of a service have named versions lately, or may."""
        return self.sole_version(service) != UNNAMED_VERSION

    def only_version(self, service: str) -> str | None:
        """Returns the one version that a service is known to have had lately.

        None if there was no server lately, or servers of several versions.
        """
        found = self.known_versions().get(service, frozenset())
        return next(iter(found)) if len(found) == 1 else None
