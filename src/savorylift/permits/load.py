"""Polls the load reports of the backend servers that a node keeps."""

import contextlib
import random
import threading
import time
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple, Protocol

import msgspec
import pykka
import urllib3

from savorylift.permits.keeper import LoadReport
from savorylift.rules.view import BackendServer, RulesSource

POLL_S = 0.5
JITTER = 0.2  # share of the interval, so that keepers do not poll in step
TIMEOUT_S = 0.4
THREADS = 4
HTTP_OK = 200


class LoadTaker(Protocol):
    """Takes load reports and knows whose are wanted."""

    def kept_servers(self) -> Sequence[str]:
        """Returns names of the backend servers to poll."""

    def load(self, backend_server: str, report: LoadReport) -> None:
        """Takes one report."""


class LoadOptions(NamedTuple):
    """Options of the poller.

    Attributes:
        poll_s: Time between two rounds.
        timeout_s: Bound on one report.
        threads: Reports asked for at once.
    """

    poll_s: float = POLL_S
    timeout_s: float = TIMEOUT_S
    threads: int = THREADS


class _Load(msgspec.Struct):
    incarnation: str
    cold: bool
    leaving: bool
    running: int
    waiting: int = 0


class LoadWatch:
    """Asks for reports on threads of its own; silence changes nothing."""

    def __init__(
        self,
        taker: LoadTaker,
        rules: RulesSource,
        on_leaving: Callable[[str], None],
        cfg: LoadOptions | None = None,
    ) -> None:
        """Prepares the threads.

        Args:
            taker: Gets the reports.
            rules: Names the addresses.
            on_leaving: Is told the name of a server that says it is leaving.
            cfg: Options.
        """
        self._taker = taker
        self._rules = rules
        self._on_leaving = on_leaving
        self._cfg = cfg or LoadOptions()
        self._stop = threading.Event()
        self._pool = ThreadPoolExecutor(self._cfg.threads, "load")
        self._thread = threading.Thread(target=self._run, name="load-watch")
        self._thread.daemon = True

    def start(self) -> None:
        """Starts to poll."""
        self._thread.start()

    def stop(self) -> None:
        """Ends the threads after the reports being asked for."""
        self._stop.set()
        self._thread.join()
        self._pool.shutdown()

    def _run(self) -> None:
        while not self._stop.is_set():
            self._poll_all()
            jitter = 1.0 + JITTER * (2.0 * random.random() - 1.0)
            self._stop.wait(self._cfg.poll_s * jitter)

    def _poll_all(self) -> None:
        servers = self._rules.current().backend_servers
        kept = self._taker.kept_servers()
        known = [servers[name] for name in kept if name in servers]
        list(self._pool.map(self._poll, known))

    def _poll(self, server: BackendServer) -> None:
        report = fetch_report(server.address, self._cfg.timeout_s)
        if report is None:
            return
        if report.leaving:
            self._on_leaving(server.name)
        with contextlib.suppress(pykka.ActorDeadError):
            self._taker.load(server.name, report)


def fetch_report(address: str, timeout_s: float) -> LoadReport | None:
    """Returns a backend server's load report, or None if it can't be had."""
    asked_s = time.monotonic()
    try:
        response = urllib3.request(
            "GET",
            f"http://{address}/v1/load",
            timeout=timeout_s,
            retries=False,
        )
        load = msgspec.json.decode(response.data, type=_Load)
    except (urllib3.exceptions.HTTPError, msgspec.MsgspecError):
        return None
    if response.status != HTTP_OK:
        return None
    return LoadReport(
        asked_s,
        load.incarnation,
        load.cold,
        load.leaving,
        load.running + load.waiting,
    )
