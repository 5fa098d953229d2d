"""The evidence of each order that stands, and what it amounts to."""

from collections.abc import Mapping

from savorylift.rollouts.evidence import FleetEvidence
from savorylift.rollouts.order import RolloutOrder
from savorylift.rollouts.run_times import RouteRuns
from savorylift.rollouts.verdict import Judgement, judge


class _Known:
    """The evidence of one order, and the last judgement on it."""

    def __init__(self, order_id: str) -> None:
        self.order_id = order_id
        self.evidence = FleetEvidence()
        self.judgement = judge(self.evidence)
        self.judged_changes = 0


class EvidenceBook:
    """Evidence by service."""

    def __init__(self) -> None:
        """Starts without evidence."""
        self._known: dict[str, _Known] = {}

    def find(self, order: RolloutOrder) -> FleetEvidence:
        """Returns the evidence of an order; forgets that of any before it."""
        known = self._known.get(order.service)
        if known is None or known.order_id != order.order_id:
            known = self._known[order.service] = _Known(order.order_id)
        return known.evidence

    def judge(self, service: str) -> Judgement:
        """Returns the judgement on the new version of a service."""
        known = self._known.get(service)
        if known is None:
            return judge(FleetEvidence())
        if known.judged_changes != known.evidence.changes:
            known.judgement = judge(known.evidence)
            known.judged_changes = known.evidence.changes
        return known.judgement

    def find_routes(self, service: str) -> Mapping[str, RouteRuns]:
        """Returns how long requests run at the old version, by route."""
        known = self._known.get(service)
        return {} if known is None else known.evidence.runs.find_routes()

    def forget(self, service: str) -> None:
        """Forgets the evidence of a service."""
        self._known.pop(service, None)
