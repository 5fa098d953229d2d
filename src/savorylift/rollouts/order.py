"""Orders to move a service to another software version, and their limits."""

import hashlib
from typing import NamedTuple

ORDER_ID_BYTES = 8


class RolloutOrder(NamedTuple):
    """An order of the operators.

    Attributes:
        order_id: Tells orders apart; alike on all nodes.
        service: Name of the service.
        version: Software version that its requests are to go to.
        duration_s: Time from the order to its deadline.
    """

    order_id: str
    service: str
    version: str
    duration_s: float


class RolloutLimits(NamedTuple):
    """What a version that turns out to be bad may get.

    Attributes:
        share: Share of a service's requests between order and deadline.
        slack: Requests on top of that share.
        rollback_s: Time in which it must get no more requests, once it has
            given the number of bad answers that the deployment names.
    """

    share: float
    slack: float
    rollback_s: float


def make_order_id(record: bytes) -> str:
    """Returns the ID of the order in a record of the store."""
    return hashlib.blake2b(record, digest_size=ORDER_ID_BYTES).hexdigest()
