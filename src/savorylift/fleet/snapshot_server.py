"""Serves snapshots to other nodes without filling this node's link."""

import collections
import time
from collections.abc import Callable

from savorylift.fleet import metrics
from savorylift.fleet.codec import encode
from savorylift.fleet.message_auth import MessageAuthenticator
from savorylift.fleet.store_records import Snapshot
from savorylift.wire.message import Request, Response

SNAPSHOT_PATH = "/state"
# Parts of the query of a snapshot request: the requester's versions (the store
# offset of its operators' records, that of its server entries, and the number
# of changes since the latter that are not records), and its address.
QUERY_PARTS = 4
# Bytes per second that snapshots may take of this node's link. The slowest
# links carry 5 Mbit/s, and this node's own calls need most of that.
MAX_SEND_RATE = 250_000
BUSY_STATUS = 503
# Nodes that a busy node refers a requester to.
MAX_REFERRALS = 4


class SnapshotServer:
    """Answers snapshot requests at a bounded rate.

    A node that must not send more now refers the requester to nodes that it
    has just sent a snapshot to, so that the number of nodes that can serve
    one doubles with each round.
    """

    def __init__(
        self,
        make_snapshot: Callable[[int, tuple[int, int]], Snapshot],
        authenticator: MessageAuthenticator,
    ) -> None:
        """Creates a server.

        Args:
            make_snapshot: Returns what is newer than the given versions.
            authenticator: Signs the responses.
        """
        self._make_snapshot = make_snapshot
        self._authenticator = authenticator
        self._busy_until_s = 0.0
        self._recipients: collections.deque[str] = collections.deque(
            maxlen=MAX_REFERRALS
        )

    async def handle(self, req: Request) -> Response:
        """Returns a signed snapshot, or the addresses of other nodes."""
        path, _, query = req.target.partition("?")
        parts = query.split(".", QUERY_PARTS - 1)
        if path != SNAPSHOT_PATH or len(parts) != QUERY_PARTS:
            return Response(404, ())
        *versions, requester = parts
        if not all(part.isdigit() for part in versions):
            return Response(400, ())
        now_s = time.monotonic()
        if now_s < self._busy_until_s:
            metrics.SNAPSHOTS_REFERRED.inc()
            referrals = ",".join(ip for ip in self._recipients)
            return self._respond(BUSY_STATUS, referrals.encode())
        operators, offset, changes = map(int, versions)
        snapshot = self._make_snapshot(operators, (offset, changes))
        response = self._respond(200, encode(snapshot))
        size = len(response.body)
        self._busy_until_s = now_s + size / MAX_SEND_RATE
        self._recipients.append(requester)
        metrics.SNAPSHOTS_SENT.inc()
        metrics.SNAPSHOT_BYTES_SENT.inc(size)
        return response

    def _respond(self, status: int, body: bytes) -> Response:
        return Response(status, (), self._authenticator.sign(body))
