"""One backend server, as its own entry describes it."""

from typing import NamedTuple


class ServerEntry(NamedTuple):
    """What a backend server last wrote about itself.

    Attributes:
        server_id: Identifier; may be taken again by a later start.
        service: Service that it answers for.
        address: IP address and port.
        failure_domain: Where it runs.
        slots: Requests that it runs at once.
        is_leaving: Whether it takes no new work.
        cold_s: How much longer it was cold when it wrote.
        started_ms: Unix time of its start in milliseconds; 0 if unknown.
        sequence: Number of the entry since that start.
        most_cold: Requests that it bears at once while it is cold; None if
            only their rate counts, and `slots` is no bound.
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
    most_cold: int | None = None

    def bears(self, requests: int) -> bool:
        """Whether it may get one more beside `requests` once it is warm."""
        return self.most_cold is None or requests < self.slots

    def says_more_than(self, other: "ServerEntry") -> bool:
        """Whether it differs from `other` in more than a sign of life."""
        quiet = self._replace(sequence=other.sequence, cold_s=other.cold_s)
        turned_cold = self.cold_s > other.cold_s
        return turned_cold or quiet != other

    def is_older_than(self, other: "ServerEntry") -> bool:
        """Whether it was written before `other`."""
        mine = (self.started_ms, self.sequence)
        return mine < (other.started_ms, other.sequence)
