"""The peers part of `savorylift status`."""

import math
import time
from typing import NamedTuple

from savorylift.peers.board import PeersView
from savorylift.peers.staleness import StalenessView


class NodeStatus(NamedTuple):
    """One node of the roster.

    Attributes:
        vm: Its VM.
        incarnation: Its incarnation.
        failure_domain: Where it runs.
        leaving: True once it has begun a graceful shutdown.
        heard_age_s: Time since it was last known alive; None if never.
        rules_offset: Newest log offset in force on it; -1 if unknown.
        load: The integers it told.
    """

    vm: str
    incarnation: str
    failure_domain: str
    leaving: bool
    heard_age_s: float | None
    rules_offset: int
    load: tuple[int, ...]


class PeersStatus(NamedTuple):
    """What this node knows of the others.

    Attributes:
        vm: This node's VM.
        incarnation: This node's incarnation.
        may_dispatch: True if the staleness rule allows new work.
        proof_age_s: Age of the newest proof in force; None for none.
        majority_age_s: Age of hearing a majority; None for none.
        roster_offset: Newest roster record.
        newest_offset: Highest rules offset known anywhere.
        nodes: The roster.
        leaving_vms: Names of VMs marked as leaving.
    """

    vm: str
    incarnation: str
    may_dispatch: bool
    proof_age_s: float | None
    majority_age_s: float | None
    roster_offset: int
    newest_offset: int
    nodes: tuple[NodeStatus, ...]
    leaving_vms: tuple[str, ...]


def describe(view: PeersView, guard: StalenessView) -> PeersStatus:
    """Returns the status as of now."""
    now_s = time.monotonic()
    return PeersStatus(
        vm=view.own.vm,
        incarnation=view.own.incarnation,
        may_dispatch=guard.allows(now_s),
        proof_age_s=_age(guard.proven_s, now_s),
        majority_age_s=_age(guard.majority_s, now_s),
        roster_offset=view.roster.offset,
        newest_offset=view.newest_offset,
        nodes=tuple(_describe_nodes(view, now_s)),
        leaving_vms=tuple(sorted(view.marks.leaving)),
    )


def _describe_nodes(view: PeersView, now_s: float) -> list[NodeStatus]:
    statuses = []
    for vm, member in sorted(view.roster.members.items()):
        ref = member.info.ref
        state = view.states.get(ref)
        heard_s = now_s if ref == view.own else view.heard_s.get(ref, -math.inf)
        status = NodeStatus(
            vm=vm,
            incarnation=ref.incarnation,
            failure_domain=member.info.failure_domain,
            leaving=member.leaving,
            heard_age_s=_age(heard_s, now_s),
            rules_offset=state.rules_offset if state else -1,
            load=state.load if state else (),
        )
        statuses.append(status)
    return statuses


def _age(time_s: float, now_s: float) -> float | None:
    return round(now_s - time_s, 3) if math.isfinite(time_s) else None
