"""What calls are made with."""

from collections.abc import Callable
from typing import NamedTuple

from returns.result import Result

from savorylift.calls.budget import RetryBudget
from savorylift.calls.candidates import IsOpen
from savorylift.calls.claims import ClaimBook
from savorylift.calls.dispatch import Dispatcher
from savorylift.calls.key import KeyWindow
from savorylift.outcomes import Refusal
from savorylift.permits.gate import PermitGate
from savorylift.rules.view import RulesSource

MayDispatch = Callable[[], Result[None, Refusal]]
MarkLeaving = Callable[[str, str | None], None]


def _mark_nothing(_server: str, _incarnation: str | None) -> None:
    """Stands in where nobody spreads leaving marks."""


class CallParts(NamedTuple):
    """What `CallService` works with.

    Attributes:
        rules: Rules in force.
        gate: Grants permits for backend servers.
        claims: Makes the claims of calls that must not repeat.
        dispatcher: Sends calls.
        is_open: False for a backend server that is leaving or failing.
        may_dispatch: Refuses while this node may be missing an order.
        budget: Bounds retries.
        window: Accepted times of idempotency keys.
        mark_leaving: Notes that a backend server, in an incarnation if it
            named one, says that it is leaving.
    """

    rules: RulesSource
    gate: PermitGate
    claims: ClaimBook
    dispatcher: Dispatcher
    is_open: IsOpen
    may_dispatch: MayDispatch
    budget: RetryBudget
    window: KeyWindow = KeyWindow()
    mark_leaving: MarkLeaving = _mark_nothing
