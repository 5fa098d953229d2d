"""Finds where a stream began that is taken up, and why that isn't known."""

import asyncio
import random
import time

from savorylift.boot_clock import boot_time_s
from savorylift.exchange.admission import AdmittedRequest
from savorylift.exchange.origin_log import OriginLog
from savorylift.exchange.results import Doubt
from savorylift.exchange.server_pool import ServerPool
from savorylift.exchange.stream_beginnings import RESUME_SLACK_S, process_of
from savorylift.exchange.stream_origins import StreamOrigins
from savorylift.fleet.state import UNKNOWN_VERSION, StreamOrigin
from savorylift.fleet.stored_versions import StoredVersions
from savorylift.fleet.version_history import (
    RETENTION_S,
    UNNAMED_VERSION,
    VersionHistory,
)
from savorylift.processes.life_report import Life
from savorylift.processes.server_life import ServerLife

# Longest wait for the answer of a limited server when it started.
MAX_PROOF_WAIT_S = 1.2
# A node that runs for this long hears all others.
MIN_UPTIME_S = 2.0
# How long a resumed stream waits for that.
MAX_START_WAIT_S = 1.0
START_POLL_S = 0.25
# Bounds what a stream of unknown origin costs in a large service.
MAX_SERVERS_ASKED = 32
# Why an origin stays unknown if a server's answer says this.
DOUBTS = {
    Life.OTHER: Doubt.OTHER,
    Life.SILENT: Doubt.SILENT,
    Life.NOT_ASKED: Doubt.NOT_ASKED,
    Life.UNSOUND: Doubt.OTHER,
    Life.UNSHOWN: Doubt.OTHER,
}


