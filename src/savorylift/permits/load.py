"""Polls the load reports of the backend servers that a node keeps."""

import random
import threading
import time
from collections.abc import Callable
from typing import NamedTuple

import msgspec
import structlog
import urllib3
from returns.result import Failure, Result, Success

from savorylift.permits.evidence import LoadReport
from savorylift.rules.view import BackendServer, RulesSource

PATH = "/v1/load"
MAX_BACKOFF = 8
MAX_BODY_BYTES = 65_536
JITTER = 0.2  # part of the interval

KeptServers = Callable[[], tuple[str, ...]]
OnReport = Callable[[str, LoadReport], None]
OnLeaving = Callable[[str, str], None]
OnPreemptions = Callable[[str, int], None]
_log = structlog.get_logger()


class LoadOptions(NamedTuple):
    """Options of the poller, in seconds.

    Attributes:
        interval_s: Time between two polls of a backend server.
        timeout_s: Longest wait for one report.
    """

    interval_s: float = 0.5
    timeout_s: float = 0.5


class _Body(msgspec.Struct, frozen=True):
    incarnation: str
    cold: bool
    leaving: bool
    running: int
    waiting: int = 0
    preemptions: int = 0


class _Due(NamedTuple):
    at_s: float = 0.0
    backoff: int = 1


class LoadPoller:
    """Reads load reports on a thread of its own.

    A poll without an answer changes nothing, so that a server whose reports
    fail can't grow past what its reports allowed.
    """

    def __init__(
        self,
        rules: RulesSource,
        kept_servers: KeptServers,
        on_report: OnReport,
        on_leaving: OnLeaving,
        on_preemptions: OnPreemptions,
        cfg: LoadOptions | None = None,
    ) -> None:
        """Polls from `start` on.

        Args:
            rules: Where the backend servers' addresses stand.
            kept_servers: Returns the names to poll.
            on_report: Takes a name and its report.
            on_leaving: Takes a leaving server's VM and incarnation.
            on_preemptions: Takes a name and the preemptions since the last
                report of the same incarnation.
            cfg: Options.
        """
        self._rules = rules
        self._kept_servers = kept_servers
        self._on_report = on_report
        self._on_leaving = on_leaving
        self._on_preemptions = on_preemptions
        self._preemptions: dict[str, tuple[str, int]] = {}
        self._cfg = cfg or LoadOptions()
        self._due: dict[str, _Due] = {}
        self._pool = urllib3.PoolManager(retries=False)
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="load-poller", daemon=True
        )

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Ends the thread after the poll under way."""
        self._stopped.set()
        self._thread.join(2 * self._cfg.timeout_s)

    def poll_due(self) -> float:
        """Polls what is due; returns the seconds until the next poll."""
        names = self._kept_servers()
        self._due = {name: self._due.get(name, _Due()) for name in names}
        servers = self._rules.current().backend_servers
        for name, due in list(self._due.items()):
            if name in servers and due.at_s <= time.monotonic():
                self._due[name] = self._poll(servers[name], due)
        next_s = min((due.at_s for due in self._due.values()), default=0.0)
        wait_s = next_s - time.monotonic()
        return min(self._cfg.interval_s, max(0.01, wait_s))

    def _run(self) -> None:
        wait_s = 0.0
        while not self._stopped.wait(wait_s):
            wait_s = self.poll_due()

    def _poll(self, server: BackendServer, due: _Due) -> _Due:
        asked_s = time.monotonic()
        match self._read(server):
            case Success(body):
                self._hand_over(server.name, body, asked_s)
                backoff = 1
            case Failure(cause):
                _log.info("no load report", server=server.name, cause=cause)
                backoff = min(MAX_BACKOFF, 2 * due.backoff)
        spread = random.uniform(1 - JITTER, 1 + JITTER)
        pause_s = self._cfg.interval_s * spread * backoff
        return _Due(time.monotonic() + pause_s, backoff)

    def _read(self, server: BackendServer) -> Result[_Body, str]:
        url = f"http://{server.address}{PATH}"
        timeout = urllib3.Timeout(total=self._cfg.timeout_s)
        try:
            answer = self._pool.request("GET", url, timeout=timeout)
        except urllib3.exceptions.HTTPError as exc:
            return Failure(repr(exc))
        if answer.status != 200:
            return Failure(f"status {answer.status}")
        return _parse(answer.data)

    def _hand_over(self, name: str, body: _Body, asked_s: float) -> None:
        if body.leaving:
            self._on_leaving(name, body.incarnation)
        self._note_preemptions(name, body)
        active = body.running + body.waiting
        report = LoadReport(
            asked_s, body.incarnation, body.cold, body.leaving, active
        )
        self._on_report(name, report)

    def _note_preemptions(self, name: str, body: _Body) -> None:
        incarnation, before = self._preemptions.get(name, ("", 0))
        self._preemptions[name] = (body.incarnation, body.preemptions)
        if incarnation == body.incarnation and body.preemptions > before:
            self._on_preemptions(name, body.preemptions - before)


def _parse(data: bytes) -> Result[_Body, str]:
    if len(data) > MAX_BODY_BYTES:
        return Failure("body too large")
    try:
        return Success(msgspec.json.decode(data, type=_Body))
    except msgspec.MsgspecError as exc:
        return Failure(repr(exc))
