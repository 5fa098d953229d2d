"""Which software versions a request may go to while a service is rolled out.

The share of the requests that go to a new version is kept without counting:
the hash of a request's ID decides, alike on all nodes.
"""

import hashlib
from collections.abc import Collection
from typing import NamedTuple

from savorylift.backends.server import ServerEntry
from savorylift.fleet.rollout_messages import RolloutPhase, Stage
from savorylift.rollouts.next_stage import first_share, watched_share
from savorylift.rollouts.order import RolloutLimits
from savorylift.rollouts.stage import banned_versions

HASH_BYTES = 8
HASH_RANGE = 1 << 8 * HASH_BYTES
# Tells the hash apart from others of the same ID.
HASH_PERSON = b"rollout"
# Nodes that have heard nothing for this long hold the smallest share.
LEASE_S = 3.0
# How long a completed roll-out still directs requests: the old servers stop as
# soon as it is completed, and after this time their entries are gone, too.
COMPLETED_RULE_S = 30.0


class VersionRule(NamedTuple):
    """Which servers of a service a request may go to.

    Attributes:
        version: The new version; None if none is being rolled out.
        may_use_new: Whether the request may go to it.
        may_use_old: Whether it may go to other versions.
        banned: Versions that get nothing.
        new_ids: Servers of the new version that may get the request; None for
            all.
    """

    version: str | None
    may_use_new: bool
    may_use_old: bool
    banned: frozenset[str] = frozenset()
    new_ids: Collection[str] | None = None

    def allows(self, entry: ServerEntry) -> bool:
        """Whether the request may go to a server."""
        if entry.software_version in self.banned:
            return False
        if entry.software_version != self.version:
            return self.may_use_old
        if not self.may_use_new:
            return False
        return self.new_ids is None or entry.server_id in self.new_ids

    def prefers(self, entry: ServerEntry) -> bool:
        """Whether the request should rather go to a server than to others."""
        return self.may_use_new and entry.software_version == self.version


def position(attempt_id: str) -> float:
    """Returns where a request lies among all, from 0 to below 1."""
    digest = hashlib.blake2b(
        attempt_id.encode(), digest_size=HASH_BYTES, person=HASH_PERSON
    ).digest()
    return int.from_bytes(digest) / HASH_RANGE


def for_route(stage: Stage, route: str, limits: RolloutLimits) -> Stage:
    """Returns a stage with the share that holds for a route.

    Args:
        stage: The stage of a service.
        route: Name of the route.
        limits: What a bad version may get.
    """
    if route not in stage.held_routes:
        return stage
    return stage._replace(share=min(stage.share, watched_share(limits)))


def held_share(stage: Stage, news_age_s: float, limits: RolloutLimits) -> float:
    """Returns the share that a node holds, given the age of its last news.

    Without news for as long as a roll-back may take, it holds none: the
    version may have been rolled back.

    Args:
        stage: The stage that it knows.
        news_age_s: Time since it heard that this still is the stage.
        limits: What a bad version may get.
    """
    if news_age_s > max(limits.rollback_s, LEASE_S):
        return 0.0
    if news_age_s > LEASE_S:
        return min(stage.share, first_share(limits))
    return stage.share


def make_rule(
    version: str,
    stage: Stage | None,
    share: float,
    attempt_id: str,
    new_ids: Collection[str] | None,
    *,
    is_repeat: bool,
    has_old: bool,
    has_new: bool,
) -> VersionRule:
    """Returns the rule for a request.

    Args:
        version: The version that is ordered.
        stage: Where its roll-out stands; None if that isn't known.
        share: Share of the requests that may go to it.
        attempt_id: ID of the request.
        new_ids: Servers that get it while the share is small; None for all.
        is_repeat: Whether another server has been tried.
        has_old: Whether a server of another version is in service.
        has_new: Whether a server of the new version is in service.
    """
    banned = frozenset() if stage is None else banned_versions(stage)
    old_only = VersionRule(
        version, may_use_new=False, may_use_old=True, banned=banned
    )
    new_first = old_only._replace(may_use_new=True, may_use_old=not has_new)
    if stage is not None and stage.phase is RolloutPhase.ROLLED_BACK:
        return old_only._replace(version=None)
    if stage is not None and stage.phase is RolloutPhase.COMPLETED:
        return new_first
    if not has_old:
        # Somebody has to serve; without another version nothing is moved.
        return old_only._replace(may_use_new=True)
    if share >= 1.0:
        return new_first
    if is_repeat or position(attempt_id) >= share:
        return old_only
    return old_only._replace(may_use_new=True, new_ids=new_ids)
