"""Finds out whether a server is still the process whose entry is known.

A server may start again under its ID, at its address, with another software
version, and serve before its new entry is read.
"""

from collections.abc import Callable

import structlog

from savorylift.backends.registry import BackendServer
from savorylift.backends.server_start import NO_START
from savorylift.boot_clock import boot_time_s
from savorylift.exchange import metrics
from savorylift.fleet.version_history import UNNAMED_VERSION
from savorylift.limits.limit_gate import LimitGate, Permit
from savorylift.limits.process_lookup import REPORT_TIMEOUT_S, StartReader
from savorylift.processes.heard_starts import (
    HeardStart,
    HeardStarts,
    server_key,
)
from savorylift.processes.life_report import Life, LifeReport
from savorylift.processes.process_witness import ProcessWitness, Proof
from savorylift.processes.shared_checks import SharedChecks
from savorylift.wire.channel import Channel

# Their answers don't say whether another process has taken their place.
SHOWN_BY_WITNESS = frozenset({Life.NO_REPORT, Life.UNNAMED})
# What takes the place of such an answer.
LIFE_REPORTS = {
    Proof.NONE: LifeReport(Life.UNSHOWN),
    Proof.SHOWN: LifeReport(Life.SHOWN),
}

_log = structlog.get_logger()


class ServerLife:
    """Asks servers when they started."""

    def __init__(
        self,
        limit_gate: LimitGate,
        is_held: Callable[[str], bool],
        read_start: StartReader,
        sole_version: Callable[[str], str | None],
        witness: ProcessWitness,
        on_other: Callable[[str], object],
    ) -> None:
        """Asks nobody yet.

        Args:
            limit_gate: Holds the limits that servers name.
            is_held: Returns whether a server, given by its ID, wants no
                requests.
            read_start: Asks a server.
            sole_version: Returns the software version that began all streams
                of a service; None if there may be several.
            witness: Shows whether processes live that can't say who they are.
            on_other: Called with the service of each server that answers as
                another process than that of its entry.
        """
        self._limit_gate = limit_gate
        self._is_held = is_held
        self._read_start = read_start
        self._sole_version = sole_version
        self._witness = witness
        self._on_other = on_other
        self._checks: SharedChecks[LifeReport] = SharedChecks()
        self._heard = HeardStarts()

    def is_of_entry(self, server: BackendServer, life: Life) -> bool:
        """Whether the process that answers has the version of the entry."""
        if life is not Life.UNNAMED:
            return life in (Life.SAME, Life.SHOWN, Life.NO_REPORT)
        version = server.entry.software_version
        if version == UNNAMED_VERSION:
            return True
        return self._sole_version(server.entry.service) == version

    async def check(
        self,
        server: BackendServer,
        request: str,
        max_wait_s: float = 0.0,
        *,
        is_probe: bool = True,
        since_s: float | None = None,
        must_ask: bool = False,
        channel: Channel | None = None,
    ) -> LifeReport:
        """Returns which process answers.

        What is sent later on a connection that was open at a moment goes to
        the process that answered a question sent since then, or to none.

        Args:
            server: The server.
            request: Identifies the request in logs.
            max_wait_s: Longest wait for an answer, if the server names a limit.
            is_probe: Whether to use only permits that other requests leave.
            since_s: Boot time after which the question must have been
                sent; None for now.
            must_ask: Whether this node must ask the server itself, now: only
                then has it heard all that an earlier process sent.
            channel: Connection whose process is in question, if one is.
        """
        entry = server.entry
        if since_s is None:
            since_s = boot_time_s()
        if channel is not None:
            self._witness.note(server, channel)
        report = LifeReport(Life.UNNAMED)
        if entry.started_ms != NO_START and must_ask:
            report = await self._ask_with_permit(
                server, request, max_wait_s, is_probe=is_probe
            )
        elif entry.started_ms != NO_START:
            report = self._heard.find(
                server, since_s
            ) or await self._find_process(
                server, request, since_s, max_wait_s, is_probe=is_probe
            )
        report = _compare(server, report)
        if report.life in SHOWN_BY_WITNESS and entry.started_ms != NO_START:
            proof = (
                await self._witness.shows(server, max_wait_s)
                if channel is None
                else await self._witness.holds(
                    server, channel, since_s, max_wait_s
                )
            )
            report = LIFE_REPORTS.get(proof, report)
        if report.life is Life.OTHER:
            self._on_other(entry.service)
        metrics.SERVER_LIVES.labels(report.life.value).inc()
        if report.life is not Life.SAME and entry.started_ms != NO_START:
            _log.info(
                "server_life",
                request=request,
                server=entry.server_id,
                known_start_ms=entry.started_ms,
                start_ms=report.started_ms,
                life=report.life.value,
            )
        return report

    async def _find_process(
        self,
        server: BackendServer,
        request: str,
        since_s: float,
        max_wait_s: float,
        *,
        is_probe: bool,
    ) -> LifeReport:
        """Asks a server, or the node that asks it for all."""
        if self._is_held(server.entry.server_id):
            return LifeReport(Life.NOT_ASKED)
        if not self._limit_gate.is_limited(server.entry):
            return await self._checks.run(
                server_key(server), lambda: self._ask(server)
            )
        found = await self._limit_gate.find_start(
            server, request, since_s, max_wait_s, is_probe=is_probe
        )
        if found is None:
            return LifeReport(Life.NOT_ASKED)
        if isinstance(found, Permit):
            return await self._ask(server)
        self._heard.record(server, HeardStart(found, since_s))
        return self._heard.judge(server, found)

    async def _ask_with_permit(
        self,
        server: BackendServer,
        request: str,
        max_wait_s: float,
        *,
        is_probe: bool,
    ) -> LifeReport:
        if self._is_held(server.entry.server_id):
            return LifeReport(Life.NOT_ASKED)
        permit = await self._limit_gate.acquire(
            server, request, max_wait_s, is_probe=is_probe
        )
        if permit is None:
            return LifeReport(Life.NOT_ASKED)
        return await self._ask(server)

    async def _ask(self, server: BackendServer) -> LifeReport:
        """Asks a server; a process that answers counts as the same one."""
        asked_s = boot_time_s()
        started_ms = await self._read_start(
            server.entry.address, REPORT_TIMEOUT_S
        )
        if started_ms is None:
            return LifeReport(Life.SILENT)
        self._heard.record(server, HeardStart(started_ms, asked_s))
        return self._heard.judge(server, started_ms)


def _compare(server: BackendServer, report: LifeReport) -> LifeReport:
    """Compares the start that a server names with that of its entry."""
    is_other = report.started_ms not in (None, server.entry.started_ms)
    return report._replace(life=Life.OTHER) if is_other else report
