"""Finds out whether a server is still the process whose entry is known.

A server may start again under its ID, at its address, with another software
version, and serve before its new entry is read.
"""

import enum
from collections.abc import Callable
from typing import NamedTuple

import structlog

from savorylift.backends.registry import BackendServer
from savorylift.backends.server_start import NO_REPORT, NO_START
from savorylift.boot_clock import boot_time_s
from savorylift.exchange import metrics
from savorylift.fleet.version_history import UNNAMED_VERSION
from savorylift.limits.limit_gate import LimitGate, Permit
from savorylift.limits.process_lookup import REPORT_TIMEOUT_S, StartReader
from savorylift.processes.process_witness import ProcessWitness, Proof
from savorylift.processes.shared_checks import SharedChecks
from savorylift.wire.channel import Channel

# Bounds the memory that answers take.
MAX_HEARD = 10_000

_log = structlog.get_logger()


class Life(enum.StrEnum):
    """Which process of a server answers.

    Attributes:
        SAME: That of the entry.
        OTHER: One that has started since.
        SILENT: None.
        NOT_ASKED: Not known: the server wants no more requests now.
        UNNAMED: Not known: the entry or the server names no start.
        NO_REPORT: Not known: the server has no report. Its entry is all that
            it says of itself, and counts.
        SHOWN: That of the entry, although it doesn't say so itself.
        UNSHOWN: Not known: it has no report or names no start, and the process
            of its entry may have ended.
        UNSOUND: Not known: the server names an earlier start than before.
    """

    SAME = "same"
    OTHER = "other"
    SILENT = "silent"
    NOT_ASKED = "not_asked"
    UNNAMED = "unnamed"
    NO_REPORT = "no_report"
    SHOWN = "shown"
    UNSHOWN = "unshown"
    UNSOUND = "unsound"


# Their answers don't say whether another process has taken their place.
SHOWN_BY_WITNESS = frozenset({Life.NO_REPORT, Life.UNNAMED})


class LifeReport(NamedTuple):
    """What a check has found.

    Attributes:
        life: Which process answers.
        started_ms: Unix time in milliseconds at which it started; None if
            that isn't known.
    """

    life: Life
    started_ms: int | None = None


# What takes the place of such an answer.
LIFE_REPORTS = {
    Proof.NONE: LifeReport(Life.UNSHOWN),
    Proof.SHOWN: LifeReport(Life.SHOWN),
}


class _Heard(NamedTuple):
    """An answer of a server.

    Attributes:
        started_ms: The start that it named; `NO_START` if none.
        asked_s: Boot time before the question was sent.
        latest_ms: The latest start that the server has named.
    """

    started_ms: int
    asked_s: float
    latest_ms: int = NO_START


class ServerLife:
    """Asks servers when they started."""

    def __init__(
        self,
        limit_gate: LimitGate,
        is_held: Callable[[str], bool],
        read_start: StartReader,
        sole_version: Callable[[str], str | None],
        witness: ProcessWitness,
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
        """
        self._limit_gate = limit_gate
        self._is_held = is_held
        self._read_start = read_start
        self._sole_version = sole_version
        self._witness = witness
        self._checks: SharedChecks[LifeReport] = SharedChecks()
        # The newest answer of each server, by its ID and address.
        self._heard: dict[str, _Heard] = {}

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
            report = self._find_heard(
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

    def _find_heard(
        self, server: BackendServer, since_s: float
    ) -> LifeReport | None:
        """Returns what a question has found that was sent since a moment."""
        heard = self._heard.get(_key(server))
        if heard is None or heard.asked_s < since_s:
            return None
        return self._judge(server, heard.started_ms)

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
                _key(server), lambda: self._ask(server)
            )
        found = await self._limit_gate.find_start(
            server, request, since_s, max_wait_s, is_probe=is_probe
        )
        if found is None:
            return LifeReport(Life.NOT_ASKED)
        if isinstance(found, Permit):
            return await self._ask(server)
        self._record(server, _Heard(found, since_s))
        return self._judge(server, found)

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
        self._record(server, _Heard(started_ms, asked_s))
        return self._judge(server, started_ms)

    def _record(self, server: BackendServer, heard: _Heard) -> None:
        """Keeps the newest answer of a server."""
        key = _key(server)
        known = self._heard.pop(key, None)
        latest_ms = heard.started_ms
        if known is not None:
            latest_ms = max(latest_ms, known.latest_ms)
            heard = max(known, heard, key=lambda answer: answer.asked_s)
        heard = heard._replace(latest_ms=latest_ms)
        while len(self._heard) >= MAX_HEARD:
            del self._heard[next(iter(self._heard))]
        self._heard[key] = heard

    def _judge(self, server: BackendServer, started_ms: int) -> LifeReport:
        """Returns what a start says; a process that answers counts as same."""
        if started_ms == NO_START:
            return LifeReport(Life.UNNAMED)
        latest_ms = self._heard[_key(server)].latest_ms
        if started_ms == NO_REPORT:
            has_reported = latest_ms > NO_START
            return LifeReport(Life.UNNAMED if has_reported else Life.NO_REPORT)
        if started_ms < latest_ms:
            _log.warning(
                "server_start_unsound",
                server=server.entry.server_id,
                start_ms=started_ms,
                latest_start_ms=latest_ms,
            )
            return LifeReport(Life.UNSOUND)
        return LifeReport(Life.SAME, started_ms)


def _key(server: BackendServer) -> str:
    host, port = server.entry.address
    return f"{server.entry.server_id}@{host}:{port}"


def _compare(server: BackendServer, report: LifeReport) -> LifeReport:
    """Compares the start that a server names with that of its entry."""
    is_other = report.started_ms not in (None, server.entry.started_ms)
    return report._replace(life=Life.OTHER) if is_other else report
