"""What a node knows of the roll-outs of each service."""

import math
import time
from collections.abc import Iterable

from savorylift.backends.server import ServerEntry
from savorylift.fleet.rollout_messages import RolloutPhase, Stage
from savorylift.rollouts import version_rules
from savorylift.rollouts.order import RolloutLimits, RolloutOrder
from savorylift.rollouts.service_versions import ServiceVersions
from savorylift.rollouts.stage import (
    banned_versions,
    replaces,
    versions_to_ban,
)
from savorylift.rollouts.version_rules import VersionRule

# The store's answers may be some seconds old: an order that is missing counts
# as withdrawn after this time.
WITHDRAWAL_S = 6.0
# Services whose stages are kept at the same time.
MAX_SERVICES = 256


class RolloutBoard:
    """Orders, stages, and what they mean for a request.

    Attributes:
        orders: The orders that stand, by service.
        stages: The newest stage of each service, of any order.
    """

    def __init__(self, limits: RolloutLimits) -> None:
        """Starts without orders."""
        self._limits = limits
        self.orders: dict[str, RolloutOrder] = {}
        self.stages: dict[str, Stage] = {}
        # Monotonic time of each order, by its ID: when it was first seen, or
        # earlier if a stage says so.
        self._ordered_s: dict[str, float] = {}
        # Monotonic times at which the stage of a service was last heard, at
        # which it was first, and at which its order was first found missing.
        self._heard_s: dict[str, float] = {}
        self._begun_s: dict[str, float] = {}
        self._missing_s: dict[str, float] = {}
        self._versions: dict[str, ServiceVersions] = {}
        # Services whose new version gets nothing more from this node.
        self._stopped: set[str] = set()

    @property
    def services(self) -> tuple[str, ...]:
        """Services with an order or a stage."""
        return tuple(self.orders.keys() | self.stages.keys())

    def set_orders(self, orders: Iterable[RolloutOrder]) -> None:
        """Replaces the orders by those that the store has now."""
        now_s = time.monotonic()
        found = {order.service: order for order in orders}
        for service, order in found.items():
            known = self.orders.get(service)
            if known is None or known.order_id != order.order_id:
                self._ordered_s[order.order_id] = now_s
                self._stopped.discard(service)
        for service in self.orders.keys() - found.keys():
            self._missing_s.setdefault(service, now_s)
        for service in found:
            self._missing_s.pop(service, None)
        self.orders = found
        live = {order.order_id for order in found.values()}
        live |= {stage.order_id for stage in self.stages.values()}
        self._ordered_s = {
            order_id: seen_s
            for order_id, seen_s in self._ordered_s.items()
            if order_id in live
        }
        for service, order in found.items():
            stage = self.stages.get(service)
            if stage is not None and stage.order_id == order.order_id:
                self.note_elapsed(stage)

    def accept(self, stage: Stage) -> bool:
        """Takes a stage that was heard or decided; returns if it was new."""
        known = self.stages.get(stage.service)
        now_s = time.monotonic()
        if not replaces(stage, known):
            if known is not None and _is_same(stage, known):
                self._heard_s[stage.service] = now_s
            return False
        if known is None and len(self.stages) >= MAX_SERVICES:
            return False
        self.stages[stage.service] = stage
        self._heard_s[stage.service] = self._begun_s[stage.service] = now_s
        self.note_elapsed(stage)
        return True

    def note_elapsed(self, stage: Stage) -> None:
        """Takes the time since an order from a stage, if that is longer."""
        ordered_s = time.monotonic() - stage.elapsed_s
        known_s = self._ordered_s.get(stage.order_id, ordered_s)
        self._ordered_s[stage.order_id] = min(known_s, ordered_s)

    def elapsed_s(self, order_id: str) -> float:
        """Returns the time since an order."""
        now_s = time.monotonic()
        return now_s - self._ordered_s.get(order_id, now_s)

    def stage_age_s(self, service: str) -> float:
        """Returns for how long a stage has been known; inf without any."""
        return time.monotonic() - self._begun_s.get(service, -math.inf)

    def describe(self) -> dict[str, str]:
        """Returns where the roll-out of each service stands, for operators."""
        described = {}
        for service in sorted(self.services):
            stage = self.find_stage(service)
            if stage is None:
                version = self.orders[service].version
                described[service] = f"to {version}: ordered, stage unknown"
                continue
            described[service] = (
                f"to {stage.version}: {stage.phase.value}, "
                f"share {self.share(service):.3f}, {stage.reason}"
            )
        return described

    def is_withdrawn(self, service: str) -> bool:
        """Whether a service's order is missing for longer than listings lag."""
        if service in self.orders:
            return False
        missing_s = self._missing_s.get(service)
        now_s = time.monotonic()
        if missing_s is None:
            missing_s = self._missing_s[service] = now_s
        return now_s - missing_s >= WITHDRAWAL_S

    def stop(self, service: str) -> None:
        """Lets this node send nothing more to the new version."""
        self._stopped.add(service)

    def find_stage(self, service: str) -> Stage | None:
        """Returns the stage of the order that stands, if it is known."""
        stage, order = self.stages.get(service), self.orders.get(service)
        if stage is None or order is None:
            return stage
        return stage if stage.order_id == order.order_id else None

    def note_servers(
        self, service: str, entries: Iterable[ServerEntry]
    ) -> None:
        """Records the servers of a service that are in service now."""
        version, banned = self._new_version(service), self._banned(service)
        new_ids, has_old = [], False
        for entry in entries:
            if entry.software_version == version:
                new_ids.append(entry.server_id)
            elif entry.software_version not in banned:
                has_old = True
        self._versions[service] = ServiceVersions(
            service, tuple(new_ids), has_old=has_old
        )

    def has_new(self, service: str) -> bool:
        """Whether a server of the new version is in service."""
        known = self._versions.get(service)
        return known is not None and bool(known.new_ids)

    def has_old(self, service: str) -> bool:
        """Whether a server of another version is in service."""
        known = self._versions.get(service)
        return known is None or known.has_old

    def is_banned(self, entry: ServerEntry) -> bool:
        """Whether a server gets nothing, since its version was rolled back."""
        stage = self.stages.get(entry.service)
        if stage is None:
            return False
        return entry.software_version in banned_versions(stage)

    def share(self, service: str, route: str | None = None) -> float:
        """Returns the share that this node sends to the new version.

        Args:
            service: Name of the service.
            route: Name of the route; None for the share of those that aren't
                held.
        """
        stage = self.find_stage(service)
        if stage is None or service in self._stopped:
            return 0.0
        if route is not None:
            stage = version_rules.for_route(stage, route, self._limits)
        age_s = time.monotonic() - self._heard_s[service]
        return version_rules.held_share(stage, age_s, self._limits)

    def find_rule(
        self,
        service: str,
        attempt_id: str,
        *,
        route: str | None = None,
        is_repeat: bool,
        is_bound: bool = False,
    ) -> VersionRule | None:
        """Returns the rule for a request; None if it may go anywhere.

        Args:
            service: The service.
            attempt_id: ID of the request.
            route: Name of its route.
            is_repeat: Whether another server has been tried.
            is_bound: Whether it goes on at the version that began it.
        """
        order, stage = self.orders.get(service), self.stages.get(service)
        if order is None and stage is None:
            return None
        if is_bound:
            return None if stage is None else self._make_ban_rule(stage)
        current = self.find_stage(service)
        if current is not None and self._is_over(current):
            return self._make_ban_rule(current)
        version = order.version if order is not None else ""
        if current is not None:
            version = current.version
        share = self.share(service, route)
        versions = self._versions.get(service)
        rule = version_rules.make_rule(
            version,
            current,
            share,
            attempt_id,
            None if versions is None else versions.spread(share),
            is_repeat=is_repeat,
            has_old=self.has_old(service),
            has_new=self.has_new(service),
        )
        if current is None:
            return rule._replace(banned=self._banned(service))
        return rule

    def _is_over(self, stage: Stage) -> bool:
        """Whether a completed roll-out directs requests no longer."""
        if stage.phase is not RolloutPhase.COMPLETED:
            return False
        age_s = self.stage_age_s(stage.service)
        return age_s > version_rules.COMPLETED_RULE_S

    def _make_ban_rule(self, stage: Stage) -> VersionRule | None:
        """Returns a rule against banned versions alone; None without any."""
        banned = banned_versions(stage)
        if not banned:
            return None
        return VersionRule(
            None, may_use_new=False, may_use_old=True, banned=banned
        )

    def _new_version(self, service: str) -> str | None:
        stage = self.find_stage(service)
        if stage is not None:
            return stage.version
        order = self.orders.get(service)
        return None if order is None else order.version

    def _banned(self, service: str) -> frozenset[str]:
        """Returns the versions that get nothing, whatever is ordered."""
        stage = self.stages.get(service)
        if stage is None:
            return frozenset()
        if self.find_stage(service) is not None:
            return banned_versions(stage)
        return versions_to_ban(stage) - {self._new_version(service)}


def _is_same(stage: Stage, known: Stage) -> bool:
    return (stage.order_id, stage.epoch, stage.step, stage.phase) == (
        known.order_id,
        known.epoch,
        known.step,
        known.phase,
    )
