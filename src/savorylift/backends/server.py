"""The entry that describes a backend server."""

from typing import NamedTuple


class ServerEntry(NamedTuple):
    """Describes a backend server: its address, limits and state.

    Attributes:
        server_id: Identifier; a restarted server may reuse it.
        service: Service whose requests it handles.
        address: IP address and port.
        failure_domain: Failure domain that it runs in.
        slots: Number of requests that it runs concurrently.
        is_leaving: Whether it is draining, so that it takes no new requests.
        cold_s: Remaining duration of its cold start when the entry was
            written.
        started_ms: Unix time of its start in milliseconds; 0 if unknown.
        sequence: Sequence number of the entry since that start.
        max_cold_requests: Number of requests that it takes concurrently while
            it is cold. None if its cold start is limited by a request rate
            instead; then `slots` isn't enforced either.
        software_version: Version of its software; empty if it names none. A
            stream can't be continued by another version.
    """

    server_id: str
    service: str
    address: tuple[str, int]
    failure_domain: str
    slots: int
    is_leaving: bool
    cold_s: float
    started_ms: int
    sequence: int
    max_cold_requests: int | None = None
    software_version: str = ""

    def has_capacity(self, requests: int) -> bool:
        """Returns whether it may get another request once it is warm.

        Args:
            requests: Number of requests that it already has.
        """
        return self.max_cold_requests is None or requests < self.slots

    def is_significant_change(self, previous: "ServerEntry") -> bool:
        """Returns whether it differs from `previous` beyond a heartbeat.

        A heartbeat repeats the entry with a new sequence number and a shorter
        remaining cold start.
        """
        without_heartbeat = self._replace(
            sequence=previous.sequence, cold_s=previous.cold_s
        )
        turned_cold = self.cold_s > previous.cold_s
        return turned_cold or without_heartbeat != previous

    def is_older_than(self, other: "ServerEntry") -> bool:
        """Returns whether it was written before `other`."""
        version = (self.started_ms, self.sequence)
        return version < (other.started_ms, other.sequence)