class OriginFinder:
    """Asks nodes, the store and servers which version began a stream."""

    def __init__(
        self,
        origins: StreamOrigins,
        origin_log: OriginLog,
        history: VersionHistory,
        stored_versions: StoredVersions,
        server_life: ServerLife,
        pool: ServerPool,
        rng: random.Random,
    ) -> None:
        """Begins at the start of the node.

        Args:
            origins: Where streams began, as far as nodes know.
            origin_log: The same, as far as the store knows.
            history: Software versions that have served lately, as far as this
                node has heard.
            stored_versions: The same, as the store says now.
            server_life: Finds out whether a server has started again.
            pool: The servers.
            rng: Draws the servers to ask in a large service.
        """
        self._origins = origins
        self._origin_log = origin_log
        self._history = history
        self._stored_versions = stored_versions
        self._server_life = server_life
        self._pool = pool
        self._rng = rng
        self._created_s = time.monotonic()

    async def find(self, admitted: AdmittedRequest) -> StreamOrigin | None:
        """Returns where a resumed stream began; None if nobody knows.

        A node that has just started tries again for a while, since it doesn't
        hear all nodes that may know at once.
        """
        until_s = time.monotonic() + MAX_START_WAIT_S
        while True:
            origin = await self._find_origin(admitted)
            now_s = time.monotonic()
            is_started = now_s - self._created_s >= MIN_UPTIME_S
            if origin is not None or is_started or now_s >= until_s:
                return origin
            if not admitted.req.resumes or self._is_unnamed(admitted):
                return None
            await asyncio.sleep(START_POLL_S)

    async def find_doubt(
        self, admitted: AdmittedRequest, origin: StreamOrigin | None
    ) -> Doubt | None:
        """Returns why the version that began a stream isn't known, if so."""
        if admitted.software_version == UNKNOWN_VERSION:
            return Doubt.UNCERTAIN
        if admitted.software_version is None:
            return Doubt.UNKNOWN
        return await self._find_unread(admitted) if origin is None else None

    def _is_unnamed(self, admitted: AdmittedRequest) -> bool:
        """Whether the servers of a service name no versions."""
        version = self._history.sole_version(admitted.service.name)
        return version == UNNAMED_VERSION

    async def _find_origin(
        self, admitted: AdmittedRequest
    ) -> StreamOrigin | None:
        """Returns where a resumed stream began; None if nobody knows."""
        attempt_id = admitted.req.resumes
        if not attempt_id:
            return None
        origin = await self._origins.find(attempt_id)
        if origin is not None and not origin.is_certain:
            origin = await self._prove(admitted, origin)
        if origin is not None and origin.is_certain:
            return origin
        if self._is_unnamed(admitted):
            return origin
        if not await self._may_have_other_versions(admitted, origin):
            return origin
        return await self._origin_log.find(attempt_id) or origin

    async def _may_have_other_versions(
        self, admitted: AdmittedRequest, origin: StreamOrigin | None
    ) -> bool:
        """Whether a service has had versions whose streams the store knows."""
        version = self._history.sole_version(admitted.service.name)
        if version is None or self._has_restarted(admitted):
            return True
        if origin is not None:
            return False
        doubt = await self._find_stored_doubt(admitted, version)
        return doubt not in (None, Doubt.UNREAD)

    async def _prove(
        self, admitted: AdmittedRequest, origin: StreamOrigin
    ) -> StreamOrigin:
        """Returns the origin of a stream, with its version if that shows.

        If the process whose entry was known as the stream began still answers,
        no other one can have begun it.
        """
        process = origin.process
        if process is None:
            return origin
        server = self._pool.find_server(process.server_id)
        if server is None or process_of(server.entry, process.age_s) != process:
            return origin
        report = await self._server_life.check(
            server,
            admitted.req.attempt_id,
            MAX_PROOF_WAIT_S,
            is_probe=False,
            since_s=boot_time_s() - process.age_s,
        )
        if report.life not in (Life.SAME, Life.SHOWN):
            return origin
        return origin._replace(software_version=server.entry.software_version)

    async def _find_unread(self, admitted: AdmittedRequest) -> Doubt | None:
        """Returns why a process without a read entry may have begun a stream.

        Either it still serves, or another one has taken its place meanwhile.
        A node that has just started can't ask those that may know.
        """
        if admitted.software_version == UNNAMED_VERSION:
            return None
        now_s = time.monotonic()
        if now_s - self._created_s < MIN_UPTIME_S:
            return Doubt.STARTED
        if self._has_restarted(admitted):
            return Doubt.RESTARTED
        stored = await self._find_stored_doubt(
            admitted, admitted.software_version
        )
        if stored is not None:
            return stored
        service = admitted.service.name
        servers = self._pool.servers_in_service(service)
        asked = self._rng.sample(servers, min(len(servers), MAX_SERVERS_ASKED))
        request = admitted.req.attempt_id
        reports = await asyncio.gather(
            *(
                self._server_life.check(
                    server, request, MAX_PROOF_WAIT_S, is_probe=False
                )
                for server in asked
            )
        )
        # Entries may be newer than the history, and read meanwhile.
        if self._has_restarted(admitted):
            return Doubt.RESTARTED
        versions = {
            server.entry.software_version
            for server in (*servers, *self._pool.servers_in_service(service))
        }
        if versions != {admitted.software_version}:
            return Doubt.READ
        doubts = [DOUBTS[r.life] for r in reports if r.life in DOUBTS]
        return doubts[0] if doubts else None

    async def _find_stored_doubt(
        self, admitted: AdmittedRequest, version: str | None
    ) -> Doubt | None:
        """Returns why the only version known here may not be the only one.

        This node may have missed what others knew as the stream began.
        """
        service = admitted.service.name
        stored = await self._stored_versions.find(
            service, admitted.req.arrived_s
        )
        if stored is None:
            return Doubt.UNREAD
        others = stored - {version}
        if others == {UNKNOWN_VERSION}:
            # The record doesn't say when; a node that has heard of it knows.
            now_s = time.monotonic()
            is_known = service in self._history.restarted_services(now_s)
            return None if is_known else Doubt.RESTARTED
        return Doubt.READ if others else None

    def _has_restarted(self, admitted: AdmittedRequest) -> bool:
        """Whether a server has started again since a stream could begin."""
        service = admitted.service.name
        now_s = time.monotonic()
        entries = [
            server.entry for server in self._pool.servers_in_service(service)
        ]
        self._history.note_starts(entries, now_s)
        max_age_s = (admitted.route.timeout_s or RETENTION_S) + RESUME_SLACK_S
        return self._history.has_restarted(service, now_s - max_age_s)
