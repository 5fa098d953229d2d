"""How long to wait for a backend server before another one is tried."""

import time
from collections.abc import Callable
from typing import NamedTuple

from savorylift.exchange.admission import AdmittedRequest

# Share of the objective after which to fail over from a server that has not
# responded, if the request may be retried. Another server can then still
# respond in time.
FAILOVER_SHARE = 0.6
# Share of the objective for which to wait until a limited server takes a
# request that no other server can take.
PERMIT_WAIT_SHARE = 0.5


class FailoverPolicy(NamedTuple):
    """How long to wait for a server before failing over to another.

    Attributes:
        failover_at_s: Monotonic time from which failover is considered.
        deadline_s: Monotonic time after which a response is of no use.
        has_alternative: Returns whether another server could take over now.
            While none could, the wait continues until the deadline.
        max_permit_wait_s: Longest wait for a permit, if the server names a
            limit and no other server could take over.
    """

    failover_at_s: float
    deadline_s: float
    has_alternative: Callable[[], bool]
    max_permit_wait_s: float = 0.0

    @classmethod
    def for_request(
        cls,
        admitted: AdmittedRequest,
        objective_s: float,
        has_alternative: Callable[[], bool],
        *,
        is_last: bool,
    ) -> "FailoverPolicy":
        """Returns the policy for sending a request to one server.

        Args:
            admitted: The request.
            objective_s: Time within which the response should arrive.
            has_alternative: Same as the attribute.
            is_last: Whether no other server may run the request after this
                one.
        """
        failover_at_s = admitted.deadline_s
        if not is_last and admitted.is_idempotent:
            failover_at_s = time.monotonic() + FAILOVER_SHARE * objective_s
        time_left_s = max(admitted.deadline_s - time.monotonic(), 0.0)
        return cls(
            min(failover_at_s, admitted.deadline_s),
            admitted.deadline_s,
            has_alternative,
            PERMIT_WAIT_SHARE * min(objective_s, time_left_s),
        )

    @property
    def permit_wait_s(self) -> float:
        """How long to wait for a permit now."""
        return 0.0 if self.has_alternative() else self.max_permit_wait_s

    def delayed(self, delay_s: float) -> "FailoverPolicy":
        """Returns the policy for a request that is sent later."""
        failover_at_s = min(self.failover_at_s + delay_s, self.deadline_s)
        return self._replace(failover_at_s=failover_at_s)

    @property
    def allows_failover(self) -> bool:
        """Whether another server may be tried before the deadline."""
        return self.failover_at_s < self.deadline_s
