"""What the generation slice needs from the rest of a node."""

from collections.abc import Callable
from typing import NamedTuple

from returns.result import Result

from savorylift.calls.budget import RetryBudget
from savorylift.identity import NodeRef
from savorylift.outcomes import Refusal
from savorylift.permits.gate import PermitGate
from savorylift.restrictions import Restrictions
from savorylift.rules.view import RulesSource
from savorylift.settings import Key, Timing
from savorylift.streams.cleaner import Cleaner
from savorylift.streams.placement import LearningPlacement
from savorylift.streams.relay import Relay
from savorylift.trail import Trail


class GenerationParts(NamedTuple):
    """Collaborators of the generation slice.

    Attributes:
        ref: This node.
        rules: Rules in force.
        restrictions: Keeps work away from backend servers.
        may_dispatch: Fails while this node may have missed an order.
        gate: Grants permits.
        relay: Moves events.
        cleaner: Ends abandoned generations.
        placement: Orders engines and estimates memory.
        budget: Bounds retries.
        mark_leaving: Notes that a backend server says it is leaving.
        ticket_keys: Keys that sign resume tickets.
        timing: Durations.
        trail: Keeps decisions for operators.
    """

    ref: NodeRef
    rules: RulesSource
    restrictions: Restrictions
    may_dispatch: Callable[[], Result[None, Refusal]]
    gate: PermitGate
    relay: Relay
    cleaner: Cleaner
    placement: LearningPlacement
    budget: RetryBudget
    mark_leaving: Callable[[str, str | None], None]
    ticket_keys: tuple[Key, ...]
    timing: Timing
    trail: Trail
