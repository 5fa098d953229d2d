"""Fetches snapshots from the nodes that are ahead of this one."""

import asyncio
import random
import time
from collections.abc import Callable
from typing import NamedTuple

import structlog
from returns.pipeline import is_successful

from savorylift.fleet import metrics
from savorylift.fleet.codec import decode
from savorylift.fleet.message_auth import MessageAuthenticator
from savorylift.fleet.snapshot_server import BUSY_STATUS, SNAPSHOT_PATH
from savorylift.fleet.store_records import Snapshot, Version
from savorylift.fleet.store_view import StoreView
from savorylift.wire.address import is_ip
from savorylift.wire.client_call import BrokenAnswerError, fetch
from savorylift.wire.message import Response

FETCH_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 0.5
# A message that announces a new version may arrive before the delta with the
# change itself; a node waits this long for the delta.
DELTA_WAIT_S = 0.05
# Added to that wait at random for each node of the fleet, since all nodes hear
# of a new version at the same time.
SPREAD_S_PER_NODE = 0.003
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.4

_log = structlog.get_logger()


class FetchedSnapshot(NamedTuple):
    """A snapshot from another node.

    Attributes:
        snapshot: The snapshot.
        size: Number of bytes received.
        took_s: Time that the request took.
    """

    snapshot: Snapshot
    size: int
    took_s: float


class Referral(NamedTuple):
    """The answer of a node that is busy.

    Attributes:
        ips: Addresses of nodes that may have the snapshot.
    """

    ips: frozenset[str]


class SnapshotFetcher:
    """Keeps asking nodes that are ahead until this node is not behind."""

    def __init__(
        self,
        ip: str,
        port: int,
        store_view: StoreView,
        authenticator: MessageAuthenticator,
        count_nodes: Callable[[], int],
        on_update: Callable[[], None],
    ) -> None:
        """Creates a fetcher that knows no nodes to ask.

        Args:
            ip: This node's own address.
            port: Port of snapshot requests, on every node.
            store_view: View that snapshots are applied to.
            authenticator: Verifies the responses.
            count_nodes: Returns the number of live nodes.
            on_update: Called after a snapshot was applied.
        """
        self._ip = ip
        self._port = port
        self._store_view = store_view
        self._authenticator = authenticator
        self._count_nodes = count_nodes
        self._on_update = on_update
        self._sources: set[str] = set()
        self._operators_version = 0
        self._servers_version: Version = (0, 0)
        self._is_running = False

    def add_source(
        self, ip: str, operators_version: int, servers_version: Version
    ) -> bool:
        """Adds a node that is ahead; returns whether `run` must be started."""
        self._sources.add(ip)
        self._operators_version = max(
            self._operators_version, operators_version
        )
        self._servers_version = max(self._servers_version, servers_version)
        must_start = not self._is_running
        self._is_running = True
        return must_start

    async def run(self) -> None:
        """Asks one node after another, until none is left to ask.

        A node that is still behind then starts again after the next message
        that names a newer version.
        """
        try:
            spread_s = SPREAD_S_PER_NODE * self._count_nodes()
            await asyncio.sleep(DELTA_WAIT_S + random.uniform(0, spread_s))
            backoff_s = MIN_BACKOFF_S
            while self._is_behind() and self._sources:
                ip = random.choice(sorted(self._sources))
                result = await self._fetch(ip)
                self._sources.discard(ip)
                if isinstance(result, Referral):
                    self._sources |= (result.ips or {ip}) - {self._ip}
                    await asyncio.sleep(random.uniform(0.5, 1.5) * backoff_s)
                    backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)
                elif result is not None:
                    self._apply(ip, result)
        finally:
            self._sources.clear()
            self._is_running = False

    def _is_behind(self) -> bool:
        return (
            self._operators_version > self._store_view.operators_version
            or self._servers_version > self._store_view.servers_version
        )

    def _apply(self, ip: str, fetched: FetchedSnapshot) -> None:
        snapshot = fetched.snapshot
        if not self._store_view.apply_snapshot(snapshot):
            return
        _log.info(
            "state_from_peer",
            peer=ip,
            operators_version=snapshot.operators_version,
            servers_version=snapshot.servers_version,
            bytes=fetched.size,
            took_ms=round(fetched.took_s * 1000),
        )
        self._on_update()

    async def _fetch(self, ip: str) -> FetchedSnapshot | Referral | None:
        """Requests what another node has beyond this node's versions.

        Returns:
            The snapshot, or whom to ask instead; None after a failure, which
            is logged.
        """
        offset, changes = self._store_view.servers_version
        operators = self._store_view.operators_version
        query = f"{operators}.{offset}.{changes}.{self._ip}"
        started_s = time.monotonic()
        try:
            response = await fetch(
                (ip, self._port),
                "GET",
                f"{SNAPSHOT_PATH}?{query}",
                timeout_s=FETCH_TIMEOUT_S,
                connect_timeout_s=CONNECT_TIMEOUT_S,
            )
        except (OSError, BrokenAnswerError) as exc:
            detail = f"{type(exc).__name__}: {exc}"
            _log.info("peer_state_failed", peer=ip, detail=detail)
            return None
        took_s = time.monotonic() - started_s
        return self._decode(ip, response, took_s)

    def _decode(
        self, ip: str, response: Response, took_s: float
    ) -> FetchedSnapshot | Referral | None:
        body = self._authenticator.verify(response.body)
        if body is None:
            detail = "message authentication failed with every peer key"
            _log.warning("peer_state_unreadable", peer=ip, detail=detail)
            return None
        if response.status == BUSY_STATUS:
            ips = body.decode("ascii", "replace").split(",")
            return Referral(frozenset(filter(is_ip, ips)))
        decoded = decode(body)
        if not is_successful(decoded):
            detail = decoded.failure()
            _log.warning("peer_state_unreadable", peer=ip, detail=detail)
            return None
        snapshot = decoded.unwrap()
        if not isinstance(snapshot, Snapshot):
            return None
        metrics.SNAPSHOT_TIME.observe(took_s)
        return FetchedSnapshot(snapshot, len(response.body), took_s)
