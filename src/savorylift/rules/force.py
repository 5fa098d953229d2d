"""On which nodes a change is in force, from what they answered."""

from collections.abc import Iterable
from typing import NamedTuple


class NodeAnswer(NamedTuple):
    """What a node said.

    Attributes:
        vm: The node's VM.
        offset: Newest log offset in force on it.
    """

    vm: str
    offset: int


class ForceReport(NamedTuple):
    """Where a change is known to be in force.

    Attributes:
        offset: Log offset of the change.
        confirmed: VMs of nodes that have it in force.
        behind: Nodes that answered, but have only older records in force.
        silent: VMs of nodes that did not answer.
    """

    offset: int
    confirmed: tuple[str, ...]
    behind: tuple[NodeAnswer, ...]
    silent: tuple[str, ...]

    def is_everywhere(self) -> bool:
        """Returns True if every node confirmed."""
        return not self.behind and not self.silent


def report_force(
    offset: int, members: Iterable[str], answers: Iterable[NodeAnswer]
) -> ForceReport:
    """Returns where the change at `offset` is in force.

    Args:
        offset: Log offset of the change.
        members: VMs of the nodes on the roster.
        answers: Answers so far; the newest of a node counts.
    """
    newest: dict[str, int] = {}
    for answer in answers:
        known = newest.get(answer.vm, answer.offset)
        newest[answer.vm] = max(known, answer.offset)
    names = sorted({*members, *newest})
    behind = [
        NodeAnswer(vm, newest[vm])
        for vm in names
        if vm in newest and newest[vm] < offset
    ]
    return ForceReport(
        offset,
        tuple(vm for vm in names if newest.get(vm, -1) >= offset),
        tuple(behind),
        tuple(vm for vm in names if vm not in newest),
    )
