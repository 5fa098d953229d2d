"""Tells how long ago an order came, also if all nodes have started again.

The time of day jumps on some VMs, and the monotonic clock says nothing to
another process. The boot clock of a VM goes on while its processes start again:
each node that writes a stage notes beside it when the order came by that clock.
"""

from typing import NamedTuple

from savorylift.fleet.rollout_messages import ClockMark, Stage

# Nodes whose marks a stage holds: the last ones that wrote.
MAX_MARKS = 4


class BootTime(NamedTuple):
    """A moment, by the boot clock of this node's VM.

    Attributes:
        host: Address of the node and ID of its VM's boot, as in `ClockMark`.
        now_s: Time since that boot, including the time suspended.
    """

    host: str
    now_s: float


def with_mark(stage: Stage, boot: BootTime | None) -> Stage:
    """Returns a stage that is about to be written with this node's mark.

    Args:
        stage: The stage, whose elapsed time is that of now.
        boot: The time of this node's VM; None if it is unknown.
    """
    if boot is None:
        return stage
    own = ClockMark(boot.host, boot.now_s - stage.elapsed_s)
    others = [mark for mark in stage.clock_marks if mark.host != boot.host]
    return stage._replace(clock_marks=(own, *others)[:MAX_MARKS])


def with_time_passed(stage: Stage, boot: BootTime | None) -> Stage:
    """Returns a stage that was read with the time since its order as of now.

    Without a mark of this node, that is the time as of the writing.

    Args:
        stage: The stage, as the store holds it.
        boot: The time of this node's VM; None if it is unknown.
    """
    if boot is None:
        return stage
    elapsed_s = max(
        (
            boot.now_s - mark.ordered_s
            for mark in stage.clock_marks
            if mark.host == boot.host
        ),
        default=stage.elapsed_s,
    )
    return stage._replace(elapsed_s=max(elapsed_s, stage.elapsed_s))
