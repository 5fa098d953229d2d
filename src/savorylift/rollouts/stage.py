"""Which stage of a roll-out replaces which."""

from savorylift.fleet.rollout_messages import RolloutPhase, Stage
from savorylift.rollouts.order import RolloutOrder

# Versions that stay banned after later orders.
MAX_BANNED = 8
WITHDRAWN_ID = ""


def replaces(found: Stage, known: Stage | None) -> bool:
    """Whether a stage that was heard replaces the known one.

    A final stage in the store stands. A roll-back needs no store to count.
    """
    if known is None:
        return True
    if found.order_id != known.order_id:
        return found.epoch > known.epoch
    if known.phase.is_final and known.is_recorded:
        return False
    if found.phase.is_final:
        return found.is_recorded or found.phase is RolloutPhase.ROLLED_BACK
    if known.phase.is_final:
        return False
    return (found.epoch, found.step) > (known.epoch, known.step)


def begin(order: RolloutOrder, last: Stage | None, elapsed_s: float) -> Stage:
    """Returns the first stage of an order, without any share.

    Args:
        order: The order.
        last: The newest stage of the service, of any order.
        elapsed_s: Time since the order.
    """
    return Stage(
        service=order.service,
        order_id=order.order_id,
        version=order.version,
        duration_s=order.duration_s,
        phase=RolloutPhase.WATCH,
        step=0,
        share=0.0,
        epoch=0 if last is None else last.epoch,
        elapsed_s=elapsed_s,
        banned=_banned_before(order, last),
        reason="ordered",
    )


def banned_versions(stage: Stage) -> frozenset[str]:
    """Returns the versions that must get no requests."""
    if stage.phase is RolloutPhase.ROLLED_BACK:
        return frozenset((*stage.banned, stage.version))
    return frozenset(stage.banned)


def versions_to_ban(stage: Stage) -> frozenset[str]:
    """Returns the versions that a later order doesn't allow again.

    One that was still being judged when that came stays out, too.
    """
    if stage.phase is RolloutPhase.COMPLETED:
        return frozenset(stage.banned)
    return frozenset((*stage.banned, stage.version))


def _banned_before(order: RolloutOrder, last: Stage | None) -> tuple[str, ...]:
    if last is None:
        return ()
    banned = versions_to_ban(last) - {order.version}
    return tuple(sorted(banned))[-MAX_BANNED:]
