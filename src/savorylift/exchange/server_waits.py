"""When servers that take nothing now may get requests again."""

from collections.abc import Collection

from savorylift.exchange.admission import AdmittedRequest
from savorylift.exchange.allowed_servers import AllowedServers
from savorylift.exchange.server_holds import ServerHolds
from savorylift.limits.limit_gate import LimitGate


class ServerWaits:
    """Finds out why servers take nothing, and when callers may return."""

    def __init__(
        self,
        allowed: AllowedServers,
        limit_gate: LimitGate,
        holds: ServerHolds,
    ) -> None:
        """Reads what it is given each time.

        Args:
            allowed: Which servers may run a request.
            limit_gate: Holds the limits that servers name.
            holds: Which servers want nothing for a while.
        """
        self._allowed = allowed
        self._limit_gate = limit_gate
        self._holds = holds

    def is_closed_by_limits(
        self, admitted: AdmittedRequest, tried: Collection[str]
    ) -> bool:
        """Whether the limits of all servers that remain are used up."""
        entries = [s.entry for s in self._allowed.find(admitted, tried)]
        return bool(entries) and not any(map(self._limit_gate.is_open, entries))

    def assign_return_s(self, admitted: AdmittedRequest) -> float | None:
        """Returns after what time a caller refused by limits may return.

        None if no server that may run the request names a limit.
        """
        entries = [s.entry for s in self._allowed.find(admitted, ())]
        return self._limit_gate.assign_return_s(entries)

    def shortest_hold_s(
        self, admitted: AdmittedRequest, tried: Collection[str] = ()
    ) -> float | None:
        """Returns after what time a server may get a request again.

        It is spread a little over the callers. None if one may now.
        """
        found = self._allowed.find(admitted, tried)
        return self._holds.assign_return_s([s.entry.server_id for s in found])
